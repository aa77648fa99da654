// Package tpduty starts, counts and stops the long-lived goroutines of a
// process, which are called duties. Each duty runs as one task of a pond pool.
package tpduty
