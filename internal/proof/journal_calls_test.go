package proof_test

import (
	"testing"
	"time"

	"github.com/google/uuid"

	"teaselpin.example/teaselpin/internal/proof/tphistory"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/standin/tpplatformfake"
	"teaselpin.example/teaselpin/internal/standin/tpservicefake"
)

func startBookingFleet(t *testing.T) *tpprocess.Fleet {
	t.Helper()
	return tpprocess.StartFleet(t, tpprocess.FleetSettings{Services: 1, Nodes: 3})
}

// Guards against a call that runs twice, or that is refused as not run although
// it ran, after nodes are killed. A killed node is the entry node of some calls
// and holds the shards of others.
func TestJournalSurvivesKilledNodes(t *testing.T) {
	f := startBookingFleet(t)
	f.Services[0].SetFaults(t, tpservicefake.Faults{DelayBefore: 5 * time.Millisecond, DelayAfter: 5 * time.Millisecond})
	l := newBookingLoad(f, 1)
	l.run(t, 8, 60,
		func() { f.Nodes[0].Kill() },
		func() { l.waitAllShards(t, f.Nodes[1]) },
		func() { f.Services[0].SetFaults(t, tpservicefake.Faults{LoseAnswers: 5}) },
		func() { f.Nodes[1].Kill() },
		func() { l.waitAllShards(t, f.Nodes[2]) },
	)
	l.check(t)
}

// Guards against a node that resumes after a pause and acts on claims or shards
// that it lost during the pause.
func TestJournalSurvivesPausedNodes(t *testing.T) {
	f := startBookingFleet(t)
	f.Services[0].SetFaults(t, tpservicefake.Faults{DelayBefore: 5 * time.Millisecond})
	l := newBookingLoad(f, 2)
	l.timeout = time.Second
	l.run(t, 8, 60,
		func() { f.Nodes[0].Pause(t) },
		func() { l.waitAllShards(t, f.Nodes[1]) },
		func() { f.Nodes[0].Resume(t); f.Nodes[1].Pause(t) },
		func() { l.waitAllShards(t, f.Nodes[2]) },
		func() { f.Nodes[1].Resume(t) },
		func() { l.waitAllShards(t, f.Nodes[1]) },
	)
	l.check(t)
}

// Guards against a call that runs without a recorded claim while the platform
// is down, and against a claim that counts as failed although the platform
// recorded it and only the platform's answer was lost.
func TestJournalSurvivesPlatformFaults(t *testing.T) {
	f := startBookingFleet(t)
	l := newBookingLoad(f, 3)
	journal := func(p tpplatformfake.Faults) func() {
		return func() {
			p.Prefix = "journal/"
			f.Platform.SetFaults(t, p)
		}
	}
	l.run(t, 8, 60,
		journal(tpplatformfake.Faults{LoseWriteAnswers: 30}),
		journal(tpplatformfake.Faults{Down: true}),
		journal(tpplatformfake.Faults{LoseWriteAnswers: 10, Delay: 30 * time.Millisecond}),
		journal(tpplatformfake.Faults{DownCalls: 10, LoseWriteAnswers: 10}),
	)
	f.Platform.SetFaults(t, tpplatformfake.Faults{})
	for _, n := range f.Nodes {
		l.waitAllShards(t, n)
	}
	l.check(t)
}

// Guards against a repeated call that runs again while the entry node of the
// first call is paused in the middle of that call, and against the loss of the
// first call's result when the node resumes.
func TestJournalRecordsTheResultOfAPausedNode(t *testing.T) {
	f := startBookingFleet(t)
	f.Services[0].SetFaults(t, tpservicefake.Faults{DelayAfter: 200 * time.Millisecond})
	l := newBookingLoad(f, 4)
	key := uuid.Must(uuid.NewV7()).String()
	first := make(chan struct{})
	go func() {
		defer close(first)
		l.call(t.Context(), tphistory.NewCaller(0, tpprocess.Token), f.Nodes[0], key)
	}()
	tpprocess.Eventually(t, "the service has run the call", func() bool { return len(serviceRuns(t, f.Services[0])) == 1 })
	f.Nodes[0].Pause(t)
	again := tphistory.NewCaller(1, tpprocess.Token)
	for _, n := range f.Nodes[1:] {
		if op := l.call(t.Context(), again, n, key); op.Outcome == tphistory.OutcomeOK {
			t.Errorf("repeated call while the entry node is paused: got %+v, want a refusal", op)
		}
	}
	f.Nodes[0].Resume(t)
	<-first
	for _, n := range f.Nodes {
		tpprocess.Eventually(t, "a repeated call through "+n.Name+" gets the recorded result", func() bool {
			return l.call(t.Context(), again, n, key).Outcome == tphistory.OutcomeOK
		})
	}
	l.check(t)
}
