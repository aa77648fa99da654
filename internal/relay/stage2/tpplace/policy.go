package tpplace

import (
	"time"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// PrefillTokensPerMs is the reference speed at which an engine with the
	// prefill role reads prompts, in tokens per millisecond. Each node
	// estimates how much slower its engines are.
	PrefillTokensPerMs = 48.0
	// A generating engine takes stepMs plus stepMsPerRun for each run in its
	// batch to generate one token of every run.
	stepMs, stepMsPerRun = 2.6, 0.12
	// In batches of more than maxDecodeBatch runs, the pauses between events
	// become long. An engine with few slots is full in a burst if its mean batch
	// is above maxSlotUtilisation of them.
	maxDecodeBatch, maxSlotUtilisation = 40.0, 0.7
	// maxSlotWaitFraction is the part of the remaining time of a request for
	// which its run may wait for a slot. The generation needs the rest.
	maxSlotWaitFraction = 0.3
	// maxWaitingPerSlot is the number of waiting runs for each slot of an
	// engine. Engines refuse more than three.
	maxWaitingPerSlot = 2
	// attentionMsPerPair is the time that attention takes for one pair of
	// tokens. It is rounded: the engines of both deployments take 0.248 ms for
	// a million pairs.
	attentionMsPerPair = 0.25e-6
	// decodeSlowdown is the time that an engine with the decode role takes to
	// read a prompt, relative to an engine with the prefill role.
	decodeSlowdown = 2.0
	// handoverMs is the time to transfer a prompt to the target that generates.
	// Transfers take 10 to 25 ms.
	handoverMs = 20.0
	// interferenceMs is the delay that reading a prompt causes to the runs at
	// the same target. It is as long as handoverMs, so that short prompts are
	// read by the target that generates.
	interferenceMs = 20.0
	// directBacklogTokens is the largest backlog of unread tokens, including
	// those of the new prompt, with which a generating target still gets a
	// prompt. Its runs make one step for each chunk of a prompt, so a longer
	// backlog delays their events.
	directBacklogTokens = 2000
	// maxDirectTokens is the largest number of unread tokens, and the longest
	// shared prefix, of a prompt that a generating target reads itself. A
	// longer prompt delays the events of the target's runs, which make one step
	// for each chunk of it, and takes decodeSlowdown times as long as at a
	// prefill target. A long shared prefix is read by prefill targets, because
	// other targets fetch prefixes only from these. With a limit of 0, even the
	// shortest prompts would wait for a handover.
	maxDirectTokens = 800
	// overLimitMs is the cost of exceeding directBacklogTokens or
	// maxDirectTokens. The generating target then gets a new prompt only if
	// every prefill target costs more or none can be used.
	overLimitMs = 2000.0
	// chunkWaitMs is half of the time that an engine takes for one chunk of a
	// prompt. An engine finishes the current chunk before it reads a more
	// urgent prompt.
	chunkWaitMs = 40.0
	// firstPriority is the priority of the most urgent requests. More
	// urgent priorities are reserved for work of the system itself.
	firstPriority = 1
	// routePriorities is the number of distinct route priorities.
	routePriorities = 4
	// crossZoneMs is the cost of a target in another zone, because traffic
	// between zones is charged.
	crossZoneMs = 10.0
	// maxAffinityMs limits how much longer a request waits for the home target
	// of its prefix before another target fetches the prefix.
	maxAffinityMs = 1200.0
	// copyCostFactor is the cost of another copy of a prefix, relative to the
	// time for reading the prefix. The copy displaces other prefixes from a
	// cache.
	copyCostFactor = 4.0
	// crossZoneRuns is the number of additional runs that a target in the
	// node's zone may have before one in another zone is chosen, because
	// traffic between zones is charged.
	crossZoneRuns = 6.0
	// crossZoneCalls is the same limit for calls to plain services. It is lower
	// because these have few slots.
	crossZoneCalls = 2.0
	// allowanceBonusMs and allowanceBonusRuns lower the cost of a target with a
	// limit while the node has an allowance for it. In a large pool the target
	// would rarely be chosen before the allowance ends, and would not get what it
	// offers. The bonus is below the cost of reading a long prompt twice.
	allowanceBonusMs, allowanceBonusRuns = 100.0, 8.0
	// maxKVUtilisation is the fraction of a target's KV memory that runs may
	// fill. Above it, engines preempt running requests.
	maxKVUtilisation = 0.85
)

// Policy chooses among the targets of a view. There is at least one target, and
// all have the same rank. A cost is the expected time in milliseconds until the
// prompt is read, plus penalties for the delay of other requests.
type Policy interface {
	// Prefill returns the index of the target that reads a prompt, and its
	// cost.
	Prefill(view *View, req *tpmessage.RelayRequest) (index int, cost float64)
	// Direct returns the index of the target that reads a prompt and generates,
	// and its cost.
	Direct(view *View, req *tpmessage.RelayRequest) (index int, cost float64)
	// Run returns the index of the target that generates from a prompt that
	// another target has read, or that answers a call.
	Run(view *View, req *tpmessage.RelayRequest) int
}

// View holds the candidate targets and what a policy needs to compare them.
type View struct {
	Zone string
	// Priority is the priority of the request. Targets read more urgent prompts
	// first.
	Priority int
	// timeFactor is the time that an engine of mean speed takes to read prompts,
	// relative to the reference speed.
	timeFactor   float64
	candidates   int // number of targets before sampling
	targets      []*target
	home         int   // index of the prefix's home target, or -1
	sharedTokens int   // tokens of the shared prefix
	unreadTokens []int // for each target, the prompt tokens that it has to read
}

// Affinity prefers the home target of a prompt's shared prefix and targets that
// hold the prefix, unless their backlog is too long.
type Affinity struct{}

// Prefill implements Policy.
func (Affinity) Prefill(v *View, req *tpmessage.RelayRequest) (int, float64) {
	bestIndex, minCost := 0, 0.0
	for i, t := range v.targets {
		cost := handoverMs + v.waitMs(t) + v.readTimeMs(i, req.PromptTokens)
		if i != v.home {
			cost += min(maxAffinityMs, copyCostFactor*v.timeFactor*float64(v.sharedTokens)/PrefillTokensPerMs)
		}
		if t.allowed {
			cost -= allowanceBonusMs
		}
		if i == 0 || cost < minCost {
			bestIndex, minCost = i, cost
		}
	}
	return bestIndex, minCost
}

// Direct implements Policy.
func (Affinity) Direct(v *View, req *tpmessage.RelayRequest) (int, float64) {
	bestIndex, minCost := 0, 0.0
	for i, t := range v.targets {
		cost := interferenceMs + decodeSlowdown*(v.waitMs(t)+v.readTimeMs(i, req.PromptTokens))
		if v.unreadTokens[i] > maxDirectTokens || v.sharedTokens > maxDirectTokens || t.totalPrefill()+v.unreadTokens[i] > directBacklogTokens {
			cost += overLimitMs
		}
		if t.Zone != v.Zone {
			cost += crossZoneMs
		}
		if t.allowed {
			cost -= allowanceBonusMs
		}
		cost += runCost(t)
		if i == 0 || cost < minCost {
			bestIndex, minCost = i, cost
		}
	}
	return bestIndex, minCost
}

// Run implements Policy.
func (Affinity) Run(v *View, req *tpmessage.RelayRequest) int {
	zonePenalty := crossZoneCalls
	if req.Pool.Engine != nil {
		zonePenalty = crossZoneRuns
	}
	bestIndex, minCost := 0, 0.0
	for i, t := range v.targets {
		cost := runCost(t)
		if t.Zone != v.Zone {
			cost += zonePenalty
		}
		if t.allowed {
			cost -= allowanceBonusRuns
		}
		if i == 0 || cost < minCost {
			bestIndex, minCost = i, cost
		}
	}
	return bestIndex
}

// runCost returns the number of runs at a target with the mean speed of its pool
// whose steps take as long as those of this target.
func runCost(t *target) float64 {
	const emptyStep = stepMs / stepMsPerRun // in runs
	runs := float64(t.totalRuns())
	return runs + (t.factors.stream-1)*(emptyStep+runs)
}

// LeastLoaded chooses the target with the smallest load and ignores where
// prefixes are held. It serves as a baseline.
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

// waitMs returns the expected queue delay at a target, in milliseconds, for a
// prompt of the view's priority, if the target reads at the speed of the
// prefill role.
func (v *View) waitMs(t *target) float64 {
	before := t.cumulativePrefill[v.Priority]
	ms := float64(before) / PrefillTokensPerMs
	if t.totalPrefill() > before {
		ms += chunkWaitMs
	}
	return v.timeFactor * t.factors.read * ms
}

// readTimeMs returns the expected time, in milliseconds, that the target with
// the given index takes to read its part of a prompt, if it reads at the speed of
// the prefill role.
func (v *View) readTimeMs(index, prompt int) float64 {
	return v.timeFactor * v.targets[index].factors.read * readMs(v.unreadTokens[index], prompt)
}

// priority returns the priority of a request. A request that can no longer meet
// its goal ranks behind all that can, whatever their routes.
func priority(req *tpmessage.RelayRequest, onTime bool) int {
	rank := min(max(req.Route.Priority, 0), routePriorities-1)
	if onTime {
		return firstPriority + rank
	}
	return firstPriority + routePriorities + rank
}

// readMs returns the milliseconds that an engine with the prefill role takes to
// read the last unread tokens of a prompt at the reference speed. Each token
// attends to all tokens before it.
func readMs(unread, prompt int) float64 {
	pairs := float64(unread) * (float64(prompt) - float64(unread)/2)
	return float64(unread)/PrefillTokensPerMs + pairs*attentionMsPerPair
}

// home returns the home target of a prefix, which is the target with the highest
// rendezvous weight, or nil if prefix is 0. All nodes with the same candidates
// compute the same home. When a target leaves, only its own prefixes get another
// home.
func home(prefix uint64, targets []*target) *target {
	if prefix == 0 {
		return nil
	}
	var best *target
	maxWeight := uint64(0)
	for _, t := range targets {
		if weight := homeWeight(prefix, t); best == nil || weight > maxWeight {
			best, maxWeight = t, weight
		}
	}
	return best
}

func homeWeight(prefix uint64, t *target) uint64 { return xxh3.HashStringSeed(t.Name, prefix) }

// DecodeTokenMs returns the engine time, in milliseconds at the reference speed,
// that one generated token takes on an engine with a sustainable batch.
func DecodeTokenMs(slots int) float64 {
	batch := max(1, min(maxDecodeBatch, maxSlotUtilisation*float64(slots)))
	return (stepMs + stepMsPerRun*batch) / batch
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
