// Package tplog writes log lines without ever holding back the caller.
package tplog
