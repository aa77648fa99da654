package tprouter

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// MaxCandidates is the number of targets given with an assignment.
const MaxCandidates = 3

// Candidate is a target with what the router knows of it.
type Candidate struct {
	Target tpmessage.Target
	Report tpmessage.LoadReport // latest; zero if none has come
	// SentPrefill and SentDecode are the pieces that this node has sent to
	// the target since the report was taken.
	SentPrefill float64
	SentDecode  float64
	InFlight    int // requests of this node at the target
	Leaving     bool
}

// RoutePolicy chooses among the usable targets of a pool.
type RoutePolicy interface {
	// Pick returns the index of the best target in usable, which is not
	// empty. It neither keeps nor changes the slice.
	Pick(now time.Time, req *tpmessage.Request, usable []*Candidate) int
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
)

// Input is one message to the router filter.
type Input struct {
	Kind       Kind
	Work       tpmessage.Work
	Report     tpmessage.LoadReport
	Completion tpmessage.Completion
	Snapshot   *tpmessage.Snapshot
	Leaving    []string // names of all targets known to be leaving
}

// Output is an assignment, or a refusal if no target is usable.
type Output struct {
	Assignment tpmessage.Assignment
	Refusal    *tpmessage.Refusal
}

// Router decides where work goes. It belongs to one filter.
type Router[P RoutePolicy] struct {
	policy  P
	pools   map[string][]*Candidate
	byName  map[string]*Candidate
	leaving map[string]bool // from the latest InputLeaving
	drains  map[string]bool // from the configuration
	usable  []*Candidate    // scratch
}

// New returns a router without targets.
func New[P RoutePolicy](policy P) *Router[P] {
	return &Router[P]{
		policy:  policy,
		pools:   make(map[string][]*Candidate),
		byName:  make(map[string]*Candidate),
		leaving: make(map[string]bool),
	}
}

// Step takes one input. It returns an output and true for work.
func (r *Router[P]) Step(now time.Time, in Input) (Output, bool) {
	switch in.Kind {
	case InputWork:
		return r.route(now, in.Work), true
	case InputReport:
		r.report(in.Report)
	case InputCompletion:
		r.complete(in.Completion)
	case InputConfig:
		r.configure(&in.Snapshot.Config)
	case InputLeaving:
		r.setLeaving(in.Leaving)
	}
	return Output{}, false
}

func (r *Router[P]) route(now time.Time, w tpmessage.Work) Output {
	out := Output{Assignment: tpmessage.Assignment{Work: w}}
	r.usable = r.usable[:0]
	for _, c := range r.pools[w.Request.Pool] {
		if !c.Leaving {
			r.usable = append(r.usable, c)
		}
	}
	if len(r.usable) == 0 {
		out.Refusal = &tpmessage.Refusal{
			Code:       tpmessage.RefusalNotRun,
			Reason:     "no target of pool " + w.Request.Pool + " takes new work",
			RetryAfter: time.Second,
			NotRun:     true,
		}
		return out
	}
	for len(out.Assignment.Targets) < MaxCandidates && len(r.usable) > 0 {
		i := r.policy.Pick(now, &w.Request, r.usable)
		c := r.usable[i]
		out.Assignment.Targets = append(out.Assignment.Targets, c.Target)
		if len(out.Assignment.Targets) == 1 {
			c.InFlight++
			c.SentPrefill += w.Request.PrefillPieces()
			c.SentDecode += w.Request.DecodePieces()
		}
		r.usable = append(r.usable[:i], r.usable[i+1:]...)
	}
	return out
}

func (r *Router[P]) report(rep tpmessage.LoadReport) {
	c, ok := r.byName[rep.Target]
	if !ok || rep.At.Before(c.Report.At) {
		return
	}
	c.Report = rep
	c.SentPrefill, c.SentDecode = 0, 0
	c.Leaving = rep.Leaving || r.leaving[rep.Target] || r.drains[rep.Target]
}

func (r *Router[P]) complete(done tpmessage.Completion) {
	c, ok := r.byName[done.Target]
	if ok && done.Final {
		c.InFlight--
	}
}

func (r *Router[P]) configure(cfg *tpmessage.Config) {
	known := r.byName
	r.pools = make(map[string][]*Candidate, len(cfg.Pools))
	r.byName = make(map[string]*Candidate, len(known))
	for _, p := range cfg.Pools {
		for _, t := range p.Targets {
			c, ok := known[t.Name]
			if !ok {
				c = &Candidate{}
			}
			c.Target = t
			r.byName[t.Name] = c
			r.pools[p.Name] = append(r.pools[p.Name], c)
		}
	}
	r.drains = setOf(cfg.Drains)
	r.markLeaving()
}

func (r *Router[P]) setLeaving(names []string) {
	r.leaving = setOf(names)
	r.markLeaving()
}

func (r *Router[P]) markLeaving() {
	for name, c := range r.byName {
		c.Leaving = r.leaving[name] || r.drains[name] || c.Report.Leaving
	}
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
