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

	"teaselpin.example/teaselpin/internal/edge/tpplatform"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

// DefaultWatchWait is the time after which a watch without change ends.
const DefaultWatchWait = 20 * time.Second

// Faults is the state of the faults on command.
type Faults struct {
	Down       bool          `json:"down"`       // every call is refused
	Delay      time.Duration `json:"delay"`      // added to every call, in nanoseconds
	LoseWrites int           `json:"loseWrites"` // number of next writes whose answer is lost
}

// Counts is the number of calls by kind.
type Counts struct {
	Get, Put, Delete, List, Watch, VMs, Refused uint64
}

// Platform serves the platform's interface over an in-memory store. The zero
// value is ready to use.
type Platform struct {
	Store tpobject.Memory
	// WatchWait bounds a watch; zero means DefaultWatchWait.
	WatchWait time.Duration

	mu     sync.Mutex
	faults Faults
	counts Counts
	vms    []tpplatform.VM
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetVMs replaces the list of VMs.
func (p *Platform) SetVMs(vms []tpplatform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = vms
}

// Counts returns the number of calls by kind.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Handler returns the HTTP interface. PUT /faults and PUT /vms set the faults
// and the list; GET /counts returns the counts.
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
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counts()) })
	return mux
}

// call counts a call and applies the faults before it.
func (p *Platform) call(count *uint64, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		*count++
		f := p.faults
		if f.Down {
			p.counts.Refused++
		}
		p.mu.Unlock()
		if f.Delay > 0 {
			time.Sleep(f.Delay)
		}
		if f.Down {
			http.Error(w, "the platform is down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// loseAnswer reports whether the answer to this write is to be lost.
func (p *Platform) loseAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseWrites == 0 {
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
	if err == nil && p.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	answer(w, tpplatform.PutAnswer{Version: version}, err)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	err := p.Store.Delete(r.Context(), name(r), number(r, "version"))
	if err == nil && p.loseAnswer() {
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
	changes, err := p.Store.Watch(ctx, r.URL.Query().Get("prefix"), number(r, "after"))
	answer(w, changes, err)
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	vms := p.vms
	p.mu.Unlock()
	writeJSON(w, vms)
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
