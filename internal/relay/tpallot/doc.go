// Package tpallot distributes the requests that a target with a limit takes
// among the nodes of a region.
//
// The limit holds for all nodes together, so that the share of one node is less
// than a request in some seconds. A node may send a request only against an
// allowance. The collector of one zone, the same for all nodes with the same
// members, issues the allowances of a target at the rate of its limit. They go
// to the collectors of the zones and from these to the nodes, in the reports
// and answers that these exchange anyway, drawn in proportion to the demand.
// An allowance expires after Lifetime. One that was not used is returned on the
// same way and issued again, so that a node can hold one in advance.
//
// A lost message, node or collector loses allowances and creates none. A new
// issuer starts without any.
package tpallot
