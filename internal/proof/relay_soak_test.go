package proof_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/standin/tpguestfake"
)

var (
	soakSeed  = flag.Uint64("soak.seed", 20261204, "first seed of the soak of relay nodes")
	soakSeeds = flag.Int("soak.seeds", 1, "number of seeds of the soak of relay nodes")
)

const (
	// soakFaults is the number of faults of one seed; they overlap.
	soakFaults = 14
	// soakRecovery bounds the time after the last fault within which every
	// node serves the newest configuration. The users allow 12 s.
	soakRecovery = 12 * time.Second
)

// soak is one seed's run.
type soak struct {
	*relaySite
	t       *testing.T
	rng     *rand.Rand
	peers   []string
	servers []*tpguestfake.Proxy
	stores  []*tpguestfake.Proxy // one for each node
	version int
	pending sync.WaitGroup // faults that have not ended
	log     []string
}

// Guards against a call that may not be repeated and runs twice, one that is
// refused as not run and runs, an answer that is not whole or not the
// request's own, and nodes that do not come back, under a drawn series of
// overlapping faults from outside.
func TestRelaySoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{t: t, rng: rand.New(rand.NewPCG(seed, seed)), version: 1}
	s.relaySite = newPlatform(t, func(address string) string {
		p := tpguestfake.NewProxy(t, address)
		s.servers = append(s.servers, p)
		return p.Address
	})
	for range 4 {
		s.peers = append(s.peers, tpprocess.FreeAddress(t))
		s.stores = append(s.stores, tpguestfake.NewProxy(t, s.address))
	}
	for i := range s.peers {
		s.nodes = append(s.nodes, s.startNode(t, i, s.peers, s.stores[i].Address))
	}
	for _, n := range s.nodes {
		tpprocess.Eventually(t, "the nodes are ready", n.isReady)
	}
	stop := make(chan struct{})
	calls := s.load(seed, stop)
	for range soakFaults {
		s.fault()
		time.Sleep(time.Duration(150+s.rng.IntN(600)) * time.Millisecond) // faults come in series
	}
	s.pending.Wait()
	s.store.Deafen(false)
	s.recovered()
	close(stop)
	s.verify(<-calls)
	if t.Failed() {
		t.Logf("seed %d:\n%s", seed, strings.Join(s.log, "\n"))
	}
}

// later ends a fault after a drawn time.
func (s *soak) later(most time.Duration, end func()) {
	wait := 200*time.Millisecond + time.Duration(s.rng.Int64N(int64(most)))
	s.pending.Go(func() {
		time.Sleep(wait)
		end()
	})
}

// fault begins one drawn fault.
func (s *soak) fault() {
	i := s.rng.IntN(len(s.nodes))
	n := s.nodes[i]
	server := s.rng.IntN(len(s.servers))
	mode := []tpguestfake.Mode{tpguestfake.ModeDelay, tpguestfake.ModeSilent, tpguestfake.ModeReset}[s.rng.IntN(3)]
	kind := s.rng.IntN(8)
	s.log = append(s.log, fmt.Sprintf("%s fault %d node %d server %d mode %d", time.Now().Format("05.000"), kind, i, server, mode))
	// Faulty answers come with every other fault: without them the check caught
	// neither a second run nor an answer of another request.
	s.failServer(server)
	switch kind {
	case 0:
		if n.claim() {
			n.process.Signal(s.t, syscall.SIGSTOP)
			s.later(2*time.Second, func() {
				n.process.Signal(s.t, syscall.SIGCONT)
				n.release()
			})
		}
	case 1, 2:
		if n.claim() {
			s.pending.Go(func() { s.replace(i, n, kind == 1) })
		}
	case 3:
		s.servers[server].Set(mode)
		s.later(1500*time.Millisecond, func() { s.servers[server].Set(tpguestfake.ModePass) })
	case 4:
		s.stores[i].Set(mode)
		s.later(3*time.Second, func() { s.stores[i].Set(tpguestfake.ModePass) })
	case 5:
		for i := range s.servers {
			s.failServer(i)
		}
	case 6:
		s.version++
		s.configure(s.version)
	case 7:
		s.store.Deafen(true)
		s.store.Forget()
		s.later(time.Second, func() { s.store.Deafen(false) })
	}
}

// failServer draws what a server does wrong with its next requests.
func (s *soak) failServer(server int) {
	faults := []tpguestfake.Fault{
		tpguestfake.FaultShed, tpguestfake.FaultCut, tpguestfake.FaultLost, tpguestfake.FaultForeign,
		tpguestfake.FaultError, tpguestfake.FaultBare,
	}
	for range 1 + s.rng.IntN(4) {
		s.relaySite.servers[server].Fail(faults[s.rng.IntN(len(faults))])
	}
}

// replace ends a node, by SIGKILL or as planned, and starts it again.
func (s *soak) replace(i int, n *relayNode, kill bool) {
	defer n.release()
	if kill {
		n.process.Kill()
	} else if err := n.process.Stop(s.t, 20*time.Second); err != nil {
		s.t.Errorf("planned stop of node %d: %v", i, err)
	}
	n.restart(s.t)
}

// recovered waits until every node serves the newest configuration.
func (s *soak) recovered() {
	deadline := time.Now().Add(soakRecovery)
	for i, n := range s.nodes {
		for attempt := 0; ; attempt++ {
			c := n.call(fmt.Sprintf("probe-%d-%d", i, attempt), fmt.Sprint("v", s.version), i)
			if c.status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				s.t.Errorf("node %d does not serve version %d: %+v", i, s.version, c)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// verify holds what clients and servers saw against the promises.
func (s *soak) verify(calls []relayCall) {
	runs := s.runs()
	whole := 0
	for _, c := range calls {
		if c.kind == "swap" && runs[c.id] > 1 {
			s.t.Errorf("call %s, which may not be repeated, ran %d times", c.id, runs[c.id])
		}
		if c.kind == "swap" && c.status == http.StatusServiceUnavailable && runs[c.id] > 0 {
			s.t.Errorf("call %s was refused as not run, and ran", c.id)
		}
		if c.status != http.StatusOK || c.err != nil {
			continue
		}
		whole++
		if !c.whole() {
			s.t.Errorf("answer to %s: got %q", c.id, c.body)
		}
	}
	if whole*10 < len(calls)*3 {
		s.t.Errorf("whole answers: got %d of %d, want at least 3 in 10", whole, len(calls))
	}
}
