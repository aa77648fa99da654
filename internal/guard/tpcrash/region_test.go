package tpcrash_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/guard/tpcrash"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// regionSettings describes a simulated region.
type regionSettings struct {
	nodes, targets int
	soundEvery     time.Duration // between two sound requests
	deadlyEvery    time.Duration // between two deadly requests, each with a body of its own
	outage         bool          // all targets crash together for 2 s while the region serves
	reused         bool          // requests with the deadly part are sound until deadlyStart
}

const (
	regionStep   = 20 * time.Millisecond
	evidenceLag  = 300 * time.Millisecond // from one node to the others
	maxAttempts  = 2                      // targets that may run one request
	maxRepeats   = 2                      // by the client, at any node
	deadlyStart  = 3 * time.Second
	regionLength = 25 * time.Second
)

// work is one request in progress, or waiting for its client to repeat it.
type work struct {
	req      *tpmessage.RelayRequest
	deadly   bool
	sentAt   time.Time
	at       time.Time // when its answer begins, or when it is repeated
	node     int
	target   int // -1 while the client waits
	attempts int
	repeats  int
}

type report struct {
	at      time.Time
	from    int
	entries []tpmessage.SuspectRequest
}

// simulation is a region of nodes that exchange evidence, with targets that
// crash when they begin to answer a deadly request.
type simulation struct {
	cfg     regionSettings
	rng     *rand.Rand
	guards  []*tpcrash.Guard
	upAt    []time.Time
	born    []int64
	work    []*work
	reports []report
	crashes []time.Time
	// deadlyAt holds the arrivals of deadly requests at targets. sent and begun
	// count the sound requests by the second in which they were sent; begun
	// only those that began at the first attempt.
	deadlyAt    []time.Time
	sent, begun map[int]int
}

func newSimulation(seed uint64, cfg regionSettings) *simulation {
	s := &simulation{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), sent: make(map[int]int), begun: make(map[int]int)}
	for range cfg.nodes {
		s.guards = append(s.guards, &tpcrash.Guard{})
	}
	s.upAt, s.born = make([]time.Time, cfg.targets), make([]int64, cfg.targets)
	return s
}

func (s *simulation) run() {
	number := 0
	nextSound, nextDeadly := start, start.Add(deadlyStart)
	for now := start; now.Before(start.Add(regionLength)); now = now.Add(regionStep) {
		for ; !now.Before(nextSound); nextSound = nextSound.Add(s.cfg.soundEvery) {
			number++
			s.sent[int(now.Sub(start)/time.Second)]++
			w := &work{req: request(number, popular, uint64(200+s.rng.IntN(20)))}
			if s.cfg.reused && number%5 == 0 && now.Before(start.Add(deadlyStart)) {
				w.req = request(number, popular, deadly)
			}
			s.add(now, w)
		}
		for ; s.cfg.deadlyEvery > 0 && !now.Before(nextDeadly); nextDeadly = nextDeadly.Add(s.cfg.deadlyEvery) {
			number++
			s.add(now, &work{deadly: true, req: request(number, popular, uint64(200+s.rng.IntN(20)), deadly)})
		}
		if s.cfg.outage && now.Equal(start.Add(deadlyStart)) {
			for target := range s.upAt {
				s.crash(now, target, 2*time.Second)
			}
		}
		s.advance(now)
		s.spread(now)
	}
}

// add sends a request to a random node.
func (s *simulation) add(now time.Time, w *work) {
	w.sentAt = now
	s.work = append(s.work, w)
	s.submit(now, w)
}

// submit passes the request to a node, which sends it to a target or refuses
// it.
func (s *simulation) submit(now time.Time, w *work) {
	w.node, w.attempts = s.rng.IntN(len(s.guards)), 0
	s.send(now, w)
}

func (s *simulation) send(now time.Time, w *work) {
	var up []int
	for target, at := range s.upAt {
		if !now.Before(at) {
			up = append(up, target)
		}
	}
	if refused(s.guards[w.node], now, w.req) || len(up) == 0 || w.attempts >= maxAttempts {
		w.target, w.at = -1, now.Add(400*time.Millisecond)
		w.repeats++
		return
	}
	w.attempts++
	w.target, w.at = up[s.rng.IntN(len(up))], now.Add(time.Duration(50+s.rng.IntN(300))*time.Millisecond)
	if w.deadly {
		s.deadlyAt = append(s.deadlyAt, now)
	}
}

// advance lets answers begin, targets crash and clients repeat.
func (s *simulation) advance(now time.Time) {
	for _, w := range slices.Clone(s.work) {
		switch {
		case now.Before(w.at):
		case w.target < 0 && w.repeats <= maxRepeats:
			s.submit(now, w)
		case w.target < 0:
			s.remove(w)
		case w.deadly:
			s.crash(now, w.target, time.Duration(1500+s.rng.IntN(2500))*time.Millisecond)
		default:
			s.guards[w.node].RecordAnswer(now, w.req)
			if w.attempts == 1 && w.repeats == 0 {
				s.begun[int(w.sentAt.Sub(start)/time.Second)]++
			}
			s.remove(w)
		}
	}
}

func (s *simulation) remove(w *work) {
	s.work = slices.DeleteFunc(s.work, func(other *work) bool { return other == w })
}

func (s *simulation) crash(now time.Time, target int, down time.Duration) {
	id := tpcrash.CrashID(fmt.Sprint("engine-", target), s.born[target])
	s.crashes = append(s.crashes, now)
	s.upAt[target] = now.Add(down)
	s.born[target]++
	for _, w := range s.work {
		if w.target == target {
			s.guards[w.node].RecordCrash(now, w.req, id)
			s.send(now, w)
		}
	}
}

// spread publishes the evidence of each node five times a second. It arrives at
// the others evidenceLag later.
func (s *simulation) spread(now time.Time) {
	for i, g := range s.guards {
		if int(now.Sub(start)/regionStep)%10 == i%10 {
			s.reports = append(s.reports, report{now.Add(evidenceLag), i, g.Report(now, period)})
		}
	}
	s.reports = slices.DeleteFunc(s.reports, func(r report) bool {
		if now.Before(r.at) {
			return false
		}
		for i, g := range s.guards {
			if i != r.from {
				g.Merge(now, r.entries)
			}
		}
		return true
	})
}

// beginShare returns the share of the sound requests sent from one second to
// another that began at the first attempt.
func (s *simulation) beginShare(from, to int) float64 {
	sent, begun := 0, 0
	for second := from; second < to; second++ {
		sent += s.sent[second]
		begun += s.begun[second]
	}
	return float64(begun) / float64(sent)
}

// Guards against more than three deadly requests that reach targets later than 3 s after the fifth crash.
func TestRegionStopsDeadlyPart(t *testing.T) {
	for _, cfg := range []regionSettings{
		{nodes: 8, targets: 24, soundEvery: 20 * time.Millisecond, deadlyEvery: 500 * time.Millisecond},
		{nodes: 3, targets: 4, soundEvery: 100 * time.Millisecond, deadlyEvery: 300 * time.Millisecond},
		{nodes: 8, targets: 6, soundEvery: 200 * time.Millisecond, deadlyEvery: 200 * time.Millisecond},
		{nodes: 40, targets: 100, soundEvery: 5 * time.Millisecond, deadlyEvery: 100 * time.Millisecond},
		{nodes: 8, targets: 24, soundEvery: 20 * time.Millisecond, deadlyEvery: 500 * time.Millisecond, reused: true},
		{nodes: 2, targets: 2, soundEvery: 50 * time.Millisecond, deadlyEvery: time.Second},
	} {
		for seed := range uint64(4) {
			s := newSimulation(seed, cfg)
			s.run()
			if len(s.crashes) < tpcrash.MaxCrashes {
				t.Fatalf("%+v, seed %d: got %d crashes, want at least %d, or the test shows nothing", cfg, seed, len(s.crashes), tpcrash.MaxCrashes)
			}
			counted := s.crashes[min(len(s.crashes), 5)-1]
			late := 0
			for _, at := range s.deadlyAt {
				if at.After(counted.Add(3 * time.Second)) {
					late++
				}
			}
			if late > 3 {
				t.Errorf("%+v, seed %d: %d deadly requests late after %d crashes, want at most 3", cfg, seed, late, len(s.crashes))
			}
			from := int(counted.Add(6*time.Second).Sub(start)/time.Second) + 1
			usual, after := s.beginShare(0, 2), s.beginShare(from, 24)
			if after < usual/2 {
				t.Errorf("%+v, seed %d: sound requests begun: got %.2f, want at least half of %.2f", cfg, seed, after, usual)
			}
		}
	}
}

// Guards against sound requests that are refused for long after all targets have crashed together.
func TestRegionServesAfterOutage(t *testing.T) {
	for _, cfg := range []regionSettings{
		{nodes: 8, targets: 24, soundEvery: 20 * time.Millisecond, outage: true},
		{nodes: 3, targets: 4, soundEvery: 100 * time.Millisecond, outage: true},
		{nodes: 40, targets: 100, soundEvery: 5 * time.Millisecond, outage: true},
	} {
		for seed := range uint64(4) {
			s := newSimulation(seed, cfg)
			s.run()
			// The targets are back after 5 s.
			if usual, after := s.beginShare(0, 2), s.beginShare(8, 24); after < 0.9*usual {
				t.Errorf("%+v, seed %d: sound requests begun: got %.2f, usual %.2f", cfg, seed, after, usual)
			}
		}
	}
}
