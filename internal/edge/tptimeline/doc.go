// Package tptimeline writes merged timelines as text, JSON lines, trace-event
// JSON for trace viewers, or a PNG image.
package tptimeline
