package tprouter

import (
	"time"

	"teaselpin.example/teaselpin/internal/report/tpload"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// MaxCandidates is the maximum number of targets in an assignment.
const MaxCandidates = 3

// slabTargets is the number of targets in one allocation of 16 KB, which serves
// several assignments.
const slabTargets = 256

// RoutePolicy chooses among the usable targets of a pool.
type RoutePolicy interface {
	// Pick returns the index in g.Members of the best target. g is not empty.
	// Pick must not keep or change g.
	Pick(now time.Time, req *tpmessage.Request, v *tpload.View, g *tpload.Group) int
}

// Settings configures a Router. New replaces a Subset that is not positive by
// DefaultSubsetSize.
type Settings struct {
	Node   string // name of this node
	Load   tpload.Settings
	Subset int    // minimum number of targets of a pool that the node uses
	Seed   uint64 // seed for the choice of alternative targets
}

// Kind determines which field of an Input is used.
type Kind uint8

// Each kind of input uses the field of Input with its name: InputWork uses
// Work, InputReport uses Report, and so on. InputConfig uses Snapshot.
const (
	InputWork Kind = iota
	InputReport
	InputCompletion
	InputConfig
	InputLeaving
	InputCacheEvent
	InputNodes
)

// Input is a message to the router filter.
type Input struct {
	Kind       Kind
	Work       tpmessage.Work
	Report     tpmessage.LoadReport
	Completion tpmessage.Completion
	Snapshot   *tpmessage.Snapshot
	Leaving    []string // names of all targets that are known to leave
	CacheEvent tpmessage.CacheEvent
	Nodes      []string // names of the region's live nodes, including this one
}

// Output is an assignment, or a refusal if no target is usable.
type Output struct {
	Assignment tpmessage.Assignment
	Refusal    *tpmessage.Refusal
}

// Router chooses the targets of requests. It belongs to one filter and is not
// safe for concurrent use.
type Router[P RoutePolicy] struct {
	cfg          Settings
	policy       P
	view         *tpload.View
	rng          rng
	config       *tpmessage.Config
	pools        map[string]*pool
	poolByTarget map[string]*pool // by target name
	nodes        []string
	leaving      []string           // targets from the last InputLeaving
	targetSlab   []tpmessage.Target // preallocated targets of further assignments
}

// New returns a router without targets. It refuses all requests until an
// InputConfig sets the targets.
func New[P RoutePolicy](cfg Settings, policy P) *Router[P] {
	if cfg.Subset <= 0 {
		cfg.Subset = DefaultSubsetSize
	}
	return &Router[P]{
		cfg:    cfg,
		policy: policy,
		view:   tpload.NewView(cfg.Load),
		// If the policy has the same seed and this generator drew the same
		// sequence, the alternative to a target would always be its neighbour.
		// The neighbour would then receive all requests of a failed target.
		rng:          newRNG(^cfg.Seed),
		config:       &tpmessage.Config{},
		pools:        make(map[string]*pool),
		poolByTarget: make(map[string]*pool),
	}
}

// View returns the router's view of the target loads. The router's filter owns
// it.
func (r *Router[P]) View() *tpload.View { return r.view }

// Step processes one input. For InputWork it returns the output and true, for
// all other kinds false.
func (r *Router[P]) Step(now time.Time, in Input) (Output, bool) {
	switch in.Kind {
	case InputWork:
		return r.route(now, in.Work), true
	case InputReport:
		if r.view.Report(&in.Report) {
			r.updateGroups(in.Report.Target)
		}
	case InputCompletion:
		r.view.RecordCompletion(now, &in.Completion)
	case InputConfig:
		r.config = &in.Snapshot.Config
		r.configure()
	case InputLeaving:
		r.leaving = in.Leaving
		r.setLeaving()
	case InputCacheEvent:
		r.view.CacheEvent(in.CacheEvent)
	case InputNodes:
		r.nodes = in.Nodes
		r.configure()
	}
	return Output{}, false
}

func (r *Router[P]) route(now time.Time, w tpmessage.Work) Output {
	out := Output{Assignment: tpmessage.Assignment{Work: w}}
	out.Assignment.Targets = r.Choose(now, &w.Request, r.allocateTargets())
	if len(out.Assignment.Targets) > 0 {
		return out
	}
	out.Refusal = &tpmessage.Refusal{
		Code:       tpmessage.RefusalNotRun,
		Reason:     "no target of pool " + w.Request.Pool + " takes new work",
		RetryAfter: time.Second,
		NotRun:     true,
	}
	return out
}

// allocateTargets returns an empty slice with capacity for the targets of one
// assignment.
func (r *Router[P]) allocateTargets() []tpmessage.Target {
	if len(r.targetSlab) < MaxCandidates {
		r.targetSlab = make([]tpmessage.Target, slabTargets)
	}
	dst := r.targetSlab[:0:MaxCandidates]
	r.targetSlab = r.targetSlab[MaxCandidates:]
	return dst
}

// Choose appends the targets that may serve a request to dst, in order of
// preference, and counts the request as sent to the first one. It appends
// nothing if no target of the request's pool accepts new requests. It does not
// allocate if dst has capacity for MaxCandidates more targets.
func (r *Router[P]) Choose(now time.Time, req *tpmessage.Request, dst []tpmessage.Target) []tpmessage.Target {
	p, ok := r.pools[req.Pool]
	if !ok {
		return dst
	}
	g := p.group(req.Adapter)
	if len(g.Members) == 0 {
		return dst
	}
	first := r.policy.Pick(now, req, r.view, g)
	c := g.Members[first]
	dst = append(dst, c.Target)
	r.view.RecordSend(now, req, c)
	return r.alternatives(g, first, dst)
}

// alternatives appends members other than the first choice, which are used
// only after a failure. They start at a random index, so that the requests of
// a failed target are spread over the others.
func (r *Router[P]) alternatives(g *tpload.Group, first int, dst []tpmessage.Target) []tpmessage.Target {
	n := len(g.Members)
	index := r.rng.intN(n)
	for range min(n, MaxCandidates) {
		if len(dst) == MaxCandidates {
			return dst
		}
		if index != first {
			dst = append(dst, g.Members[index].Target)
		}
		index = (index + 1) % n
	}
	return dst
}

// configure selects this node's subset of the configured targets and rebuilds
// the pools.
func (r *Router[P]) configure() {
	r.pools = make(map[string]*pool, len(r.config.Pools))
	r.poolByTarget = make(map[string]*pool)
	versions := make(map[string]string, len(r.config.Models))
	for _, m := range r.config.Models {
		versions[m.Name] = m.Version
	}
	var all []tpmessage.Target
	for _, cfg := range r.config.Pools {
		p := &pool{model: cfg.Model, version: versions[cfg.Model]}
		p.targets = Subset(r.cfg.Node, r.nodes, cfg.Targets, r.cfg.Subset, nil)
		all = append(all, p.targets...)
		r.pools[cfg.Name] = p
		for _, t := range p.targets {
			r.poolByTarget[t.Name] = p
		}
	}
	r.view.Configure(all)
	r.setLeaving()
}

func (r *Router[P]) setLeaving() {
	names := make(map[string]bool, len(r.leaving)+len(r.config.Drains))
	for _, name := range r.leaving {
		names[name] = true
	}
	for _, name := range r.config.Drains {
		names[name] = true
	}
	r.view.SetLeaving(func(name string) bool { return names[name] })
	for _, p := range r.pools {
		p.updateGroups(r.view)
	}
}

func (r *Router[P]) updateGroups(target string) {
	if p, ok := r.poolByTarget[target]; ok {
		p.updateGroups(r.view)
	}
}
