package tpguestfake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPageItems is the maximum number of objects in one page of a list.
const maxPageItems = 50

// Store simulates the platform's object store. The zero value is an empty store
// that is ready to use.
type Store struct {
	mu                sync.Mutex
	revision          uint64
	objects           map[string]map[string]*entry // by kind and name
	history           []event
	compactedRevision uint64         // watches from before this revision end with 410 Gone
	suppressEvents    bool           // watches report no changes
	refusals          map[string]int // HTTP status by client IP address; "" applies to all
	changed           chan struct{}  // closed and replaced at each change
	callCounts        map[string]int // by HTTP method
	rawTexts          []string       // pairs of a placeholder and the text that replaces it in answers
	era               uint64         // number of restorations
}

type entry struct {
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"`
	Created  uint64          `json:"create_revision"`
	spec     json.RawMessage // JSON document
	raw      json.RawMessage // placeholder that encodes the whole object, or nil
}

type event struct {
	kind     string
	revision uint64
	removed  bool
	object   any
	entry    entry // after the change, for Restore
	at       time.Time
}

type wireObject struct {
	Metadata entry           `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

func (s *Store) init() {
	if s.objects == nil {
		s.objects = make(map[string]map[string]*entry)
		s.refusals = make(map[string]int)
		s.callCounts = make(map[string]int)
		s.changed = make(chan struct{})
		s.revision = 1
	}
}

// Set creates or replaces an object without a revision check. It panics if spec
// cannot be encoded as JSON.
func (s *Store) Set(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.set(kind, name, data)
}

// SetRaw creates or replaces an object of which lists and watches return the
// given text, whether or not it is JSON.
func (s *Store) SetRaw(kind, name string, text func(revision uint64) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	raw := fmt.Sprintf(`"raw object at revision %d"`, s.revision+1)
	s.rawTexts = append(s.rawTexts, raw, text(s.revision+1))
	s.setRaw(kind, name, nil, json.RawMessage(raw))
}

func (s *Store) set(kind, name string, spec json.RawMessage) *entry {
	return s.setRaw(kind, name, spec, nil)
}

func (s *Store) setRaw(kind, name string, spec, raw json.RawMessage) *entry {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*entry)
	}
	e, ok := s.objects[kind][name]
	if !ok {
		e = &entry{Name: name, Created: s.revision}
		s.objects[kind][name] = e
	}
	e.Revision, e.spec, e.raw = s.revision, spec, raw
	s.recordEvent(kind, e, false)
	return e
}

// Revision returns the current revision.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	return s.revision
}

// Remove removes an object without a revision check. A missing object is left
// alone.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if e, ok := s.objects[kind][name]; ok {
		s.revision++
		delete(s.objects[kind], name)
		s.recordEvent(kind, e, true)
	}
}

func (s *Store) recordEvent(kind string, e *entry, removed bool) {
	s.history = append(s.history, event{
		kind: kind, revision: s.revision, removed: removed, object: e.toWire(), entry: *e, at: time.Now(),
	})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (e *entry) toWire() any {
	if e.raw != nil {
		return e.raw
	}
	return wireObject{Metadata: *e, Spec: e.spec}
}

// CompactHistory marks the history up to now as dropped. A watch from an
// earlier revision then ends with 410 Gone.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.compactedRevision = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// SuppressWatchEvents keeps watches from reporting changes until it is called
// with false.
func (s *Store) SuppressWatchEvents(suppressEvents bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.suppressEvents = suppressEvents
}

// SetRefusalStatus makes the store answer each call from a client's IP address
// with a status. A status of 0 ends the refusal. An empty host applies to all
// clients.
func (s *Store) SetRefusalStatus(host string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.refusals[host] = status
	close(s.changed)
	s.changed = make(chan struct{})
}

// CallCounts returns the number of calls by HTTP method, with "WATCH" for
// watches.
func (s *Store) CallCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int)
	for k, v := range s.callCounts {
		out[k] = v
	}
	return out
}

// refusalStatus returns the status with which a call is refused, or 0.
func (s *Store) refusalStatus(r *http.Request) int {
	host, _, _ := strings.Cut(r.RemoteAddr, ":")
	if status := s.refusals[""]; status != 0 {
		return status
	}
	return s.refusals[host]
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/teaselpin/objects/")
	kind, name, _ := strings.Cut(rest, "/")
	if !ok || kind == "" {
		http.NotFound(w, r)
		return
	}
	if r.Method == http.MethodGet && r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.callCounts[r.Method]++
	s.nameEra(w)
	if status := s.refusalStatus(r); status != 0 {
		w.WriteHeader(status)
		return
	}
	switch r.Method {
	case http.MethodGet:
		s.get(w, r, kind, name)
	case http.MethodPost, http.MethodPut:
		s.put(w, r, kind, name)
	case http.MethodDelete:
		s.remove(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// answerRaw answers with the encoding of v, in which it replaces placeholders.
func answerRaw(w http.ResponseWriter, rawTexts []string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = strings.NewReplacer(rawTexts...).WriteString(w, string(data))
}

func (s *Store) get(w http.ResponseWriter, r *http.Request, kind, name string) {
	if name != "" {
		e, ok := s.objects[kind][name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, e.toWire())
		return
	}
	var names []string
	for n := range s.objects[kind] {
		if n > r.URL.Query().Get("after") {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	more := len(names) > maxPageItems
	items := []any{}
	for _, n := range names[:min(len(names), maxPageItems)] {
		items = append(items, s.objects[kind][n].toWire())
	}
	answerRaw(w, s.rawTexts, map[string]any{"items": items, "more": more, "current_rev": s.revision})
}

func (s *Store) put(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	create := r.Method == http.MethodPost
	if create {
		name = in.Metadata.Name
	}
	e, exists := s.objects[kind][name]
	switch {
	case create && exists, !create && exists && in.Metadata.Revision != e.Revision:
		answer(w, http.StatusConflict, e.toWire())
		return
	case !create && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, s.set(kind, name, in.Spec).toWire())
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request, kind, name string) {
	e, exists := s.objects[kind][name]
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.URL.Query().Get("revision") != strconv.FormatUint(e.Revision, 10):
		answer(w, http.StatusConflict, e.toWire())
	default:
		s.revision++
		delete(s.objects[kind], name)
		s.recordEvent(kind, e, true)
		answer(w, http.StatusOK, e.toWire())
	}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	s.mu.Lock()
	s.init()
	s.callCounts["WATCH"]++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		s.init()
		status, changed := s.refusalStatus(r), s.changed
		events, revision := s.eventsAfter(kind, after), s.revision
		compacted := after < s.compactedRevision
		compacted = compacted || s.era > 0 && after > s.revision
		suppressEvents, rawTexts := s.suppressEvents, s.rawTexts
		s.nameEra(w)
		s.mu.Unlock()
		switch {
		case status != 0:
			w.WriteHeader(status)
			return
		case compacted && !suppressEvents:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 && !suppressEvents:
			answerRaw(w, rawTexts, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": []any{}, "current_rev": revision})
			return
		}
	}
}

func (s *Store) eventsAfter(kind string, after uint64) []map[string]any {
	var events []map[string]any
	for _, e := range s.history {
		if e.kind == kind && e.revision > after {
			events = append(events, map[string]any{"removed": e.removed, "object": e.object})
		}
	}
	return events
}
