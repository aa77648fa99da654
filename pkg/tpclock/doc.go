// Package tpclock provides the time through an interface, so that decisions can
// be tested with a fake clock at fixed times.
package tpclock
