//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func newReader(s string) io.Reader { return strings.NewReader(s) }

// arrival is a request that has reached a server.
type arrival struct {
	id, server, service, path string
	at                        time.Time
	run                       bool
}

// server is a server of the platform. It answers as the pages say.
type server struct {
	f                        *fleet
	id, service, zone, stage string
	address                  string
	born                     int64
	work                     time.Duration
	state                    string
	crashes                  func(r *http.Request) bool // whether a request crashes the server that runs it
	downTime                 time.Duration
	mu                       sync.Mutex
	arrivals                 []arrival
	crashTimes               []time.Time
	running                  *http.Server
	listener                 net.Listener
	down                     bool
	fixed                    bool // rejects orders to change its stage
	dark                     bool // a crash leaves its channels silent until the server is back
	back                     chan struct{}
	behave                   func(w http.ResponseWriter, r *http.Request, body []byte) bool
	orders                   []order // accepted
	received                 []order // accepted or not
}

// order is an order as a server receives it.
type order struct {
	Operation string  `json:"operation"`
	Stage     string  `json:"stage"`
	Holder    string  `json:"holder"`
	Fencing   uint64  `json:"fencing_token"`
	Expected  *uint64 `json:"expected"`
	at        time.Time
}

// order accepts an order to change the stage. The new stage is registered at
// once.
func (s *server) order(w http.ResponseWriter, body []byte) {
	var o order
	if err := json.Unmarshal(body, &o); err != nil || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.f.rec.add("order to %s: stage %s, holder %s, generation number %d", s.id, o.Stage, o.Holder, o.Fencing)
	o.at = time.Now()
	s.received = append(s.received, o)
	if o.Expected != nil && *o.Expected != uint64(len(s.orders)) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.orders = append(s.orders, o)
	if s.stage == o.Stage {
		w.WriteHeader(http.StatusOK)
		return
	}
	s.stage = o.Stage
	time.AfterFunc(3*time.Second, s.register)
	w.WriteHeader(http.StatusAccepted)
}

func (f *fleet) addServer(s *server) *server {
	s.f = f
	s.born = time.Now().UnixMilli()
	if s.state == "" {
		s.state = "ready"
	}
	l, err := net.Listen("tcp", newHost()+":0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	s.address = l.Addr().String()
	s.serve(l)
	f.servers = append(f.servers, s)
	s.register()
	return s
}

// register writes the entry of the server into the store.
func (s *server) register() {
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 64, "state": s.state,
		"cold_left_ms": 0, "sequence": 1, "born": s.born,
	}
	if s.stage != "" {
		entry["stage"] = s.stage
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	s.f.store.Set("servers", s.id, entry)
}

func (s *server) serve(l net.Listener) {
	h := &http.Server{Handler: s}
	s.running, s.listener = h, l
	go func() { _ = h.Serve(l) }()
}

// crash ends all exchanges of the server, which is back after downTime.
func (s *server) crash() {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	s.down = true
	s.crashTimes = append(s.crashTimes, time.Now())
	h := s.running
	s.back = make(chan struct{})
	back := s.back
	s.mu.Unlock()
	if s.dark {
		s.listener.Close()
	} else {
		_ = h.Close()
	}
	time.AfterFunc(s.downTime, func() {
		_ = h.Close()
		close(back)
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.down = false
		s.born = time.Now().UnixMilli()
		s.serve(l)
		s.mu.Unlock()
		s.register()
	})
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch {
	case r.URL.Path == "/teaselpin/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":%d,"waiting":0,"running":0,"kv_used":0,"kv_total":400000,"handles":0}`, s.currentStage(), len(s.orders))
		return
	case r.URL.Path == "/teaselpin/order":
		s.order(w, body)
		return
	case r.Method == http.MethodDelete:
		return
	}
	id := r.Header.Get("X-Teaselpin-Request-Id")
	w.Header().Set("X-Teaselpin-Request-Id", id)
	expected := r.Header.Get("X-Teaselpin-Expect-Instance")
	if expected != "" && expected != s.id {
		w.Header().Set("X-Teaselpin-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	prefill := r.Header.Get("X-Teaselpin-Stage") == "prefill"
	if stage := s.currentStage(); stage != "" && prefill != (stage == "prefill") {
		w.Header().Set("X-Teaselpin-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if prefill {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"handle":"h%s","tokens":300,"version":1}`, id)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id: id, server: s.id, service: s.service, path: r.URL.Path, at: time.Now(), run: true})
	s.mu.Unlock()
	if s.crashes != nil && s.crashes(r) {
		s.f.rec.add("server %s runs %s and crashes", s.id, id)
		time.Sleep(5 * time.Millisecond)
		s.crash()
		if s.dark {
			s.mu.Lock()
			back := s.back
			s.mu.Unlock()
			<-back
		}
		panic(http.ErrAbortHandler)
	}
	if s.behave != nil && s.behave(w, r, body) {
		return
	}
	time.Sleep(s.work)
	text := s.service + " answers " + id
	w.Header().Set("X-Teaselpin-Response-Stamp", s.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

func (s *server) currentStage() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stage
}

func (s *server) seen() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// route is a route of a configuration.
func route(name, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "service": service, "priority": 2,
		"timeout_ms": 5000, "latency_goal_ms": 150, "max_attempts": 2, "resumable": kind == "stream",
	}
}

// configure writes a configuration and returns the time of its ack.
func (f *fleet) configure(version int, services []any, routes ...any) time.Time {
	f.store.Set("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	now := time.Now()
	f.rec.add("the store acknowledges configuration %d", version)
	return now
}

func plain(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false}
}
