// Package tpprocess starts the programs as separate processes, and kills,
// pauses and resumes them with signals. Only tests use it; the programs
// themselves start no process. It sleeps only between two checks of a condition
// that cannot be awaited as an event.
package tpprocess
