// Package tpguestfake simulates the users' platform for tests: its object
// store, its servers and a proxy in front of a server. Tests inject faults into
// each.
package tpguestfake
