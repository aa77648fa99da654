package tprouter

import (
	"time"

	"teaselpin.example/teaselpin/internal/report/tpload"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// MaxCandidates is the number of targets given with an assignment.
const MaxCandidates = 3

// slabTargets is the number of targets for assignments that are allocated at
// once, 16 KB.
const slabTargets = 256

// RoutePolicy chooses among the usable targets of a pool.
type RoutePolicy interface {
	// Pick returns the place of the best target in the group, which is not
	// empty. It neither keeps nor changes the group.
	Pick(now time.Time, req *tpmessage.Request, v *tpload.View, g *tpload.Group) int
}

// Settings configures a Router. The zero value is the default.
type Settings struct {
	Node   string // name of this node
	Load   tpload.Settings
	Subset int    // targets of a pool that the node works with at least
	Seed   uint64 // of the choice of alternatives
}

// Kind tells what an Input holds.
type Kind uint8

// Kinds of inputs.
const (
	InputWork Kind = iota
	InputReport
	InputCompletion
	InputConfig
	InputLeaving
	InputCacheEvent
	InputNodes
)

// Input is one message to the router filter.
type Input struct {
	Kind       Kind
	Work       tpmessage.Work
	Report     tpmessage.LoadReport
	Completion tpmessage.Completion
	Snapshot   *tpmessage.Snapshot
	Leaving    []string // names of all targets known to be leaving
	CacheEvent tpmessage.CacheEvent
	Nodes      []string // names of the live nodes of the region, this one included
}

// Output is an assignment, or a refusal if no target is usable.
type Output struct {
	Assignment tpmessage.Assignment
	Refusal    *tpmessage.Refusal
}

// Router decides where work goes. It belongs to one filter.
type Router[P RoutePolicy] struct {
	cfg     Settings
	policy  P
	view    *tpload.View
	source  source
	config  *tpmessage.Config
	pools   map[string]*pool
	poolOf  map[string]*pool // by target
	nodes   []string
	leaving []string           // from the platform's list
	slab    []tpmessage.Target // room for the targets of assignments
}

// New returns a router without targets.
func New[P RoutePolicy](cfg Settings, policy P) *Router[P] {
	if cfg.Subset <= 0 {
		cfg.Subset = DefaultSubset
	}
	return &Router[P]{
		cfg:    cfg,
		policy: policy,
		view:   tpload.NewView(cfg.Load),
		// With the sequence of a policy of the same seed, the alternative to a
		// target would always be its neighbour, which then takes all of the
		// work of a lost target.
		source: newSource(^cfg.Seed),
		config: &tpmessage.Config{},
		pools:  make(map[string]*pool),
		poolOf: make(map[string]*pool),
	}
}

// View returns the router's view of the targets.
func (r *Router[P]) View() *tpload.View { return r.view }

// Step takes one input. It returns an output and true for work.
func (r *Router[P]) Step(now time.Time, in Input) (Output, bool) {
	switch in.Kind {
	case InputWork:
		return r.route(now, in.Work), true
	case InputReport:
		if r.view.Report(&in.Report) {
			r.regroup(in.Report.Target)
		}
	case InputCompletion:
		r.view.Completed(now, &in.Completion)
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
	out.Assignment.Targets = r.Choose(now, &w.Request, r.room())
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

// room returns an empty slice for the targets of one assignment.
func (r *Router[P]) room() []tpmessage.Target {
	if len(r.slab) < MaxCandidates {
		r.slab = make([]tpmessage.Target, slabTargets)
	}
	dst := r.slab[:0:MaxCandidates]
	r.slab = r.slab[MaxCandidates:]
	return dst
}

// Choose appends the targets that may serve a request to dst, best first, and
// counts the request at the first one. It appends none if no target of the
// request's pool takes new work. It does not allocate if dst has room for
// MaxCandidates.
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
	r.view.Sent(now, req, c)
	return r.alternatives(g, first, dst)
}

// alternatives appends members other than the first choice, which are only
// used after a failure. They follow each other from a random place, so that
// the work of a failed target spreads.
func (r *Router[P]) alternatives(g *tpload.Group, first int, dst []tpmessage.Target) []tpmessage.Target {
	n := len(g.Members)
	place := r.source.below(n)
	for range min(n, MaxCandidates) {
		if len(dst) == MaxCandidates {
			return dst
		}
		if place != first {
			dst = append(dst, g.Members[place].Target)
		}
		place = (place + 1) % n
	}
	return dst
}

// configure takes the targets of the configuration that belong to this node.
func (r *Router[P]) configure() {
	r.pools = make(map[string]*pool, len(r.config.Pools))
	r.poolOf = make(map[string]*pool)
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
			r.poolOf[t.Name] = p
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
		p.regroup(r.view)
	}
}

func (r *Router[P]) regroup(target string) {
	if p, ok := r.poolOf[target]; ok {
		p.regroup(r.view)
	}
}
