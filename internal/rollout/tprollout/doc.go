// Package tprollout distributes the accepted configuration from the platform to
// the nodes. The configuration is split into parts. A small head object names
// the object of each part and carries a generation number that only increases.
package tprollout
