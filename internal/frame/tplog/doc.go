// Package tplog writes log lines without blocking the caller.
package tplog
