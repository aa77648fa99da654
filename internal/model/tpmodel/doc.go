// Package tpmodel simulates engines to compare admission, routing and role
// policies. The simulation is deterministic. It counts work in pieces of
// tpmessage.PieceTokens tokens and advances a fake clock in fixed steps. It
// models no network, no cache and no platform.
package tpmodel
