package tpprocess

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// clockTick is the unit of CPU times in /proc/PID/stat on Linux.
const clockTick = 10 * time.Millisecond

// Usage holds the resources that a process has used since its start, and its
// current memory.
type Usage struct {
	ReadBytes     int64         // by read calls, including those on sockets
	WrittenBytes  int64         // by write calls, including those on sockets
	CPUTime       time.Duration // user and system CPU time
	ResidentBytes int64         // current resident memory in bytes
	// PeakResidentBytes is the largest resident memory since the start, in bytes.
	PeakResidentBytes int64
	Descriptors       int // open descriptors
}

// Usage reads the resource usage of the process from /proc. It fails the test
// if a value is missing.
func (p *Process) Usage(t testing.TB) Usage {
	t.Helper()
	var u Usage
	u.ReadBytes = p.procCounter(t, "io", "rchar:")
	u.WrittenBytes = p.procCounter(t, "io", "wchar:")
	u.ResidentBytes = p.procCounter(t, "status", "VmRSS:") << 10
	u.PeakResidentBytes = p.procCounter(t, "status", "VmHWM:") << 10
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	u.Descriptors = len(descriptors)
	stat := p.readProcFile(t, "stat")
	_, rest, _ := strings.Cut(stat, ") ")
	fields := strings.Fields(rest)
	// utime and stime are fields 14 and 15. The second field ends with ") ", so
	// that rest starts with field 3.
	for _, f := range fields[11:13] {
		var ticks int64
		if _, err := fmt.Sscan(f, &ticks); err != nil {
			t.Fatalf("stat of %s: %v", p.Name, err)
		}
		u.CPUTime += time.Duration(ticks) * clockTick
	}
	return u
}

// procCounter returns the number after a name in a file of /proc/PID.
func (p *Process) procCounter(t testing.TB, file, name string) int64 {
	t.Helper()
	for line := range strings.Lines(p.readProcFile(t, file)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			var n int64
			if _, err := fmt.Sscan(rest, &n); err == nil {
				return n
			}
		}
	}
	t.Fatalf("found no %s in the /proc files of %s", name, p.Name)
	return 0
}

func (p *Process) readProcFile(t testing.TB, file string) string {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, file))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
