// Package tpduty starts, counts and stops the long-lived goroutines of a
// process. Each duty runs as one task of a pond pool.
package tpduty
