package tpprocess

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// StartTimeout bounds the time from the start of a process to the line in
// which it tells its addresses.
const StartTimeout = 60 * time.Second

// Programs that Build makes.
const (
	Teaselpin = "teaselpin"
	Standin   = "teaselpin-standin"
)

var (
	buildOnce sync.Once
	buildDir  string
	buildErr  error
)

// Main builds the programs once, runs the tests of a package and removes the
// programs. A TestMain calls it.
func Main(m *testing.M) int {
	code := m.Run()
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
	return code
}

// build makes both programs in a temporary folder.
func build() {
	buildDir, buildErr = os.MkdirTemp("", "teaselpin-test-")
	if buildErr != nil {
		return
	}
	cmd := exec.Command("go", "build", "-o", buildDir+"/",
		"teaselpin.example/teaselpin/cmd/teaselpin", "teaselpin.example/teaselpin/cmd/teaselpin-standin")
	cmd.Stderr = os.Stderr
	buildErr = cmd.Run()
}

// Path returns the path of a program, building it on first use. An absolute
// path stands for itself.
func Path(t testing.TB, program string) string {
	t.Helper()
	if filepath.IsAbs(program) {
		return program
	}
	buildOnce.Do(build)
	if buildErr != nil {
		t.Fatalf("build the programs: %v", buildErr)
	}
	return filepath.Join(buildDir, program)
}

// Process is one running program.
type Process struct {
	Name string
	// Addresses are the words after "listening" on the program's first line.
	Addresses []string

	cmd    *exec.Cmd
	done   chan struct{}
	mu     sync.Mutex
	output strings.Builder
	err    error
}

// Start runs a program and waits until it tells its addresses. The process is
// killed at the end of the test.
func Start(t testing.TB, name, program string, args ...string) *Process {
	t.Helper()
	p := &Process{Name: name, done: make(chan struct{})}
	p.cmd = exec.Command(Path(t, program), args...)
	p.cmd.Stderr = &lockedWriter{p: p}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	listening := make(chan []string, 1)
	go p.follow(bufio.NewScanner(stdout), listening)
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, p.Output())
		}
	})
	select {
	case p.Addresses = <-listening:
	case <-p.done:
		t.Fatalf("%s ended before it listened: %v\n%s", name, p.err, p.Output())
	case <-time.After(StartTimeout):
		t.Fatalf("%s did not listen within %v\n%s", name, StartTimeout, p.Output())
	}
	return p
}

// follow reads the output until the process ends.
func (p *Process) follow(lines *bufio.Scanner, listening chan<- []string) {
	for lines.Scan() {
		if words, ok := strings.CutPrefix(lines.Text(), "listening "); ok {
			select {
			case listening <- strings.Fields(words):
			default:
			}
		}
		_, _ = (&lockedWriter{p: p}).Write(append(lines.Bytes(), '\n'))
	}
	p.err = p.cmd.Wait()
	close(p.done)
}

// Output returns what the process has printed so far.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// Pause stops the process with SIGSTOP and returns once it has stopped.
func (p *Process) Pause(t testing.TB) {
	t.Helper()
	p.Signal(t, syscall.SIGSTOP)
	deadline := time.Now().Add(StartTimeout)
	for !p.stopped() {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not stop", p.Name)
		}
		time.Sleep(time.Millisecond)
	}
}

// stopped reports whether the kernel shows the process as stopped.
func (p *Process) stopped() bool {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "stat"))
	if err != nil {
		return false
	}
	_, rest, ok := strings.Cut(string(data), ") ")
	return ok && strings.HasPrefix(rest, "T")
}

// Resume continues a paused process.
func (p *Process) Resume(t testing.TB) { p.Signal(t, syscall.SIGCONT) }

// Signal sends a signal.
func (p *Process) Signal(t testing.TB, sig syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		t.Fatalf("signal %v to %s: %v", sig, p.Name, err)
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop asks for a planned stop with SIGTERM and returns the exit error, or
// fails the test if the process does not end within limit.
func (p *Process) Stop(t testing.TB, limit time.Duration) error {
	t.Helper()
	p.Signal(t, syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		t.Fatalf("%s did not stop within %v\n%s", p.Name, limit, p.Output())
		return nil
	}
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// lockedWriter appends to the output of a process.
type lockedWriter struct{ p *Process }

func (w *lockedWriter) Write(b []byte) (int, error) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	return w.p.output.Write(b)
}

// ProcessorTime returns the processor time that the process has used, in steps
// of 10 ms, from /proc/PID/stat.
func (p *Process) ProcessorTime(t testing.TB) time.Duration {
	t.Helper()
	const tick = 10 * time.Millisecond // USER_HZ is 100 on Linux
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "stat"))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		t.Fatalf("stat of %s: got %d fields", p.Name, len(fields))
	}
	var total time.Duration
	for _, f := range fields[11:13] { // utime and stime
		n, err := strconv.Atoi(f)
		if err != nil {
			t.Fatal(err)
		}
		total += time.Duration(n) * tick
	}
	return total
}
