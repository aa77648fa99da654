// Package tpplatform is the HTTP client of the platform's object API and of its
// list of VMs.
package tpplatform
