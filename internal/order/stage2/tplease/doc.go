// Package tplease decides who holds a lease, an object of the platform that
// is changed only by conditional update. Lease is the decision; Duty runs it
// against a tpobject.Store.
package tplease
