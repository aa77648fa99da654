//go:build review3

package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"teaselpin.example/teaselpin/internal/standin/tpguestfake"
)

const (
	// probeInterval is the time between two readiness probes of the platform.
	probeInterval = time.Second
	// graceTime is the time from SIGTERM to SIGKILL.
	graceTime = 8 * time.Second
	// restartDelay is the time until the platform starts an ended process again.
	restartDelay = 500 * time.Millisecond
	// portCount is the number of ports that a case reserves.
	portCount = 64
)

// fleet is the platform, its servers and the nodes of one case.
type fleet struct {
	program, folder, logs string
	trouble               bool
	started               time.Time
	store                 tpguestfake.Store
	storeAddress          string
	ports                 []string
	nodes                 []*node
	extra                 string // further lines of the settings
	memoryMB, maxFDs      int
	closing               atomic.Bool

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	broken []string
}

func newFleet(program, record string, trouble bool, logs string) (*fleet, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		program: program, folder: folder, logs: logs, trouble: trouble, started: time.Now(),
		record: bufio.NewWriter(file), file: file, memoryMB: 284, maxFDs: 4100,
	}
	if f.ports, err = freePorts(portCount); err != nil {
		return nil, err
	}
	if f.storeAddress, err = f.listen(&f.store); err != nil {
		return nil, err
	}
	return f, nil
}

// Ports are drawn below those that the system gives to outgoing connections, so
// that none of these takes a reserved one.
const firstPort, lastPort = 12000, 30000

// freePorts returns loopback addresses that are free and differ from each other.
func freePorts(n int) ([]string, error) {
	var addresses []string
	for _, k := range rand.Perm(lastPort - firstPort) {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+k))
		if err != nil {
			continue
		}
		defer l.Close()
		if addresses = append(addresses, l.Addr().String()); len(addresses) == n {
			return addresses, nil
		}
	}
	return nil, errors.New("too few free ports")
}

// address takes one of the reserved addresses.
func (f *fleet) address() string {
	a := f.ports[0]
	f.ports = f.ports[1:]
	return a
}

// listen serves a handler at a reserved address.
func (f *fleet) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", f.address())
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.noteAt(time.Now(), format, args...)
}

func (f *fleet) noteAt(at time.Time, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f %s\n", at.Sub(f.started).Seconds(), fmt.Sprintf(format, args...))
}

// fail records that a rule was broken.
func (f *fleet) fail(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	f.note("BROKEN %s", line)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = append(f.broken, line)
}

func (f *fleet) close() {
	f.closing.Store(true)
	for _, n := range f.nodes {
		n.kill()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.record.Flush()
	_ = f.file.Close()
	_ = os.RemoveAll(f.folder)
}

// node is one machine with its process.
type node struct {
	f                          *fleet
	name, settings             string
	front, readyAddress, peers string
	ready                      atomic.Bool // in rotation at the platform
	down                       atomic.Bool // the case keeps the process from being started again

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{} // closed when the process has ended
}

// addNodes starts nodes with the settings of a small deployment.
func (f *fleet) addNodes(count int, zones ...string) error {
	for i := range count {
		f.nodes = append(f.nodes, &node{
			f: f, name: fmt.Sprintf("front-%d", i), front: f.address(), readyAddress: f.address(), peers: f.address(),
			settings: filepath.Join(f.folder, fmt.Sprintf("node-%d.yaml", i)),
		})
	}
	for i, n := range f.nodes {
		text := fmt.Sprintf("name: %s\nregion: r\nzone: %s\nfront: %s\nready: %s\npeers: %s\nseeds: [%q, %q]\nstore: %s\n"+
			"memoryMB: %d\nmaxFDs: %d\nstopGrace: 8s\nleaseGuard: 3000ms\nbudget:\n  ratio: 0.2\n  slack: 56\n  window: 10s\n%s",
			n.name, zones[i%len(zones)], n.front, n.readyAddress, n.peers, f.nodes[0].peers, f.nodes[1%count].peers, f.storeAddress, f.memoryMB, f.maxFDs, f.extra)
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
		go n.probe()
	}
	return f.waitReady(20 * time.Second)
}

func (f *fleet) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range f.nodes {
		for !n.ready.Load() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command(n.f.program, "relay", "--settings", n.settings)
	if n.f.logs != "" {
		out, err := os.OpenFile(filepath.Join(n.f.logs, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		cmd.Stdout, cmd.Stderr = out, out
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.end = cmd, make(chan struct{})
	n.f.note("%s starts", n.name)
	go func(end chan struct{}) {
		err := cmd.Wait()
		n.f.note("%s has ended: %v", n.name, err)
		close(end)
		time.Sleep(restartDelay)
		if !n.f.closing.Load() && !n.down.Load() {
			if err := n.start(); err != nil {
				n.f.note("%s does not start: %v", n.name, err)
			}
		}
	}(n.end)
	return nil
}

// kill ends the process at once. The platform starts it again.
func (n *node) kill() {
	n.mu.Lock()
	cmd, end := n.cmd, n.end
	n.mu.Unlock()
	if cmd == nil {
		return // never started
	}
	_ = cmd.Process.Kill()
	<-end
}

// terminate stops the process as planned and returns when it has ended.
func (n *node) terminate() {
	n.mu.Lock()
	cmd, end := n.cmd, n.end
	n.mu.Unlock()
	n.f.note("SIGTERM to %s", n.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-end:
	case <-time.After(graceTime):
		_ = cmd.Process.Kill()
		<-end
	}
}

// probe asks for the readiness as the platform does: two misses in a row take
// the node out of rotation, a 200 brings it back.
func (n *node) probe() {
	client := http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for !n.f.closing.Load() {
		res, err := client.Get("http://" + n.readyAddress + "/teaselpin/ready")
		if err == nil {
			res.Body.Close()
		}
		if err == nil && res.StatusCode == http.StatusOK {
			misses = 0
			n.ready.Store(true)
		} else if misses++; misses >= 2 {
			n.ready.Store(false)
		}
		wait := probeInterval
		if !n.ready.Load() {
			wait = probeInterval / 5 // the start of a node is noticed without a long wait
		}
		time.Sleep(wait)
	}
}

// pick returns the index of a node in rotation for the given number, or of any
// node if there is none.
func (f *fleet) pick(number int) int {
	for k := range f.nodes {
		if i := (number + k) % len(f.nodes); f.nodes[i].ready.Load() {
			return i
		}
	}
	return number % len(f.nodes)
}

// route returns a route of the configuration.
func route(name, kind, service string, timeoutMs, goalMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "one.example", "path_prefix": "/" + name + "/", "kind": kind, "service": service,
		"timeout_ms": timeoutMs, "latency_goal_ms": goalMs, "target_gap_ms": 400, "max_attempts": attempts, "resumable": kind == "stream",
		"priority": 1, "sticky": kind == "stream",
	}
}

// configure writes a configuration.
func (f *fleet) configure(version int, services []any, routes ...any) {
	f.store.Set("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	})
	f.note("configuration %d is acknowledged", version)
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 110}
}

func nodeOf(id string) int {
	n := -1
	if text, _, ok := strings.Cut(id, "-"); ok {
		_, _ = fmt.Sscanf(text, "n%d", &n)
	}
	return n
}
