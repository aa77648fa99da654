//go:build review2

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

const (
	beatInterval = 1200 * time.Millisecond
	// roleSwitch is role_switch_s of the services.
	roleSwitch = 3 * time.Second
)

// arrival is a request that has reached a server.
type arrival struct {
	id, server, method, path string
	at                       time.Time
	ran                      bool
	ended                    string // how its answer ended
}

// book holds what all servers have seen.
type book struct {
	mu       sync.Mutex
	arrivals []*arrival
	crashes  []time.Time
}

// server is a stand-in of a server. A crash ends its process: the listener and all
// channels are reset. It starts again at its address, as a new lifetime with a new
// id, after down.
type server struct {
	p       *play
	book    *book
	service string
	zone    string
	slots   int
	stage   string // empty for a plain service
	down    time.Duration
	work    time.Duration
	// crash decides whether a request crashes the server, and how much of the
	// answer has been written by then.
	crash func(r *http.Request) crashPoint
	limit func() string // value of Server-Limit, or empty; may be nil

	mu       sync.Mutex
	id       string
	born     int64
	lives    int
	name     string
	address  string
	http     *http.Server
	conns    map[net.Conn]bool
	sequence int
	orders   int
	// switching is true while an order is carried out.
	switching bool
	stopped   bool
}

type crashPoint int

const (
	crashNever crashPoint = iota
	crashBeforeAnswer
	crashInAnswer // part of the answer has been written
)

func (p *play) newServer(name, service, zone string, b *book) *server {
	return &server{p: p, book: b, name: name, service: service, zone: zone, slots: 6, down: 2 * time.Second, work: 30 * time.Millisecond}
}

func (s *server) start() error {
	if s.address == "" {
		s.address = "127.0.0.1:0"
	}
	if err := s.live(); err != nil {
		return err
	}
	s.p.onClose(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.stopped = true
		if s.http != nil {
			_ = s.http.Close()
		}
	})
	return nil
}

// live starts a lifetime.
func (s *server) live() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.lives++
	s.id = fmt.Sprintf("i-%s-%d", s.name, s.lives)
	s.born = time.Now().UnixMilli()
	s.address = l.Addr().String()
	s.conns = make(map[net.Conn]bool)
	s.sequence, s.orders, s.switching = 0, 0, false
	srv := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, ConnState: s.track}
	s.http = srv
	s.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	s.register()
	return nil
}

func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.conns[c] = true
	} else if state == http.StateClosed {
		delete(s.conns, c)
	}
}

// register writes the entry of the present lifetime. A beat that changes nothing
// but its number is no change in the store, so it is left out.
func (s *server) register() {
	s.mu.Lock()
	s.sequence++
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"cold_left_ms": 0, "sequence": s.sequence, "born": s.born,
	}
	if s.stage != "" {
		entry["stage"] = s.stage
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	id := s.id
	s.mu.Unlock()
	s.p.store.Set("servers", id, entry)
}

// fall crashes the server. Its entry goes after three beats of silence.
func (s *server) fall(why string) {
	s.mu.Lock()
	if s.http == nil || s.stopped {
		s.mu.Unlock()
		return
	}
	srv, id := s.http, s.id
	s.http = nil
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	s.mu.Unlock()
	s.book.mu.Lock()
	s.book.crashes = append(s.book.crashes, time.Now())
	n := len(s.book.crashes)
	s.book.mu.Unlock()
	_ = srv.Close()
	s.p.logf("server %s crashes (crash %d): %s", id, n, why)
	time.AfterFunc(3*beatInterval, func() { s.p.store.Remove("servers", id) })
	time.AfterFunc(s.down, func() {
		s.mu.Lock()
		stopped := s.stopped
		s.mu.Unlock()
		if stopped {
			return
		}
		for range 50 {
			if s.live() == nil {
				s.p.logf("server %s starts", s.id)
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id, stage, orders, srv, switching := s.id, s.stage, s.orders, s.http, s.switching
	s.mu.Unlock()
	if srv == nil {
		panic(http.ErrAbortHandler)
	}
	switch {
	case r.URL.Path == "/teaselpin/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],"busy":%v,"sequence":%d,"waiting":0,"running":0,"kv_used":0,"kv_total":491555,"handles":0}`, stage, switching, orders)
		return
	case r.URL.Path == "/teaselpin/order":
		s.order(w, r)
		return
	case r.Method == http.MethodDelete:
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	reqID := r.Header.Get("X-Teaselpin-Request-Id")
	w.Header().Set("X-Teaselpin-Request-Id", reqID)
	if s.limit != nil {
		if v := s.limit(); v != "" {
			w.Header().Set("Server-Limit", v)
		}
	}
	a := &arrival{id: reqID, server: id, method: r.Method, path: r.RequestURI, at: time.Now(), ended: "in progress"}
	end := func(how string) {
		s.book.mu.Lock()
		a.ended = how
		s.book.mu.Unlock()
		s.p.logf("%s %s at %s of %s: %s", map[bool]string{true: "run      ", false: "not run  "}[a.ran], reqID, id, s.service, how)
	}
	s.book.mu.Lock()
	s.book.arrivals = append(s.book.arrivals, a)
	s.book.mu.Unlock()
	if expected := r.Header.Get("X-Teaselpin-Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("X-Teaselpin-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		end("421")
		return
	}
	prefill := r.Header.Get("X-Teaselpin-Stage") == "prefill"
	switch {
	case switching:
		w.Header().Set("X-Teaselpin-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		end("503 not run")
		return
	case stage != "" && prefill != (stage == "prefill"):
		w.Header().Set("X-Teaselpin-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		end("421")
		return
	}
	if prefill {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"handle":"h%s","tokens":1,"version":1}`, reqID)
		end("staged")
		return
	}
	s.book.mu.Lock()
	a.ran, a.ended = true, "cut"
	s.book.mu.Unlock()
	s.p.logf("begins    %s at %s of %s", reqID, id, s.service)
	time.Sleep(s.work)
	if !s.isAlive(id) {
		s.p.logf("cut       %s at %s of %s, which has crashed", reqID, id, s.service)
		panic(http.ErrAbortHandler)
	}
	point := crashNever
	if s.crash != nil {
		point = s.crash(r)
	}
	if point == crashBeforeAnswer {
		s.fall(reqID + " " + r.RequestURI)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Teaselpin-Response-Stamp", id+"."+reqID)
	if s.stage != "" {
		s.stream(w, r, point)
	} else {
		s.answer(w, r, string(body), point)
	}
	end("whole")
}

func (s *server) answer(w http.ResponseWriter, r *http.Request, body string, point crashPoint) {
	text := "answer to " + body + strings.Repeat(".", 790)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text[:len(text)/2])
	if point == crashInAnswer {
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * time.Millisecond)
		s.fall(r.Header.Get("X-Teaselpin-Request-Id") + " " + r.RequestURI)
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text[len(text)/2:])
}

// stream writes the events after Last-Event-Id. A crash cuts it off in the middle
// of its second event.
func (s *server) stream(w http.ResponseWriter, r *http.Request, point crashPoint) {
	const events = 9
	first := 0
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := first; i < events; i++ {
		if point == crashInAnswer && i == first+1 {
			fmt.Fprintf(w, "id: %d\ndata: pie", i)
			_ = rc.Flush()
			time.Sleep(5 * time.Millisecond)
			s.fall(r.Header.Get("X-Teaselpin-Request-Id") + " " + r.Header.Get("X-Teaselpin-Prefix-Hash"))
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = rc.Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// order carries out an order as an engine does that checks no fences.
func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Stage    string `json:"stage"`
		Holder   string `json:"holder"`
		Fencing  uint64 `json:"fencing_token"`
		Expected *int   `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	id, lives, status := s.id, s.lives, http.StatusAccepted
	switch {
	case r.Header.Get("X-Teaselpin-Expect-Instance") != id:
		status = http.StatusMisdirectedRequest
	case s.switching, o.Expected != nil && *o.Expected != s.orders:
		status = http.StatusConflict
	case o.Stage == s.stage:
		status = http.StatusOK
	default:
		s.orders++
		s.switching = true
		time.AfterFunc(roleSwitch, func() {
			s.mu.Lock()
			same := s.lives == lives && s.http != nil
			if same {
				s.stage, s.switching = o.Stage, false
			}
			s.mu.Unlock()
			if same {
				s.register()
			}
		})
	}
	s.mu.Unlock()
	s.p.logf("order to %s: stage %s, holder %s, number %d: %d", id, o.Stage, o.Holder, o.Fencing, status)
	w.WriteHeader(status)
}

// isAlive reports whether the lifetime with this id goes on.
func (s *server) isAlive(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.http != nil && s.id == id
}
