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

// DefaultWatchTimeout is the time after which a watch without a change ends.
const DefaultWatchTimeout = 20 * time.Second

// Faults is the set of faults that a test injects. The zero value injects none.
type Faults struct {
	Down             bool          `json:"down"`       // refuses every call with status 503
	DownCalls        int           `json:"downCalls"`  // number of next calls to refuse with status 503
	Delay            time.Duration `json:"delay"`      // added before each call, in nanoseconds
	SlowCalls        int           `json:"slowCalls"`  // number of next calls that Delay applies to; 0 means all
	LoseWriteAnswers int           `json:"loseWrites"` // number of next writes that take effect but whose answer is lost
	// Prefix limits the faults to calls on objects or prefixes that begin with
	// it. Empty means all calls.
	Prefix string `json:"prefix"`
}

// Counts holds the number of calls of each kind. A watch counts as one call,
// however long it waits. The calls that were refused or limited also count in
// their kind. The fields are encoded in JSON under their Go names.
type Counts struct {
	Get, Put, Delete, List, Watch, VMs uint64
	Refused                            uint64 // refused by faults
	Limited                            uint64 // refused by the rate limit
	Waiting                            int64  // watches in progress
}

// Limit is a rate limit over all calls together.
type Limit struct {
	PerSecond float64 `json:"perSecond"` // calls per second; 0 means no limit
	Burst     int     `json:"burst"`     // maximum number of calls at once; less than 1 means 1
}

// Platform serves the platform's interface over an in-memory store. The zero
// value is ready to use.
type Platform struct {
	Store tpobject.Memory
	// WatchTimeout bounds the duration of a watch; 0 means DefaultWatchTimeout.
	WatchTimeout time.Duration

	mu              sync.Mutex
	faults          Faults
	limitsSlowCalls bool // the delay ends when SlowCalls reaches 0
	counts          Counts
	limiter         *rate.Limiter // nil means no limit
	vmListLag       time.Duration
	vmLists         []vmList // oldest first
}

// vmList is a list of VMs and the time at which it was set.
type vmList struct {
	setAt time.Time
	vms   []tpplatform.VM
}

// SetFaults replaces all faults and their remaining counts.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.limitsSlowCalls = f.SlowCalls > 0
}

// SetLimit replaces the rate limit. The full burst is then available.
func (p *Platform) SetLimit(l Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter = nil
	if l.PerSecond > 0 {
		p.limiter = rate.NewLimiter(rate.Limit(l.PerSecond), max(l.Burst, 1))
	}
}

// SetVMListLag sets the time by which the served list of VMs lags behind
// SetVMs.
func (p *Platform) SetVMListLag(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vmListLag = d
}

// SetVMs replaces the list of VMs. The platform serves the new list once the
// lag has passed.
func (p *Platform) SetVMs(vms []tpplatform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vmLists = append(p.vmLists, vmList{setAt: time.Now(), vms: vms})
}

// laggedVMs returns the latest list that is at least as old as the lag, or nil.
func (p *Platform) laggedVMs() []tpplatform.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	cutoff := time.Now().Add(-p.vmListLag)
	var vms []tpplatform.VM
	for _, l := range p.vmLists {
		if l.setAt.After(cutoff) {
			break
		}
		vms = l.vms
	}
	return vms
}

// Counts returns a snapshot of the call counts.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Handler returns the HTTP interface. Besides the platform's own paths,
// PUT /faults, /vms, /lag (nanoseconds) and /limit set the faults, the list of
// VMs, its lag and the rate limit, and GET /counts returns the call counts.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+tpplatform.PathObjects, p.withFaults(&p.counts.Get, p.get))
	mux.HandleFunc("PUT "+tpplatform.PathObjects, p.withFaults(&p.counts.Put, p.put))
	mux.HandleFunc("DELETE "+tpplatform.PathObjects, p.withFaults(&p.counts.Delete, p.remove))
	mux.HandleFunc("GET "+tpplatform.PathList, p.withFaults(&p.counts.List, p.list))
	mux.HandleFunc("GET "+tpplatform.PathWatch, p.withFaults(&p.counts.Watch, p.watch))
	mux.HandleFunc("GET "+tpplatform.PathVMs, p.withFaults(&p.counts.VMs, p.listVMs))
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) { serveSetting(w, r, p.SetFaults) })
	mux.HandleFunc("PUT /vms", func(w http.ResponseWriter, r *http.Request) { serveSetting(w, r, p.SetVMs) })
	mux.HandleFunc("PUT /lag", func(w http.ResponseWriter, r *http.Request) { serveSetting(w, r, p.SetVMListLag) })
	mux.HandleFunc("PUT /limit", func(w http.ResponseWriter, r *http.Request) { serveSetting(w, r, p.SetLimit) })
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counts()) })
	return mux
}

// withFaults wraps a handler. It counts each call and applies the rate limit
// and the faults before the handler runs.
func (p *Platform) withFaults(count *uint64, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		limited, down, delay := p.admit(count, objectOrPrefix(r))
		if limited {
			http.Error(w, "platform rate limit exceeded", http.StatusTooManyRequests)
			return
		}
		if delay > 0 { // injected fault
			time.Sleep(delay)
		}
		if down {
			http.Error(w, "the platform is down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// admit counts one call on an object or prefix. It returns whether the rate
// limit or a fault refuses the call, and the delay before the call.
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
	if f.Delay > 0 && (!p.limitsSlowCalls || f.SlowCalls > 0) {
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

// consumeLostWrite reports whether the answer to a write is to be lost, and
// counts down LoseWriteAnswers if so.
func (p *Platform) consumeLostWrite(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseWriteAnswers == 0 || !strings.HasPrefix(name, p.faults.Prefix) {
		return false
	}
	p.faults.LoseWriteAnswers--
	return true
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	o, err := p.Store.Get(r.Context(), objectName(r))
	writeResult(w, o, err)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, tpobject.MaxValueBytes+1))
	if err != nil {
		writeResult(w, nil, tpobject.ErrTooLarge)
		return
	}
	version, err := p.Store.Put(r.Context(), objectName(r), value, queryNumber(r, "version"))
	if err == nil && p.consumeLostWrite(objectName(r)) {
		panic(http.ErrAbortHandler)
	}
	writeResult(w, tpplatform.PutResponse{Version: version}, err)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	err := p.Store.Delete(r.Context(), objectName(r), queryNumber(r, "version"))
	if err == nil && p.consumeLostWrite(objectName(r)) {
		panic(http.ErrAbortHandler)
	}
	writeResult(w, struct{}{}, err)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	list, err := p.Store.List(r.Context(), r.URL.Query().Get("prefix"))
	writeResult(w, list, err)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	wait := p.WatchTimeout
	if wait <= 0 {
		wait = DefaultWatchTimeout
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	p.addWaiting(1)
	defer p.addWaiting(-1)
	changes, err := p.Store.Watch(ctx, r.URL.Query().Get("prefix"), queryNumber(r, "after"))
	writeResult(w, changes, err)
}

func (p *Platform) addWaiting(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Waiting += n
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.laggedVMs()) }

// objectOrPrefix returns the object name or the prefix that a call refers to.
func objectOrPrefix(r *http.Request) string {
	if prefix := r.URL.Query().Get("prefix"); prefix != "" {
		return prefix
	}
	return objectName(r)
}

func objectName(r *http.Request) string {
	return strings.TrimPrefix(r.URL.Path, tpplatform.PathObjects)
}

func queryNumber(r *http.Request, key string) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(key), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func writeResult(w http.ResponseWriter, v any, err error) {
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

func serveSetting[T any](w http.ResponseWriter, r *http.Request, apply func(T)) {
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
