// Package tpplatformfake simulates the platform for tests. It serves the object
// API with conditional updates and watches, and a list of VMs that lags. It
// applies a rate limit to all calls, in which a watch is one call, and injects
// faults.
package tpplatformfake
