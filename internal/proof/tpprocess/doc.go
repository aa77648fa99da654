// Package tpprocess starts the programs as separate processes for tests, and
// kills, pauses and resumes them with real signals. It is used by tests alone;
// the programs themselves start no process. Its short sleeps are only the
// interval between two looks at a condition that gives no event.
package tpprocess
