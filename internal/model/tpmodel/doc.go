// Package tpmodel is a small deterministic model of the engines, with which
// the load policies are measured. It counts pieces of work in fixed steps of a
// fake clock. It models no network, no cache and no platform.
package tpmodel
