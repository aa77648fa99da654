package tpplace

import (
	"time"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// PrefillTokensPerMs is the reference speed at which an engine with the
	// prefill role reads prompts, as the deployments' sheets state it. Nodes learn
	// how much slower their engines are.
	PrefillTokensPerMs = 48.0
	// stepMs and stepMsPerRun are the times that a generating engine takes for
	// one token of each run, as the deployments' sheets and days state it.
	stepMs, stepMsPerRun = 2.6, 0.12
	// tokenMs is the time of an engine for one token in a batch of 40, above
	// which pauses between events grow long.
	tokenMs = (stepMs + stepMsPerRun*40) / 40
	// msPerPair is the time in milliseconds that attention takes for one pair of
	// tokens: 0.248 ms for a million pairs in the two deployments' files, rounded.
	msPerPair = 0.25e-6
	// decodeSlowdown is how much slower an engine with the decode role reads
	// prompts, by the platform's description.
	decodeSlowdown = 2.0
	// handOver is the time in milliseconds that a prompt that was read apart
	// takes to its second target; measured, 10 to 25.
	handOver = 20.0
	// disturbance is what reading a prompt costs the runs beside it, in
	// milliseconds; about a hand-over, so that short prompts go straight there.
	disturbance = 20.0
	// directBacklog is the number of unread tokens at a generating target up to
	// which prompts are given to it. Its runs make one step for each piece of a
	// prompt, so that a longer backlog makes their events late.
	directBacklog = 2000
	// directTokens is the longest unread prompt, and the longest prefix, that a
	// generating target reads by itself; 0 and 1,700 earned less, 1,500 no more.
	directTokens = 800
	// overBacklog is the cost in milliseconds of what is above these limits.
	overBacklog = 2000.0
	// pieceWait is half of the time in milliseconds that an engine takes for a
	// piece of a prompt, which it ends before a more urgent one.
	pieceWait = 40.0
	// firstPriority is that of the most urgent requests. More urgent ones are
	// left for work that the system itself needs.
	firstPriority = 1
	// ranks is the number of priorities of routes that are told apart.
	ranks = 4
	// zoneMs is the cost in milliseconds of a target of another zone, whose
	// traffic is priced.
	zoneMs = 10.0
	// affinityMs bounds in milliseconds how much longer a request waits for the
	// target that keeps its prefix, before another one fetches the prefix.
	affinityMs = 1200.0
	// spreadFactor is what another copy of a prefix costs, in times of reading the
	// prefix, since the copy takes the place of other prefixes in a cache.
	spreadFactor = 4.0
	// zoneRuns is the number of runs by which a target of the node's zone may
	// be busier than another, since traffic between zones is priced.
	zoneRuns = 6.0
	// zoneCalls is the same for calls to plain services, which have few slots.
	zoneCalls = 2.0
	// kvUse is the part of a target's memory that runs may fill. Above it
	// running requests are preempted.
	kvUse = 0.85
)

// Policy chooses among the targets of one role, which are not empty and of
// equal rank. The costs of its choices are milliseconds until the prompt is
// read, with what the choice costs others.
type Policy interface {
	// Prefill returns the place of the target that reads a prompt, and its cost.
	Prefill(view *View, req *tpmessage.RelayRequest) (place int, cost float64)
	// Direct returns the place of the target that reads a prompt and generates,
	// and its cost.
	Direct(view *View, req *tpmessage.RelayRequest) (place int, cost float64)
	// Run returns the place of the target that generates from a prompt that was
	// read elsewhere, or that answers a call.
	Run(view *View, req *tpmessage.RelayRequest) int
}

// View is what a policy sees of the targets.
type View struct {
	Zone string
	// Priority is that of the request; targets read more urgent prompts first.
	Priority int
	// pace is the time that the engines take to read, by the reference speed.
	pace    float64
	targets []*target
	home    int   // place of the prefix's home among the targets, or -1
	shared  int   // tokens of the shared prefix
	unread  []int // for each target, the tokens of the prompt that it has to read
}

// Affinity places prompts where their shared prefix is kept, unless that
// target's backlog is too long.
type Affinity struct{}

// Prefill implements Policy.
func (Affinity) Prefill(v *View, req *tpmessage.RelayRequest) (int, float64) {
	best, least := 0, 0.0
	for i, t := range v.targets {
		cost := handOver + v.waitMs(t) + v.pace*readMs(v.unread[i], req.Prompt)
		if i != v.home {
			cost += min(affinityMs, spreadFactor*v.pace*float64(v.shared)/PrefillTokensPerMs)
		}
		if i == 0 || cost < least {
			best, least = i, cost
		}
	}
	return best, least
}

// Direct implements Policy.
func (Affinity) Direct(v *View, req *tpmessage.RelayRequest) (int, float64) {
	best, least := 0, 0.0
	for i, t := range v.targets {
		cost := disturbance + decodeSlowdown*(v.waitMs(t)+v.pace*readMs(v.unread[i], req.Prompt))
		if v.unread[i] > directTokens || v.shared > directTokens || t.totalPrefill()+v.unread[i] > directBacklog {
			cost += overBacklog
		}
		if t.Zone != v.Zone {
			cost += zoneMs
		}
		cost += float64(t.totalRuns())
		if i == 0 || cost < least {
			best, least = i, cost
		}
	}
	return best, least
}

// Run implements Policy.
func (Affinity) Run(v *View, req *tpmessage.RelayRequest) int {
	zone := zoneCalls
	if req.Pool.Engine != nil {
		zone = zoneRuns
	}
	best, least := 0, 0.0
	for i, t := range v.targets {
		cost := float64(t.totalRuns())
		if t.Zone != v.Zone {
			cost += zone
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
func (LeastLoaded) Prefill(v *View, _ *tpmessage.RelayRequest) (int, float64) {
	best := leastBacklog(v)
	return best, v.waitMs(v.targets[best])
}

// Direct implements Policy.
func (LeastLoaded) Direct(v *View, _ *tpmessage.RelayRequest) (int, float64) {
	best := leastBacklog(v)
	return best, decodeSlowdown * v.waitMs(v.targets[best])
}

func leastBacklog(v *View) int {
	best := 0
	for i, t := range v.targets {
		if t.totalPrefill() < v.targets[best].totalPrefill() {
			best = i
		}
	}
	return best
}

// Run implements Policy.
func (LeastLoaded) Run(v *View, _ *tpmessage.RelayRequest) int {
	best := 0
	for i, t := range v.targets {
		if t.totalRuns() < v.targets[best].totalRuns() {
			best = i
		}
	}
	return best
}

// waitMs returns the milliseconds until a target has read the prompts that come
// before one of the view's priority, at the speed of the prefill role.
func (v *View) waitMs(t *target) float64 {
	before := t.upTo[v.Priority]
	ms := float64(before) / PrefillTokensPerMs
	if t.totalPrefill() > before {
		ms += pieceWait
	}
	return v.pace * ms
}

// priority returns the priority of a request. Requests that cannot be on time
// any more come after those that can, of whatever route.
func priority(req *tpmessage.RelayRequest, onTime bool) int {
	rank := min(max(req.Route.Priority, 0), ranks-1)
	if onTime {
		return firstPriority + rank
	}
	return firstPriority + ranks + rank
}

// readMs returns the milliseconds that reading the last tokens of a prompt
// takes at the speed of the prefill role. Each token attends to all before it.
func readMs(unread, prompt int) float64 {
	pairs := float64(unread) * (float64(prompt) - float64(unread)/2)
	return float64(unread)/PrefillTokensPerMs + pairs*msPerPair
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
		if weight := homeWeight(prefix, t); best < 0 || weight > most {
			best, most = i, weight
		}
	}
	return best
}

func homeWeight(prefix uint64, t *target) uint64 { return xxh3.HashStringSeed(t.Name, prefix) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
