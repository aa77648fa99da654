package tpguestfake

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// DutyFault is a fault that a DutyAPI injects into one call.
type DutyFault uint8

// Faults of a DutyAPI. The zero value injects none.
const (
	DutyNone        DutyFault = iota
	DutySlow                  // answers after DutySlowDelay
	DutySilent                // does not carry the call out and never answers
	DutyReset                 // does not carry the call out and closes the connection
	DutyLimited               // answers 429
	DutyUnavailable           // answers 503
	DutyLostAnswer            // carries the call out and closes the connection
)

// DutySlowDelay is the delay of a slow answer: 50 times as long as usual, which
// is under the timeout of a call.
const DutySlowDelay = 400 * time.Millisecond

// DutyCall is a call that has reached a DutyAPI.
type DutyCall struct {
	Path    string
	Holder  string
	Fencing uint64
	Subject string // the calls of one subject have one holder at a time
	Window  int64
	Counts  map[string]uint64
	At      time.Time
	Done    bool // it was carried out
}

// DutyAPI simulates the platform's API for duties that one node holds at a time.
// The zero value accepts all calls.
type DutyAPI struct {
	// PerSecond is the number of calls a second above which calls get 429. Zero
	// means no limit.
	PerSecond int

	mu     sync.Mutex
	faults []DutyFault // of the next calls
	calls  []DutyCall
}

// QueueFaults queues faults. Each of the next calls takes one.
func (d *DutyAPI) QueueFaults(faults ...DutyFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = append(d.faults, faults...)
}

// Calls returns the calls, oldest first.
func (d *DutyAPI) Calls() []DutyCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]DutyCall(nil), d.calls...)
}

// ServeHTTP implements http.Handler.
func (d *DutyAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Window  int64             `json:"window"`
		Counts  map[string]uint64 `json:"counts"`
		Service string            `json:"service"`
		Zone    string            `json:"zone"`
	}
	fencing, err := strconv.ParseUint(r.Header.Get("X-Teaselpin-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || r.Method != http.MethodPost || r.URL.Path != "/usage" && r.URL.Path != "/scale" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call := DutyCall{
		Path: r.URL.Path, Holder: r.Header.Get("X-Teaselpin-Duty-Holder"), Fencing: fencing, Subject: "usage",
		Window: body.Window, Counts: body.Counts, At: time.Now(),
	}
	if r.URL.Path == "/scale" {
		call.Subject = body.Service + "/" + body.Zone
	}
	switch fault := d.add(&call); fault {
	case DutySilent:
		<-r.Context().Done()
	case DutyReset, DutyLostAnswer:
		panic(http.ErrAbortHandler)
	case DutyLimited:
		w.WriteHeader(http.StatusTooManyRequests)
	case DutyUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case DutySlow:
		time.Sleep(DutySlowDelay) // injected fault
	}
}

// add records a call and returns its fault.
func (d *DutyAPI) add(call *DutyCall) DutyFault {
	d.mu.Lock()
	defer d.mu.Unlock()
	fault := DutyNone
	if len(d.faults) > 0 {
		fault, d.faults = d.faults[0], d.faults[1:]
	}
	if n := len(d.calls) - d.PerSecond; d.PerSecond > 0 && n >= 0 && call.At.Sub(d.calls[n].At) < time.Second {
		fault = DutyLimited
	}
	call.Done = fault == DutyNone || fault == DutySlow || fault == DutyLostAnswer
	d.calls = append(d.calls, *call)
	return fault
}

// CheckDuty returns the violations of the rules on holders in a series of calls,
// oldest first: the number never decreases and is never reused by a second
// holder, no holder returns within term after another one, and no two reports of
// a window differ.
func CheckDuty(calls []DutyCall, term time.Duration) (faults []string) {
	last := make(map[string]DutyCall)             // by subject
	before := make(map[string]DutyCall)           // the last call of the holder before the last one
	reports := make(map[int64]map[string]uint64)  // by window
	holders := make(map[string]map[uint64]string) // by subject and number
	for _, c := range calls {
		previous, any := last[c.Subject]
		if any && c.Fencing < previous.Fencing {
			faults = append(faults, fmt.Sprintf("%s: number %d of %s after %d of %s", c.Subject, c.Fencing, c.Holder, previous.Fencing, previous.Holder))
		}
		if holders[c.Subject] == nil {
			holders[c.Subject] = make(map[uint64]string)
		}
		if h, used := holders[c.Subject][c.Fencing]; used && h != c.Holder {
			faults = append(faults, fmt.Sprintf("%s: number %d of %s and of %s", c.Subject, c.Fencing, h, c.Holder))
		}
		holders[c.Subject][c.Fencing] = c.Holder
		if any && previous.Holder != c.Holder {
			if a, ok := before[c.Subject]; ok && a.Holder == c.Holder && c.At.Sub(a.At) < term {
				faults = append(faults, fmt.Sprintf("%s: %s, %s, %s within %v", c.Subject, c.Holder, previous.Holder, c.Holder, c.At.Sub(a.At)))
			}
			before[c.Subject] = previous
		}
		last[c.Subject] = c
		if c.Path != "/usage" {
			continue
		}
		if counts, known := reports[c.Window]; known && !maps.Equal(counts, c.Counts) {
			faults = append(faults, fmt.Sprintf("window %d: reports %v and %v", c.Window, counts, c.Counts))
		}
		reports[c.Window] = c.Counts
	}
	return faults
}
