package tpprocess

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// clockTick is the unit of processor times in /proc/PID/stat on Linux.
const clockTick = 10 * time.Millisecond

// Usage is what the kernel counted for a process since its start.
type Usage struct {
	ReadBytes    int64 // by read calls, sockets included
	WrittenBytes int64 // by write calls, sockets included
	Processor    time.Duration
	Resident     int64 // bytes of memory now
}

// Usage reads the kernel's counters of the process.
func (p *Process) Usage(t testing.TB) Usage {
	t.Helper()
	var u Usage
	u.ReadBytes = p.counter(t, "io", "rchar:")
	u.WrittenBytes = p.counter(t, "io", "wchar:")
	u.Resident = p.counter(t, "status", "VmRSS:") << 10
	stat := p.proc(t, "stat")
	_, rest, _ := strings.Cut(stat, ") ")
	fields := strings.Fields(rest)
	// utime and stime are the fields 14 and 15, of which ") " ends the second.
	for _, f := range fields[11:13] {
		var ticks int64
		if _, err := fmt.Sscan(f, &ticks); err != nil {
			t.Fatalf("stat of %s: %v", p.Name, err)
		}
		u.Processor += time.Duration(ticks) * clockTick
	}
	return u
}

// counter returns the number that follows a name in a file of /proc.
func (p *Process) counter(t testing.TB, file, name string) int64 {
	t.Helper()
	for line := range strings.Lines(p.proc(t, file)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			var n int64
			if _, err := fmt.Sscan(rest, &n); err == nil {
				return n
			}
		}
	}
	t.Fatalf("no %s in /proc of %s", name, p.Name)
	return 0
}

func (p *Process) proc(t testing.TB, file string) string {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, file))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
