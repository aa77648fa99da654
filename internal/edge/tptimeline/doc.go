// Package tptimeline writes merged timelines for people and for viewers: as
// text, JSON lines, trace-event JSON, and a picture.
package tptimeline
