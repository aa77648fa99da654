// Package tpplace assigns relayed requests to targets. For each request it
// chooses the target, decides whether a separate target reads the prompt before
// another one generates, and checks whether a further attempt is within the
// retry budget. It is the second stage of the relay pipeline.
package tpplace
