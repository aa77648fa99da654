// Package tpallot distributes the requests that a target with a limit takes
// among the nodes of a region.
//
// The limit holds for all nodes together, so that the share of one node is less
// than a request in some seconds. A node may send a request only against an
// allowance. The collector of one zone, the same for all nodes with the same
// members, issues the allowances of a target at the rate of its limit. They go
// to the collectors of the zones and from these to the nodes, in the reports
// and answers that these exchange anyway, drawn in proportion to the demand.
// An allowance expires after Lifetime. Nodes settle each on the same way: one
// that was not used is issued again. What may be unused is bounded, whether it is
// issued or saved, so that nodes can hold allowances in advance.
//
// A lost message, node or collector loses allowances and creates none. A new
// issuer starts without any.
package tpallot
