// Package tpdispatch performs the actions of the order log. It reads and writes
// order objects, reads the status of engines, and sends orders. It ensures that
// an order of a former lease holder has no effect.
package tpdispatch
