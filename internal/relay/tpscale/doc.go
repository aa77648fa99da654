// Package tpscale decides how many targets of each kind a pool has in each
// availability zone. It makes no calls: it returns orders for the duty API, and
// is told what became of them.
package tpscale
