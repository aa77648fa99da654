package tpmessage

import "time"

// UsageRequest asks a node for the requests that began to run there in the
// windows from First to Last. A Last below First asks only for the time.
type UsageRequest struct {
	First, Last int64
	Holder      string // name of the node that asks
	// Offset is the time of the region minus the time of the own clock of
	// Source. Another process than Source ignores it.
	Source string
	Offset time.Duration
	// Left is the final statement of the sender, which ends, or nil.
	Left *UsageStatement
}

// UsageAnswer answers a UsageRequest.
type UsageAnswer struct {
	Closed int64 // the last window that is over for the sender
	TimeMs int64 // of the sender's own clock, since the start of 1970
	// Statements holds that of the sender first, then those that nodes left
	// with it when they ended.
	Statements []UsageStatement
}

// UsageStatement holds the counts of one process of a node. Counts of a window
// that is over for the process never change once they are stated.
type UsageStatement struct {
	Source  string // name and incarnation of the node
	Final   bool   // the process has ended
	Windows []UsageReport
}
