// Package tpusage decides what a node counts for the organisations and which
// reports the holder of the region's lease sends: by window, each request once,
// and never two reports with different counts for one window.
package tpusage
