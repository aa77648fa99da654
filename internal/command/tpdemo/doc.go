// Package tpdemo runs a demonstration on embedded stand-ins: callers of several
// organisations stream answers and book slots through two nodes, while an
// engine fails and a node is stopped gracefully. It checks every answer and
// booking.
package tpdemo
