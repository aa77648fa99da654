// Package tprollout carries the accepted configuration from the platform to
// the nodes. The configuration is cut into parts; a small head names the
// object of each part and a generation that only rises.
package tprollout
