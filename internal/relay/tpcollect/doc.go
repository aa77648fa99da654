// Package tpcollect collects the outstanding load of the nodes of a region. The
// nodes of a zone report to one of them, the collector of the zone. The
// collector answers with the sum over all other nodes. The collectors exchange
// the sums of their zones. The amount of data that a node receives does not
// grow with the number of nodes, and only sums cross zones.
package tpcollect
