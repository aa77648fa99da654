// Package tpguestfake stands in for the users' platform: its object store and
// its servers, with faults on command.
package tpguestfake
