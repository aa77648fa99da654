//go:build review2

package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"teaselpin.example/teaselpin/internal/standin/tpguestfake"
)

// Figures of the small deployments.
const (
	stableWindow = 3 * time.Second
	readyTimeout = 20 * time.Second
)

// play is one run of a case.
type play struct {
	trouble bool
	begun   time.Time
	dir     string // temporary folder for settings and logs

	mu     sync.Mutex
	record *os.File
	broken int
	ended  bool // nothing is recorded any more
	nodes  []*node

	store     *tpguestfake.Store
	storeAddr string
	closers   []func()
}

func newPlay(path string) (*play, error) {
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	p := &play{trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), dir: dir, record: record, store: &tpguestfake.Store{}}
	p.storeAddr, err = p.serve("127.0.0.1:0", p.store)
	p.logf("trouble: %v", p.trouble)
	return p, err
}

// serve serves a handler until the end of the play.
func (p *play) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	p.onClose(func() { _ = s.Close() })
	return l.Addr().String(), nil
}

func (p *play) onClose(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closers = append(p.closers, f)
}

func (p *play) close() {
	p.mu.Lock()
	p.ended = true
	nodes, closers := p.nodes, p.closers
	p.mu.Unlock()
	for _, n := range nodes {
		n.kill()
	}
	for _, f := range closers {
		f()
	}
	if keep := os.Getenv("KEEP"); keep == "" {
		_ = os.RemoveAll(p.dir)
	}
	_ = p.record.Close()
}

// logf writes a line to the record, with the seconds since the begin.
func (p *play) logf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return
	}
	fmt.Fprintf(p.record, "%8.3f ", time.Since(p.begun).Seconds())
	fmt.Fprintf(p.record, format+"\n", args...)
}

// breakRule records that a rule was broken.
func (p *play) breakRule(format string, args ...any) {
	p.logf("BROKEN "+format, args...)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken++
}

// node is a process of the project.
type node struct {
	p                   *play
	name, zone          string
	front, ready, peers string
	metrics             string
	seeds               []string
	bootstrap           bool
	extra               string // further lines of the settings
	storeAddr           string // if it is not that of the play
	cmd                 *exec.Cmd
	out                 *os.File
	done                chan struct{}
}

// freeAddress returns an address at an IP address of the loopback network that
// nothing else uses, so that the port stays free until a node listens.
func freeAddress(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (p *play) newNode(name, zone string) *node {
	p.mu.Lock()
	defer p.mu.Unlock()
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, len(p.nodes)+1)
	n := &node{
		p: p, name: name, zone: zone,
		front: freeAddress(ip), ready: freeAddress(ip), peers: freeAddress(ip), metrics: freeAddress(ip),
	}
	p.nodes = append(p.nodes, n)
	return n
}

// settings returns the file that deploy/settings.yaml yields on a small deployment.
func (n *node) settings() string {
	var b strings.Builder
	fmt.Fprintf(&b, "name: %q\nregion: \"cz-central\"\nzone: %q\nfront: %q\nready: %q\npeers: %q\nmetrics: %q\n",
		n.name, n.zone, n.front, n.ready, n.peers, n.metrics)
	fmt.Fprintf(&b, "seeds: [")
	for i, s := range n.seeds {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%q", s)
	}
	store := n.p.storeAddr
	if n.storeAddr != "" {
		store = n.storeAddr
	}
	fmt.Fprintf(&b, "]\nstore: %q\n", store)
	if n.bootstrap {
		b.WriteString("bootstrap: true\n")
	}
	b.WriteString("memoryMB: 284\nmaxFDs: 4100\nstopGrace: 8s\nleaseGuard: 3000ms\n")
	b.WriteString(n.extra)
	b.WriteString("budget:\n  ratio: 0.2\n  slack: 56\n  window: 10s\n")
	return b.String()
}

func (n *node) settingsPath() string { return filepath.Join(n.p.dir, n.name+".yaml") }

func (n *node) writeSettings() error {
	return os.WriteFile(n.settingsPath(), []byte(n.settings()), 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	if err := n.writeSettings(); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.p.dir, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/teaselpin", "relay")
	cmd.Env = append(os.Environ(), "TEASELPIN_CONFIG="+n.settingsPath())
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.out, n.done = cmd, out, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(n.done)
	n.p.logf("node %s started, pid %d, seeds %v", n.name, cmd.Process.Pid, n.seeds)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	if n.cmd != nil {
		n.p.logf("node %s: %v", n.name, s)
		_ = n.cmd.Process.Signal(s)
	}
}

func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	select {
	case <-n.done:
		return
	default:
	}
	_ = n.cmd.Process.Kill()
	<-n.done
	_ = n.out.Close()
}

// waitReady waits until the node answers the readiness check with 200.
func (n *node) waitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := client.Get("http://" + n.ready + "/teaselpin/ready")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("node " + n.name + " is not ready")
}

// reply is what a client has seen.
type reply struct {
	status int
	stamp  string
	body   string
	err    error // the answer is not complete
	took   time.Duration
}

func (r *reply) String() string {
	if r.err != nil {
		return fmt.Sprintf("%d, not complete: %v", r.status, r.err)
	}
	return fmt.Sprintf("%d", r.status)
}

// request is an attempt of a client.
type request struct {
	id, method, host, path, body string
	header                       map[string]string
	deadline                     time.Duration
}

var clientTransport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// send sends a request to a node on a new channel and reads the whole answer.
func send(n *node, q *request) reply {
	n.p.logf("sent      %s to %s: %s %s", q.id, n.name, q.method, q.path)
	r := exchange(n, q)
	n.p.logf("answered  %s: %s, stamp %q, %d bytes", q.id, r.String(), r.stamp, len(r.body))
	return r
}

func exchange(n *node, q *request) reply {
	began := time.Now()
	r, err := http.NewRequest(q.method, "http://"+n.front+q.path, strings.NewReader(q.body))
	if err != nil {
		return reply{err: err}
	}
	r.Host = q.host
	r.Header.Set("X-Teaselpin-Request-Id", q.id)
	r.Header.Set("X-Teaselpin-Deadline", fmt.Sprint(q.deadline.Milliseconds()))
	for name, v := range q.header {
		r.Header.Set(name, v)
	}
	client := http.Client{Transport: clientTransport, Timeout: q.deadline + time.Second}
	res, err := client.Do(r)
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return reply{
		status: res.StatusCode, stamp: res.Header.Get("X-Teaselpin-Response-Stamp"), body: string(body), err: err, took: time.Since(began),
	}
}
