// Package tpplatform is the HTTP client of the platform: the object API and
// the list of VMs.
package tpplatform
