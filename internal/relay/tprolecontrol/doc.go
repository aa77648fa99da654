// Package tprolecontrol decides which engines are ordered to change their role.
// Only the holder of the lease sends orders, and each engine has at most one
// order at a time.
package tprolecontrol
