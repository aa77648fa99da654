// Package tpclock gives components the time through an interface, so that
// decisions can be tested with a fake clock and fixed instants.
package tpclock
