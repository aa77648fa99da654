package tpplace

import (
	"time"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// PrefillTokensPerMs is the speed at which an engine with the prefill role
	// reads prompts, as the deployments' sheets state it.
	PrefillTokensPerMs = 48.0
	// DecodeReadTokensPerMs is the speed at which an engine with the decode
	// role reads prompts: half, by the platform's description.
	DecodeReadTokensPerMs = PrefillTokensPerMs / 2
	// affinityMs is how much longer a request waits for the target that keeps
	// its prefix, before another one fetches the prefix. A fetched copy takes
	// cache memory from other prefixes.
	affinityMs   = 1200.0
	spreadFactor = 4.0
	// zoneRuns is the number of runs by which a target of the node's zone may
	// be busier than another, since traffic between zones is priced.
	zoneRuns = 2.0
	// kvUse is the part of a target's memory that runs may fill. Above it
	// running requests are preempted.
	kvUse = 0.85
)

// Policy chooses among the targets of one role, which are not empty and of
// equal rank.
type Policy interface {
	// Prefill returns the place of the target that reads a prompt.
	Prefill(view *View, req *tpmessage.RelayRequest) int
	// Run returns the place of the target that generates.
	Run(view *View, req *tpmessage.RelayRequest, loaded bool) int
}

// View is what a policy sees of the targets.
type View struct {
	Zone    string
	targets []*target
	home    int    // place of the prefix's home among the targets, or -1
	source  int    // place of a target that keeps the prefix, or -1
	holds   []bool // for each target, whether it keeps the prefix
	shared  int    // tokens of the shared prefix
	unread  []int  // for each target, the tokens of the prompt that it has to read
}

// Affinity places prompts where their shared prefix is kept, unless that
// target's backlog is too long.
type Affinity struct{}

// Prefill implements Policy.
func (Affinity) Prefill(v *View, req *tpmessage.RelayRequest) int {
	best, least := 0, 0.0
	for i, t := range v.targets {
		cost := float64(t.totalPrefill()+v.unread[i]) / PrefillTokensPerMs
		if i != v.home {
			cost += min(affinityMs, spreadFactor*float64(v.shared)/PrefillTokensPerMs)
		}
		if i == 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}

// Run implements Policy.
func (Affinity) Run(v *View, req *tpmessage.RelayRequest, loaded bool) int {
	best, least := 0, 0.0
	for i, t := range v.targets {
		cost := float64(t.totalRuns())
		if t.Zone != v.Zone {
			cost += zoneRuns
		}
		if !loaded {
			cost += float64(t.totalPrefill()) / DecodeReadTokensPerMs / 10
		}
		if i == 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}

// LeastLoaded ignores where prefixes are kept. It is a naive policy.
type LeastLoaded struct{}

// Prefill implements Policy.
func (LeastLoaded) Prefill(v *View, _ *tpmessage.RelayRequest) int {
	best := 0
	for i, t := range v.targets {
		if t.totalPrefill() < v.targets[best].totalPrefill() {
			best = i
		}
	}
	return best
}

// Run implements Policy.
func (LeastLoaded) Run(v *View, _ *tpmessage.RelayRequest, _ bool) int {
	best := 0
	for i, t := range v.targets {
		if t.totalRuns() < v.targets[best].totalRuns() {
			best = i
		}
	}
	return best
}

// home returns the place of the target with the highest rendezvous weight for
// a prefix, or -1 without a prefix. All nodes find the same one, and only the
// prefixes of a target that leaves move.
func home(prefix uint64, targets []*target) int {
	if prefix == 0 {
		return -1
	}
	best, most := -1, uint64(0)
	for i, t := range targets {
		if weight := xxh3.HashStringSeed(t.Name, prefix); best < 0 || weight > most {
			best, most = i, weight
		}
	}
	return best
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
