package tpload_test

import (
	"fmt"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/report/tpload"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newView() *tpload.View {
	v := tpload.NewView(tpload.Settings{})
	v.Configure([]tpmessage.Target{{Name: "a"}, {Name: "b"}})
	return v
}

// sent records a request of one prefilled piece at target a.
func sent(v *tpload.View, at time.Duration, id string) {
	v.RecordSend(epoch.Add(at), &tpmessage.Request{ID: id, PromptTokens: 4096, PrefixHash: 7}, v.Candidate("a"))
}

func reported(v *tpload.View, at time.Duration, target string, waiting float64) {
	v.Report(&tpmessage.LoadReport{Target: target, At: epoch.Add(at), WaitingPrefill: waiting})
}

// Guards against sends that are counted twice or lost around a report, and
// against old reports that have full weight.
func TestLoad(t *testing.T) {
	done := func(v *tpload.View, id, target, next string) {
		c := tpmessage.Completion{RequestID: id, Target: target, NextTarget: next, Final: next == ""}
		v.RecordCompletion(epoch.Add(4*time.Second), &c)
	}
	tests := []struct {
		name         string
		steps        func(v *tpload.View)
		at           time.Duration
		wantA, wantB float64
	}{
		{"own sends", func(v *tpload.View) { sent(v, 1, "1"); sent(v, 2, "2") }, 3, 2, 0},
		{"report includes earlier sends", func(v *tpload.View) {
			sent(v, 1*time.Second, "1")
			sent(v, 3*time.Second, "2")
			reported(v, 2*time.Second, "a", 5)
		}, 3 * time.Second, 6, 5},
		{"older report is ignored", func(v *tpload.View) {
			reported(v, 2*time.Second, "a", 5)
			reported(v, 1*time.Second, "a", 9)
			reported(v, 2*time.Second, "b", 1)
		}, 3 * time.Second, 5, 1},
		{"completion after the report", func(v *tpload.View) {
			sent(v, 1*time.Second, "1")
			done(v, "1", "a", "")
		}, 4 * time.Second, 0, 0},
		{"retry moves the request", func(v *tpload.View) {
			sent(v, 1*time.Second, "1")
			done(v, "1", "a", "b")
			done(v, "1", "a", "b") // late repeat
		}, 4 * time.Second, 0, 1},
		{"half faded to the mean", func(v *tpload.View) {
			reported(v, 0, "a", 8)
			reported(v, 7500*time.Millisecond, "b", 2)
		}, 7500 * time.Millisecond, 6.5, 2},
		{"wholly faded to the mean", func(v *tpload.View) {
			reported(v, 0, "a", 8)
			reported(v, 60*time.Second, "b", 2)
		}, 60 * time.Second, 5, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := newView()
			tt.steps(v)
			for name, want := range map[string]float64{"a": tt.wantA, "b": tt.wantB} {
				if got := v.Load(epoch.Add(tt.at), v.Candidate(name)); got != want {
					t.Errorf("load of %s: got %v, want %v", name, got, want)
				}
			}
		})
	}
}

// Guards against prefixes that still count as cached after a gap in the
// events, an eviction or a restart of the engine.
func TestCacheEvents(t *testing.T) {
	tests := []struct {
		name   string
		events []tpmessage.CacheEvent
		want   string // holders of prefix 7
	}{
		{"stored", []tpmessage.CacheEvent{{Sequence: 1, PrefixHash: 7}}, "a"},
		{"evicted", []tpmessage.CacheEvent{{Sequence: 1, PrefixHash: 7}, {Sequence: 2, PrefixHash: 7, Evicted: true}}, ""},
		{"late eviction", []tpmessage.CacheEvent{
			{Sequence: 1, PrefixHash: 8},
			{Sequence: 2, PrefixHash: 8},
			{Sequence: 3, PrefixHash: 7},
			{Sequence: 2, PrefixHash: 7, Evicted: true},
		}, "a"},
		{"gap", []tpmessage.CacheEvent{{Sequence: 1, PrefixHash: 7}, {Sequence: 3, PrefixHash: 8}}, ""},
		{"restart", []tpmessage.CacheEvent{{Sequence: 1, PrefixHash: 8}, {Sequence: 2, PrefixHash: 7}, {Sequence: 1, PrefixHash: 8}}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := newView()
			for _, ev := range tt.events {
				ev.Target = "a"
				v.CacheEvent(ev)
			}
			var got string
			for _, c := range v.Holders(7) {
				if c != nil {
					got += c.Target.Name
				}
			}
			if got != tt.want {
				t.Errorf("holders: got %q, want %q", got, tt.want)
			}
		})
	}
}

func ExampleView_Load() {
	v := newView()
	reported(v, 0, "a", 3)
	sent(v, time.Second, "1")
	fmt.Println(v.Load(epoch.Add(2*time.Second), v.Candidate("a")))
	// Output: 4
}
