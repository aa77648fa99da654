package tpplace_test

import (
	"fmt"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// readers are four engines that read prompts of one node, p1 in slow times the
// time of the others. The listener hears the node's load reports.
type readers struct {
	observer, listener *tpplace.Placer[tpplace.Affinity]
	now                time.Time
	slow               float64
}

func newReaders(slow float64) *readers {
	r := &readers{observer: newPlacer(tpplace.Affinity{}, fleet(4, 1)), now: epoch, slow: slow}
	r.listener = tpplace.New(tpplace.Settings{Node: "node-1", Zone: "a"}, tpplace.Affinity{})
	r.listener.Step(epoch, tpplace.Input{Kind: tpplace.InputTargets, Targets: fleet(4, 1)})
	return r
}

// read lets all engines read one prompt after the other for some time.
func (r *readers) read(t *testing.T, length time.Duration) {
	var reading [4]tpplace.Grant
	var since [4]time.Time
	for end := r.now.Add(length); r.now.Before(end); r.now = r.now.Add(10 * time.Millisecond) {
		for i := range reading {
			g := &reading[i]
			took := g.Reservation.ReadTime + 20*time.Millisecond
			if i == 1 {
				took = time.Duration(float64(took) * r.slow)
			}
			if g.Target.Name != "" && r.now.Before(since[i].Add(took)) {
				continue
			}
			if g.Target.Name != "" {
				r.observer.Step(r.now, tpplace.Input{Kind: tpplace.InputStepResult, StepResult: tpplace.StepResult{
					Reservation: g.Reservation, Elapsed: took, StartedMs: g.Target.StartedMs,
				}})
			}
			req := request(0, 0, 6000)
			req.Arrived, req.Deadline = r.now, r.now.Add(time.Minute)
			in := targetRequest(req, tpplace.StepPrefill)
			for k := range reading {
				if k != i {
					in.TargetRequest.Exclude = append(in.TargetRequest.Exclude, fmt.Sprint("p", k))
				}
			}
			*g, since[i] = mustGrant(t, r.observer, r.now, in), r.now
		}
		r.tick()
	}
	for i := range reading {
		r.observer.Step(r.now, tpplace.Input{Kind: tpplace.InputStepResult, StepResult: tpplace.StepResult{
			Reservation: reading[i].Reservation, Outcome: tpplace.OutcomeAbandoned,
		}})
	}
}

// tick publishes the loads.
func (r *readers) tick() {
	load := r.observer.Load(r.now)
	r.listener.Load(r.now)
	r.observer.Step(r.now, tpplace.Input{Kind: tpplace.InputLoads, Nodes: 2})
	r.listener.Step(r.now, tpplace.Input{Kind: tpplace.InputLoads, Nodes: 2, Loads: []tpmessage.NodeLoad{load}})
}

// Guards against a target that counts as slow after a few late answers, against
// one that never does, and against answers too early or too late to be true that
// count beyond the bounds.
func TestDifferenceNeedsEvidence(t *testing.T) {
	for _, test := range []struct {
		length   time.Duration
		slow     float64
		min, max float64
	}{
		{1 * time.Second, 3, 1, 1},
		{15 * time.Second, 1, 1, 1},
		{15 * time.Second, 1.1, 1, 1},
		{15 * time.Second, 2.5, 1.5, 2.6},
		{15 * time.Second, 0.4, 0.4, 0.75},
		{30 * time.Second, 30, 3, 8},
		{15 * time.Second, 0.001, 0.2, 0.8},
	} {
		r := newReaders(test.slow)
		r.read(t, test.length)
		if read, _ := r.observer.Factors("p1"); read < test.min || read > test.max {
			t.Errorf("%v at %v times the time: got a factor of %.2f, want %.2f to %.2f", test.length, test.slow, read, test.min, test.max)
		}
		if read, _ := r.observer.Factors("p0"); read < 0.7 || read > 2 {
			t.Errorf("%v, another target than that of %v times the time: got a factor of %.2f, want 0.70 to 2", test.length, test.slow, read)
		}
	}
}

// Guards against the speed of an ended process that counts for the next one, also
// by what other nodes still tell or by the late result of a step of the ended one.
func TestNewProcessHasTheSpeedOfItsPool(t *testing.T) {
	r := newReaders(0.4)
	r.read(t, 15*time.Second)
	if read, _ := r.listener.Factors("p1"); read > 0.8 {
		t.Fatalf("factor before: got %.2f, want at most 0.8", read)
	}
	list := fleet(4, 1)
	list[1].StartedMs = 2
	r.listener.Step(r.now, tpplace.Input{Kind: tpplace.InputTargets, Targets: list})
	for range 10 {
		r.listener.Step(r.now, tpplace.Input{Kind: tpplace.InputStepResult, StepResult: tpplace.StepResult{
			Reservation: tpplace.Reservation{Target: "p1", NoBacklog: true, ReadTime: time.Second}, Elapsed: 100 * time.Millisecond, StartedMs: 1,
		}})
	}
	r.tick()
	if read, _ := r.listener.Factors("p1"); read != 1 {
		t.Errorf("factor of a new process: got %.2f, want 1", read)
	}
}

// Guards against speeds that only the nodes know that have observed them
// themselves, and against observations that count for ever.
func TestSpeedsOfPeersCount(t *testing.T) {
	r := newReaders(0.4)
	r.read(t, 15*time.Second)
	if read, _ := r.listener.Factors("p1"); read > 0.8 {
		t.Errorf("factor at a node that has observed nothing itself: got %.2f, want at most 0.8", read)
	}
	if got := r.listener.Load(r.now); got.Speeds != nil || got.SpeedWitnesses != 0 {
		t.Errorf("speeds told by a node that has observed nothing: got %+v", got.Speeds)
	}
	for range 1200 {
		r.now = r.now.Add(100 * time.Millisecond)
		r.tick()
	}
	if read, _ := r.observer.Factors("p1"); read != 1 || r.observer.Load(r.now).Speeds != nil {
		t.Errorf("factor after two minutes without an observation: got %.2f, want 1", read)
	}
}

// BenchmarkLoads measures what a node does with the loads of the others and its
// own, ten times a second, with and without speeds.
func BenchmarkLoads(b *testing.B) {
	for _, targets := range []int{90, 1333} {
		for _, told := range []bool{false, true} {
			b.Run(fmt.Sprintf("targets=%d/speeds=%v", targets, told), func(b *testing.B) {
				list := fleet(targets-targets/3, targets/3)
				p := newPlacer(tpplace.Affinity{}, list)
				load := tpmessage.NodeLoad{Node: "node-1", Nodes: 40, At: epoch}
				for i, t := range list {
					load.Loads = append(load.Loads, tpmessage.TargetLoad{Target: t.Name, Runs: i % 30})
					if told {
						load.Speeds = append(load.Speeds, tpmessage.TargetSpeed{Process: tpplace.ProcessHash(&t), ReadMs: 3000, Streams: 50, StreamSpeeds: float64(30 + i%3*20)})
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					p.Step(epoch, tpplace.Input{Kind: tpplace.InputLoads, Nodes: 41, Loads: []tpmessage.NodeLoad{load}})
					p.Load(epoch)
				}
			})
		}
	}
}
