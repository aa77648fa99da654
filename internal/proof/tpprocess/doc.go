// Package tpprocess starts the programs as separate processes for tests, and
// kills, pauses and resumes them with real signals.
package tpprocess
