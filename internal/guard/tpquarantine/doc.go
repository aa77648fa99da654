// Package tpquarantine decides whether a request may run again after targets
// crashed while they ran it. It quarantines a request that crashes every target
// at which it runs, and clears the requests that only ran at a target when it
// crashed.
package tpquarantine
