// Package tpscalemodel simulates the servers of a pool, the duty API and days of a
// deployment, to test the decisions of tpscale and to compare its policies. The
// simulation is deterministic.
package tpscalemodel
