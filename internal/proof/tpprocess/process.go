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

// StartTimeout bounds the time from the start of a process to the output line
// with its addresses. It also bounds the waits of Pause and Eventually.
const StartTimeout = 60 * time.Second

// Names of the programs that ProgramPath builds.
const (
	Teaselpin = "teaselpin"
	Standin   = "teaselpin-standin"
)

var (
	buildOnce sync.Once
	buildDir  string
	buildErr  error
)

// RunTests runs the tests of a package, removes the programs that ProgramPath
// has built and returns the exit status. A TestMain calls it.
func RunTests(m *testing.M) int {
	code := m.Run()
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
	return code
}

// buildPrograms builds both programs in a temporary directory.
func buildPrograms() {
	buildDir, buildErr = os.MkdirTemp("", "teaselpin-test-")
	if buildErr != nil {
		return
	}
	// The proofs run the real programs; the product itself starts no process.
	cmd := exec.Command("go", "build", "-o", buildDir+"/",
		"teaselpin.example/teaselpin/cmd/teaselpin", "teaselpin.example/teaselpin/cmd/teaselpin-standin")
	cmd.Stderr = os.Stderr
	buildErr = cmd.Run()
}

// ProgramPath returns the path of a program. The first call builds all
// programs. An absolute path is returned unchanged.
func ProgramPath(t testing.TB, program string) string {
	t.Helper()
	if filepath.IsAbs(program) {
		return program
	}
	buildOnce.Do(buildPrograms)
	if buildErr != nil {
		t.Fatalf("build the programs: %v", buildErr)
	}
	return filepath.Join(buildDir, program)
}

// Process is a program that runs as a child process of the test.
type Process struct {
	Name string // for messages
	// Addresses are the host:port addresses that the program reports in its
	// output line "listening ADDRESS ...". The first one of a node is for
	// callers, the second one for peers.
	Addresses []string

	cmd    *exec.Cmd
	done   chan struct{}
	mu     sync.Mutex
	output strings.Builder
	err    error
}

// Start runs a program and returns once it has reported its addresses. The
// process is killed at the end of the test, and its output is logged if the
// test failed.
func Start(t testing.TB, name, program string, args ...string) *Process {
	t.Helper()
	p := &Process{Name: name, done: make(chan struct{})}
	// The proofs run the real programs; the product itself starts no process.
	p.cmd = exec.Command(ProgramPath(t, program), args...)
	p.cmd.Stderr = &outputWriter{p: p}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	listening := make(chan []string, 1)
	go p.readOutput(bufio.NewScanner(stdout), listening)
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, p.Output())
		}
	})
	select {
	case p.Addresses = <-listening:
	case <-p.done:
		t.Fatalf("%s exited before it reported its addresses: %v\n%s", name, p.err, p.Output())
	case <-time.After(StartTimeout):
		t.Fatalf("%s did not report its addresses within %v\n%s", name, StartTimeout, p.Output())
	}
	return p
}

// readOutput collects the standard output and sends the addresses to listening,
// until the process ends.
func (p *Process) readOutput(lines *bufio.Scanner, listening chan<- []string) {
	for lines.Scan() {
		if addresses, ok := strings.CutPrefix(lines.Text(), "listening "); ok {
			select {
			case listening <- strings.Fields(addresses):
			default:
			}
		}
		_, _ = (&outputWriter{p: p}).Write(append(lines.Bytes(), '\n'))
	}
	p.err = p.cmd.Wait()
	close(p.done)
}

// Output returns the standard output and standard error so far.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// Pause stops the process with SIGSTOP and returns once the kernel has stopped
// it.
func (p *Process) Pause(t testing.TB) {
	t.Helper()
	p.Signal(t, syscall.SIGSTOP)
	deadline := time.Now().Add(StartTimeout)
	for !p.isStopped() {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not pause after SIGSTOP", p.Name)
		}
		time.Sleep(time.Millisecond) // os/exec reports the end of a child, but not that it has stopped
	}
}

// isStopped reports whether the process is in state T in /proc/PID/stat.
func (p *Process) isStopped() bool {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "stat"))
	if err != nil {
		return false
	}
	_, rest, ok := strings.Cut(string(data), ") ")
	return ok && strings.HasPrefix(rest, "T")
}

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume(t testing.TB) { p.Signal(t, syscall.SIGCONT) }

// Signal sends a signal to the process. It fails the test if the signal cannot
// be sent, for example because the process has ended.
func (p *Process) Signal(t testing.TB, sig syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		t.Fatalf("signal %v to %s: %v", sig, p.Name, err)
	}
}

// Kill ends the process with SIGKILL and waits for its end. It does nothing if
// the process has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop requests a planned stop with SIGTERM and returns the exit error. It
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

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// outputWriter appends to the output of a process under its lock.
type outputWriter struct{ p *Process }

func (w *outputWriter) Write(b []byte) (int, error) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	return w.p.output.Write(b)
}

// CPUTime returns the user and system CPU time of the process from
// /proc/PID/stat, with a resolution of 10 ms.
func (p *Process) CPUTime(t testing.TB) time.Duration {
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
