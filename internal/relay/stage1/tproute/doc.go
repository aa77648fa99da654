// Package tproute selects the route and the pool of a request. It is the first
// stage of the relay pipeline.
package tproute
