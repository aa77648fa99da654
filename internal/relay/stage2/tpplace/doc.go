// Package tpplace assigns the steps of relayed requests to targets. For each
// step it chooses the target. For a new request it also decides whether one
// target reads the prompt and another one generates, and for a retry it checks
// the retry budget. It is the second stage of the relay pipeline.
package tpplace
