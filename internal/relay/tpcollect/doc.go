// Package tpcollect gathers what the nodes of a region have outstanding. The
// nodes of a zone report to one of them, the zone's collector, which answers with
// the sum over all others; collectors exchange the sums of their zones. What a
// node receives does not grow with the number of nodes, and only sums cross zones.
package tpcollect
