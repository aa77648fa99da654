// Package tpdemo runs the main job on embedded stand-ins: callers of several
// organisations stream answers and book slots through two nodes, while an
// engine is lost and a node is stopped. It checks every answer and booking.
package tpdemo
