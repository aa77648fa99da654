package tpmessage

// DutyHolder identifies the holder of the region's lease in a call to the duty
// API.
type DutyHolder struct {
	Name    string
	Fencing uint64 // increases with each grant of the lease
}

// UsageReport holds the number of requests of each organisation that began to
// run in one window.
type UsageReport struct {
	Window int64 // number of the window, counted from the start of 1970
	Counts []OrganisationCount
}

// OrganisationCount is a number of requests of one organisation.
type OrganisationCount struct {
	Organisation string
	Requests     uint64
}

// ScaleOrder asks for a number of targets of one kind for a pool in one
// availability zone.
type ScaleOrder struct {
	Pool  string
	Zone  string
	Spot  bool // the targets may be reclaimed at any time and cost less
	Count int
}
