// Package tpquarantine decides which requests may run again after targets
// crashed under them. It finds a request that crashes each target which runs
// it, and clears those that only ran beside it.
package tpquarantine
