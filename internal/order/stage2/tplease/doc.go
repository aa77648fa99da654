// Package tplease decides which candidate holds a lease. A lease is an object
// on the platform that only conditional updates change. Lease makes the
// decisions, and Duty performs them against a tpobject.Store.
package tplease
