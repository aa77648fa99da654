// Package tpdispatch performs the actions of the order log: it reads and
// writes order objects, reads engines, and sends orders so that an order of a
// former lease holder has no effect.
package tpdispatch
