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
	// soakFaultCount is the number of faults for each seed. Faults overlap.
	soakFaultCount = 14
	// soakRecoveryTimeout bounds the time from the end of the last fault until
	// every node serves the newest configuration. The users allow 12 s.
	soakRecoveryTimeout = 12 * time.Second
)

// soak is the run for one seed.
type soak struct {
	*relayFleet
	t             *testing.T
	rng           *rand.Rand
	peers         []string
	serverProxies []*tpguestfake.Proxy
	storeProxies  []*tpguestfake.Proxy // by node: each reaches the store through its own proxy
	configVersion int
	activeFaults  sync.WaitGroup // faults that have yet to end
	faultLog      []string
}

// Guards against a call that may not be repeated and runs twice, a call that is
// refused as not run although it ran, an answer that is incomplete or another
// request's, and a node that does not recover. A random series of overlapping
// faults hits the nodes, their connections, the servers and the store.
func TestRelaySoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{t: t, rng: rand.New(rand.NewPCG(seed, seed)), configVersion: 1}
	s.relayFleet = newRelayPlatform(t, func(address string) string {
		p := tpguestfake.NewProxy(t, address)
		s.serverProxies = append(s.serverProxies, p)
		return p.Address
	})
	for range 4 {
		s.peers = append(s.peers, tpprocess.FreeAddress(t))
		s.storeProxies = append(s.storeProxies, tpguestfake.NewProxy(t, s.address))
	}
	for i := range s.peers {
		s.nodes = append(s.nodes, s.startNode(t, i, s.peers, s.storeProxies[i].Address))
	}
	for _, n := range s.nodes {
		tpprocess.Eventually(t, "the nodes are ready", n.isReady)
	}
	stop := make(chan struct{})
	calls := s.startLoad(seed, stop)
	for range soakFaultCount {
		s.injectFault()
		time.Sleep(time.Duration(150+s.rng.IntN(600)) * time.Millisecond) // the next fault may start before this one ends
	}
	s.activeFaults.Wait()
	s.store.SuppressWatchEvents(false)
	s.waitRecovered()
	close(stop)
	s.verify(<-calls)
	if t.Failed() {
		t.Logf("seed %d:\n%s", seed, strings.Join(s.faultLog, "\n"))
	}
}

// scheduleEnd calls end, which ends a fault, after a random time of at least
// 200 ms and less than 200 ms + maxExtra.
func (s *soak) scheduleEnd(maxExtra time.Duration, end func()) {
	wait := 200*time.Millisecond + time.Duration(s.rng.Int64N(int64(maxExtra)))
	s.activeFaults.Go(func() {
		time.Sleep(wait)
		end()
	})
}

// injectFault starts a random fault.
func (s *soak) injectFault() {
	i := s.rng.IntN(len(s.nodes))
	n := s.nodes[i]
	server := s.rng.IntN(len(s.serverProxies))
	mode := []tpguestfake.Mode{tpguestfake.ModeDelay, tpguestfake.ModeStall, tpguestfake.ModeReset}[s.rng.IntN(3)]
	kind := s.rng.IntN(8)
	s.faultLog = append(s.faultLog, fmt.Sprintf("%s fault %d node %d server %d mode %d", time.Now().Format("05.000"), kind, i, server, mode))
	// Each fault comes together with faulty answers of a server: without these
	// the check detects neither a second run nor an answer to another request.
	s.injectServerFaults(server)
	switch kind {
	case 0:
		if n.claimForFault() {
			n.process.Signal(s.t, syscall.SIGSTOP)
			s.scheduleEnd(2*time.Second, func() {
				n.process.Signal(s.t, syscall.SIGCONT)
				n.releaseFromFault()
			})
		}
	case 1, 2:
		if n.claimForFault() {
			s.activeFaults.Go(func() { s.stopAndRestart(i, n, kind == 1) })
		}
	case 3:
		s.serverProxies[server].SetMode(mode)
		s.scheduleEnd(1500*time.Millisecond, func() { s.serverProxies[server].SetMode(tpguestfake.ModePass) })
	case 4:
		s.storeProxies[i].SetMode(mode)
		s.scheduleEnd(3*time.Second, func() { s.storeProxies[i].SetMode(tpguestfake.ModePass) })
	case 5:
		for i := range s.serverProxies {
			s.injectServerFaults(i)
		}
	case 6:
		s.configVersion++
		s.configure(s.configVersion)
	case 7:
		s.store.SuppressWatchEvents(true)
		s.store.CompactHistory()
		s.scheduleEnd(time.Second, func() { s.store.SuppressWatchEvents(false) })
	}
}

// injectServerFaults makes the next one to four requests to a server fail in
// random ways.
func (s *soak) injectServerFaults(server int) {
	faults := []tpguestfake.Fault{
		tpguestfake.FaultNotRun, tpguestfake.FaultCut, tpguestfake.FaultLostAnswer, tpguestfake.FaultForeign,
		tpguestfake.FaultError, tpguestfake.FaultMissingStamp,
	}
	for range 1 + s.rng.IntN(4) {
		s.relayFleet.servers[server].QueueFaults(faults[s.rng.IntN(len(faults))])
	}
}

// stopAndRestart ends a node's process, by SIGKILL or by a planned stop, and
// starts it again.
func (s *soak) stopAndRestart(i int, n *relayNode, kill bool) {
	defer n.releaseFromFault()
	if kill {
		n.process.Kill()
	} else if err := n.process.Stop(s.t, 20*time.Second); err != nil {
		s.t.Errorf("planned stop of node %d: %v", i, err)
	}
	n.restart(s.t)
}

// waitRecovered waits until every node serves the newest configuration. It
// fails the test after soakRecoveryTimeout.
func (s *soak) waitRecovered() {
	deadline := time.Now().Add(soakRecoveryTimeout)
	for i, n := range s.nodes {
		for attempt := 0; ; attempt++ {
			c := n.call(fmt.Sprintf("probe-%d-%d", i, attempt), fmt.Sprint("v", s.configVersion), i)
			if c.status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				s.t.Errorf("node %d does not serve version %d: %+v", i, s.configVersion, c)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// verify checks the answers of the clients against the runs of the servers: a
// call to the unsafe route runs at most once, and not at all if it is refused
// with status 503; an answer with status 200 is complete; and at least 3 in 10
// answers are complete.
func (s *soak) verify(calls []relayCall) {
	runs := s.runs()
	complete := 0
	for _, c := range calls {
		if c.route == "swap" && runs[c.id] > 1 {
			s.t.Errorf("call %s, which may not be repeated, ran %d times", c.id, runs[c.id])
		}
		if c.route == "swap" && c.status == http.StatusServiceUnavailable && runs[c.id] > 0 {
			s.t.Errorf("call %s was refused as not run, but ran", c.id)
		}
		if c.status != http.StatusOK || c.err != nil {
			continue
		}
		complete++
		if !c.complete() {
			s.t.Errorf("answer to %s: got %q, want the complete answer", c.id, c.body)
		}
	}
	if complete*10 < len(calls)*3 {
		s.t.Errorf("complete answers: got %d of %d, want at least 3 in 10", complete, len(calls))
	}
}
