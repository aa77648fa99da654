package tphistory_test

import (
	"strings"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/proof/tphistory"
)

// Guards against a CheckRollout that misses one kind of violation, or that
// reports one in a valid history.
func TestCheckRollout(t *testing.T) {
	report := func(node string, second int, generation uint64, digest string) tphistory.ConfigReport {
		return tphistory.ConfigReport{Node: node, At: time.Unix(int64(second), 0), InForce: generation, Digest: digest}
	}
	accepted := []tphistory.AcceptedConfig{{Author: "a", Generation: 1}, {Author: "b", Generation: 2}}
	good := []tphistory.ConfigReport{report("x", 1, 1, "d"), report("y", 2, 2, "e"), report("x", 3, 0, ""), report("x", 4, 2, "e")}
	for _, c := range []struct {
		name     string
		reports  []tphistory.ConfigReport
		accepted []tphistory.AcceptedConfig
		want     string
	}{
		{"good, with a restart", good, accepted, ""},
		{"reverted after a restart", append(good[:2:2], report("y", 3, 0, ""), report("y", 4, 1, "d"), report("y", 5, 2, "e"), report("x", 6, 2, "e")), accepted, "y reverted from generation 2 to 1"},
		{"not in force at the end", good[:3], accepted, "x ends at generation 0, accepted is 2"},
		{"accepted twice", good, append(accepted[:2:2], tphistory.AcceptedConfig{Author: "c", Generation: 2}), "generation 2 was accepted from b and from c"},
		{"different content", append(good[:3:3], report("x", 4, 2, "f")), accepted, "generation 2 differs on x"},
	} {
		got := strings.Join(tphistory.CheckRollout(c.reports, c.accepted), "\n")
		if got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}
