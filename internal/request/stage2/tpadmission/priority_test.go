package tpadmission_test

import (
	"fmt"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/request/stage2/tpadmission"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Guards against a caller that overtakes other organisations by stating a high
// priority, and against an organisation that keeps the lower priority long
// after a burst.
func TestPriorityClass(t *testing.T) {
	q := tpadmission.NewFair()
	q.SetShares([]tpmessage.Organisation{{Name: "a", Share: 0.25}, {Name: "b", Share: 0.75}})
	pop := func(at time.Duration, id int, org string, stated int) int {
		w := work(id, org, 4096, 0, time.Hour)
		w.Request.Priority = stated
		q.Push(epoch.Add(at), w)
		w, _ = q.Pop(epoch.Add(at))
		return w.Request.Priority
	}
	pop(0, 0, "a", 0)
	steps := []struct {
		at     time.Duration
		org    string
		stated int
		want   int
	}{
		{time.Second, "a", 99, 9},
		{time.Second, "b", -5, tpadmission.PriorityClassStep},
		{time.Second, "b", 1, tpadmission.PriorityClassStep + 1},
		{time.Minute, "b", 0, tpadmission.PriorityClassStep},
		{time.Minute, "a", 0, tpadmission.PriorityClassStep},
	}
	for i, s := range steps {
		if got := pop(s.at, i+1, s.org, s.stated); got != s.want {
			t.Errorf("priority at step %d: got %d, want %d", i, got, s.want)
		}
	}
}

// Guards against a digest that always selects the organisations with the
// highest totals, so that peers never learn of the usage of others.
func TestDigestNamesRisingUsage(t *testing.T) {
	usage := make([]tpmessage.Usage, 3*tpadmission.UsageDigestSize)
	for i := range usage {
		usage[i] = tpmessage.Usage{Organisation: fmt.Sprintf("org-%03d", i), PrefillPieces: float64(len(usage) - i)}
	}
	var d tpadmission.UsageDigest
	d.Select(usage, nil)
	last := len(usage) - 1
	usage[last].PrefillPieces += 1000
	got := d.Select(usage, nil)
	if len(got) != tpadmission.UsageDigestSize || got[0] != usage[last] {
		t.Errorf("got %d entries, first %v, want %d, first %v", len(got), got[0], tpadmission.UsageDigestSize, usage[last])
	}
}
