// Package tpshift decides which engines are ordered to another role. Only the
// holder of the lease orders, one order at a time for each engine.
package tpshift
