//go:build review

// Command review-standin plays the cases of the review: it starts nodes of the
// product as separate processes between stand-ins of the platform, its servers
// and its clients, and judges what these have seen.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"teaselpin.example/teaselpin/internal/standin/tpguestfake"
)

// The bounds of the site rota-hosting.
const (
	stableWindow = 3000 * time.Millisecond
	configApply  = 2000 * time.Millisecond
	drainTime    = 2000 * time.Millisecond
	storeDelay   = 4 * time.Millisecond // the store takes 4 ms an answer
	host         = "kitchens.example"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{file: f, start: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as it stands in the record.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(r.start).Seconds()) }

// cannotRun ends the case with status 2.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	if current != nil {
		current.stop()
	}
	os.Exit(2)
}

// current is the fleet of this process, for cannotRun.
var current *fleet

// fleet is a platform with its store, its servers and the product's nodes.
type fleet struct {
	rec     *record
	dir     string
	store   tpguestfake.Store
	nodes   []*node
	servers []*server
}

// node is one machine of the product.
type node struct {
	f                                    *fleet
	name, zone, region                   string
	front, ready, peers, metrics, stores string
	seeds                                []string
	mu                                   sync.Mutex
	cmd                                  *exec.Cmd
	cut                                  chan struct{}  // closed to cut off the waiting watches
	rejected                             bool           // the store answers 503 to this node
	watches                              map[string]int // waiting watches of the node, by kind
	client                               *http.Client
}

func newFleet(rec *record) *fleet {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("%v", err)
	}
	f := &fleet{rec: rec, dir: dir}
	current = f
	return f
}

// hostAddress returns a loopback address that belongs to one machine of this
// run, so that runs at the same time do not take each other's ports.
func hostAddress(machine int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/200%200, 1+pid%200, 1+machine)
}

// machines counts the loopback addresses that this run uses.
var machines int

// newHost returns the loopback address of another machine.
func newHost() string {
	machines++
	return hostAddress(machines)
}

// listen serves h on a free port of a loopback address of its own.
func listen(h http.Handler) string {
	l, err := net.Listen("tcp", newHost()+":0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// freeAddresses returns n addresses of a machine with ports that are free.
func freeAddresses(ip string, n int) []string {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			cannotRun("listen: %v", err)
		}
		defer l.Close() // all are kept until the end, so that they differ
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// addNodes adds n machines over the zones, in turn. The first three are the
// seeds.
func (f *fleet) addNodes(n int, zones ...string) {
	count := map[string]int{}
	for i := range n {
		zone := zones[i%len(zones)]
		count[zone]++
		free := freeAddresses(newHost(), 4)
		m := &node{
			f: f, zone: zone, region: "cz-central", name: "front-" + zone + "-" + strconv.Itoa(count[zone]),
			front: free[0], ready: free[1], peers: free[2], metrics: free[3],
			watches: map[string]int{}, cut: make(chan struct{}),
			client: &http.Client{Transport: &http.Transport{
				MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 10 * time.Second,
			}},
		}
		m.stores = listen(http.HandlerFunc(m.serveStore))
		f.nodes = append(f.nodes, m)
	}
	for _, m := range f.nodes {
		for _, s := range f.nodes[:min(3, len(f.nodes))] {
			m.seeds = append(m.seeds, s.peers)
		}
	}
}

// serveStore is the platform's store as one machine reaches it.
func (m *node) serveStore(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	m.mu.Lock()
	rejected := m.rejected
	m.mu.Unlock()
	if rejected {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !r.URL.Query().Has("watch") {
		m.f.store.ServeHTTP(w, r)
		return
	}
	kind := filepath.Base(r.URL.Path)
	m.count(kind, 1)
	defer m.count(kind, -1)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	m.mu.Lock()
	cut := m.cut
	m.mu.Unlock()
	go func() {
		select {
		case <-cut:
			cancel()
		case <-ctx.Done():
		}
	}()
	m.f.store.ServeHTTP(w, r.WithContext(ctx))
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler) // the watch is cut off
	}
}

// reject makes the store turn the node away for some time: its waiting watches are
// cut off, and its calls get 503.
func (m *node) reject(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rejected = true
	time.AfterFunc(d, func() {
		m.mu.Lock()
		m.rejected = false
		m.mu.Unlock()
	})
	close(m.cut)
	m.cut = make(chan struct{})
}

func (m *node) count(kind string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watches[kind] += n
}

// watching reports whether the node has a watch at the store for both kinds.
func (m *node) watching() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watches["config"] > 0 && m.watches["servers"] > 0
}

// start starts the process of the machine, as the deploy file does. Bootstrap is
// true for the first start of the whole system.
func (m *node) start(bootstrap bool) {
	text := fmt.Sprintf("name: %q\nregion: %q\nzone: %q\nfront: %q\nready: %q\npeers: %q\nmetrics: %q\n",
		m.name, m.region, m.zone, m.front, m.ready, m.peers, m.metrics)
	text += "seeds: ["
	for i, s := range m.seeds {
		if i > 0 {
			text += ","
		}
		text += strconv.Quote(s)
	}
	text += fmt.Sprintf("]\nstore: %q\n", m.stores)
	if bootstrap {
		text += "bootstrap: true\n"
	}
	text += "memoryMB: 284\nstopGrace: 8s\nleaseGuard: 3000ms\nbudget:\n  ratio: 0.2\n  slack: 56\n  window: 10s\n"
	path := filepath.Join(m.f.dir, m.name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		cannotRun("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(m.f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	cmd := exec.Command("target/teaselpin", "relay")
	cmd.Env = append(os.Environ(), "TEASELPIN_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = log, log
	// The processes of the product end with this one.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("start %s: %v", m.name, err)
	}
	log.Close()
	m.cmd = cmd
}

func (m *node) kill() {
	if m.cmd != nil {
		_ = m.cmd.Process.Kill()
		_ = m.cmd.Wait()
		m.cmd = nil
	}
}

func (m *node) signal(s syscall.Signal) {
	if err := m.cmd.Process.Signal(s); err != nil {
		cannotRun("signal to %s: %v", m.name, err)
	}
}

// isReady asks the node as the platform's balancer does.
func (m *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + m.ready + "/teaselpin/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// startAll starts all nodes and waits until they are ready.
func (f *fleet) startAll(bootstrap bool) {
	for _, m := range f.nodes {
		m.start(bootstrap)
	}
	f.waitReady(f.nodes)
}

func (f *fleet) waitReady(nodes []*node) {
	deadline := time.Now().Add(20 * time.Second)
	for _, m := range nodes {
		for !m.isReady() {
			if time.Now().After(deadline) {
				log, _ := os.ReadFile(filepath.Join(f.dir, m.name+".log"))
				cannotRun("%s is not ready; the end of its log:\n%s", m.name, log[max(0, len(log)-1500):])
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	for _, m := range f.nodes {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept", f.dir)
	}
}

// answer is what a client has got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
	sent   time.Time
	done   time.Time
}

// request is one client attempt.
type request struct {
	id, method, path, body, deadline string
	header                           map[string]string
}

// send sends one request to a node and reads its answer.
func (m *node) send(q request) answer {
	r, err := http.NewRequest(q.method, "http://"+m.front+q.path, nil)
	if err != nil {
		cannotRun("%v", err)
	}
	if q.body != "" {
		r.Body = io.NopCloser(newReader(q.body))
		r.ContentLength = int64(len(q.body))
	}
	r.Host = host
	r.Header.Set("X-Teaselpin-Request-Id", q.id)
	if q.deadline == "" {
		q.deadline = "5000"
	}
	r.Header.Set("X-Teaselpin-Deadline", q.deadline)
	for k, v := range q.header {
		r.Header.Set(k, v)
	}
	a := answer{sent: time.Now()}
	res, err := m.client.Do(r)
	if err != nil {
		a.err, a.done = err, time.Now()
		return a
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	a.status, a.header, a.body, a.err, a.done = res.StatusCode, res.Header, string(data), err, time.Now()
	return a
}
