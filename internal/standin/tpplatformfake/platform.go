package tpplatformfake

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"teaselpin.example/teaselpin/internal/edge/tpplatform"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

// DefaultWatchWait is the time after which a watch without change ends.
const DefaultWatchWait = 20 * time.Second

// Faults is the state of the faults on command.
type Faults struct {
	Down       bool          `json:"down"`       // every call is refused
	DownCalls  int           `json:"downCalls"`  // number of next calls that are refused
	Delay      time.Duration `json:"delay"`      // added to every call, in nanoseconds
	SlowCalls  int           `json:"slowCalls"`  // number of next calls that Delay is added to; 0 means all
	LoseWrites int           `json:"loseWrites"` // number of next writes whose answer is lost
	// Prefix limits the faults to objects whose names begin with it.
	Prefix string `json:"prefix"`
}

// Counts is the number of calls by kind. A watch counts as one call, however
// long it waits.
type Counts struct {
	Get, Put, Delete, List, Watch, VMs uint64
	Refused                            uint64 // by faults
	Limited                            uint64 // by the rate limit
	Waiting                            int64  // watches that are waiting now
}

// Limit is a rate limit over all calls together.
type Limit struct {
	PerSecond float64 `json:"perSecond"` // 0 means no limit
	Burst     int     `json:"burst"`     // calls at once
}

// Platform serves the platform's interface over an in-memory store. The zero
// value is ready to use.
type Platform struct {
	Store tpobject.Memory
	// WatchWait bounds a watch; zero means DefaultWatchWait.
	WatchWait time.Duration

	mu      sync.Mutex
	faults  Faults
	slow    bool // SlowCalls was given and counts down
	counts  Counts
	limiter *rate.Limiter // nil means no limit
	lag     time.Duration
	lists   []vmList // oldest first
}

// vmList is a list of VMs and the time at which it became true.
type vmList struct {
	at  time.Time
	vms []tpplatform.VM
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.slow = f.SlowCalls > 0
}

// SetLimit replaces the rate limit.
func (p *Platform) SetLimit(l Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter = nil
	if l.PerSecond > 0 {
		p.limiter = rate.NewLimiter(rate.Limit(l.PerSecond), max(l.Burst, 1))
	}
}

// SetLag replaces the time by which the list of VMs lags.
func (p *Platform) SetLag(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = d
}

// SetVMs replaces the list of VMs. It is shown once the lag has passed.
func (p *Platform) SetVMs(vms []tpplatform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, vmList{at: time.Now(), vms: vms})
}

// shownVMs returns the list as it was before the lag.
func (p *Platform) shownVMs() []tpplatform.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	shown := time.Now().Add(-p.lag)
	var vms []tpplatform.VM
	for _, l := range p.lists {
		if l.at.After(shown) {
			break
		}
		vms = l.vms
	}
	return vms
}

// Counts returns the number of calls by kind.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Handler returns the HTTP interface. PUT /faults, /vms, /lag (nanoseconds) and
// /limit set the faults, the list, its lag and the rate limit; GET /counts
// returns the counts.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+tpplatform.PathObjects, p.call(&p.counts.Get, p.get))
	mux.HandleFunc("PUT "+tpplatform.PathObjects, p.call(&p.counts.Put, p.put))
	mux.HandleFunc("DELETE "+tpplatform.PathObjects, p.call(&p.counts.Delete, p.remove))
	mux.HandleFunc("GET "+tpplatform.PathList, p.call(&p.counts.List, p.list))
	mux.HandleFunc("GET "+tpplatform.PathWatch, p.call(&p.counts.Watch, p.watch))
	mux.HandleFunc("GET "+tpplatform.PathVMs, p.call(&p.counts.VMs, p.listVMs))
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) { set(w, r, p.SetFaults) })
	mux.HandleFunc("PUT /vms", func(w http.ResponseWriter, r *http.Request) { set(w, r, p.SetVMs) })
	mux.HandleFunc("PUT /lag", func(w http.ResponseWriter, r *http.Request) { set(w, r, p.SetLag) })
	mux.HandleFunc("PUT /limit", func(w http.ResponseWriter, r *http.Request) { set(w, r, p.SetLimit) })
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counts()) })
	return mux
}

// call counts a call and applies the rate limit and the faults before it.
func (p *Platform) call(count *uint64, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		limited, down, delay := p.admit(count, target(r))
		if limited {
			http.Error(w, "over the platform's rate", http.StatusTooManyRequests)
			return
		}
		if delay > 0 { // a fault on command
			time.Sleep(delay)
		}
		if down {
			http.Error(w, "the platform is down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// admit counts one call on a name and returns what happens to it.
func (p *Platform) admit(count *uint64, name string) (limited, down bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*count++
	if p.limiter != nil && !p.limiter.Allow() {
		p.counts.Limited++
		return true, false, 0
	}
	f := &p.faults
	if !strings.HasPrefix(name, f.Prefix) {
		return false, false, 0
	}
	if f.Delay > 0 && (!p.slow || f.SlowCalls > 0) {
		delay = f.Delay
		f.SlowCalls = max(f.SlowCalls-1, 0)
	}
	down = f.Down || f.DownCalls > 0
	f.DownCalls = max(f.DownCalls-1, 0)
	if down {
		p.counts.Refused++
	}
	return false, down, delay
}

// loseAnswer reports whether the answer to this write is to be lost.
func (p *Platform) loseAnswer(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseWrites == 0 || !strings.HasPrefix(name, p.faults.Prefix) {
		return false
	}
	p.faults.LoseWrites--
	return true
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	o, err := p.Store.Get(r.Context(), name(r))
	answer(w, o, err)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, tpobject.MaxValueBytes+1))
	if err != nil {
		answer(w, nil, tpobject.ErrTooLarge)
		return
	}
	version, err := p.Store.Put(r.Context(), name(r), value, number(r, "version"))
	if err == nil && p.loseAnswer(name(r)) {
		panic(http.ErrAbortHandler)
	}
	answer(w, tpplatform.PutAnswer{Version: version}, err)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	err := p.Store.Delete(r.Context(), name(r), number(r, "version"))
	if err == nil && p.loseAnswer(name(r)) {
		panic(http.ErrAbortHandler)
	}
	answer(w, struct{}{}, err)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	list, err := p.Store.List(r.Context(), r.URL.Query().Get("prefix"))
	answer(w, list, err)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	wait := p.WatchWait
	if wait <= 0 {
		wait = DefaultWatchWait
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	p.addWaiting(1)
	defer p.addWaiting(-1)
	changes, err := p.Store.Watch(ctx, r.URL.Query().Get("prefix"), number(r, "after"))
	answer(w, changes, err)
}

func (p *Platform) addWaiting(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Waiting += n
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.shownVMs()) }

// target returns the name or prefix that a call is about.
func target(r *http.Request) string {
	if prefix := r.URL.Query().Get("prefix"); prefix != "" {
		return prefix
	}
	return name(r)
}

func name(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, tpplatform.PathObjects) }

func number(r *http.Request, key string) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(key), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func answer(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		writeJSON(w, v)
	case errors.Is(err, tpobject.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, tpobject.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, tpobject.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func set[T any](w http.ResponseWriter, r *http.Request, apply func(T)) {
	var v T
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	apply(v)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
