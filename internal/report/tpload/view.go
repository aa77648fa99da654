package tpload

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// DefaultValidity is the age up to which a report counts in full. It is
	// half of the longest lag under which the objectives are measured.
	DefaultValidity = 5 * time.Second
	// DefaultZonePenalty is the cost of a target in another availability zone:
	// a round trip of 3 ms, in which an engine prefills 0.3 pieces.
	DefaultZonePenalty = 0.3
	// FailurePenalty is the load that a failed attempt adds to its target for
	// FailureHold, in prefilled pieces. It exceeds the load of a busy engine,
	// so a target that is down is chosen only beside others that are down.
	FailurePenalty = 64.0
	// FailureHold is the time for which a failed attempt counts. A report that
	// was taken later ends it.
	FailureHold = 5 * time.Second
	// DecodeWeight is the cost of a decoded piece relative to a prefilled one.
	// It has the same source as that of admission.
	DecodeWeight = 8.0
	// OffRole is the speed of an engine at work for which it is not set up,
	// relative to an engine with that role. It is an assumption of the model
	// until engines are measured.
	OffRole = 0.25
	// MixedRole is the speed of a mixed engine at each kind of work, relative
	// to an engine with that role. It is an assumption too.
	MixedRole = 0.6
)

// Speeds returns the speeds of an engine of a role at prefill and at decode,
// relative to an engine that is set up for that work.
func Speeds(role tpmessage.Role) (prefill, decode float64) {
	switch role {
	case tpmessage.RolePrefill:
		return 1, OffRole
	case tpmessage.RoleDecode:
		return OffRole, 1
	default:
		return MixedRole, MixedRole
	}
}

// Settings configures a View. The zero value is the default.
type Settings struct {
	Zone        string        // availability zone of the node
	Validity    time.Duration // age up to which a report counts in full
	ZonePenalty float64       // in prefilled pieces
	CacheSize   int           // prefixes whose targets are remembered
}

// View is what a node knows of its targets. It belongs to the router filter.
type View struct {
	cfg      Settings
	byName   map[string]*Candidate
	attempts map[string]attempt // by request identity
	cache    cache
	reports  int     // candidates with a report
	sum      float64 // reported loads of these
}

// attempt is a request that is at a target.
type attempt struct {
	candidate *Candidate
	cost      float64
	at        time.Time
}

// NewView returns a view without targets.
func NewView(cfg Settings) *View {
	if cfg.Validity <= 0 {
		cfg.Validity = DefaultValidity
	}
	if cfg.ZonePenalty <= 0 {
		cfg.ZonePenalty = DefaultZonePenalty
	}
	return &View{
		cfg:      cfg,
		byName:   make(map[string]*Candidate),
		attempts: make(map[string]attempt),
		cache:    newCache(cfg.CacheSize),
	}
}

// Zone returns the availability zone of the node.
func (v *View) Zone() string { return v.cfg.Zone }

// Candidate returns the candidate of that name, or nil.
func (v *View) Candidate(name string) *Candidate { return v.byName[name] }

// Configure sets the targets. What is known of a target that stays is kept.
func (v *View) Configure(targets []tpmessage.Target) {
	known := v.byName
	v.byName = make(map[string]*Candidate, len(targets))
	v.reports, v.sum = 0, 0
	for _, t := range targets {
		c, ok := known[t.Name]
		if !ok {
			c = &Candidate{}
		}
		c.Target = t
		c.groups = [2]*Group{}
		v.byName[t.Name] = c
		if !c.Report.At.IsZero() {
			v.reports++
			v.sum += c.reported
		}
	}
}

// SetLeaving replaces the set of the targets that the platform or the
// configuration calls leaving.
func (v *View) SetLeaving(leaving func(name string) bool) {
	for name, c := range v.byName {
		c.listed = leaving(name)
		c.Leaving = c.listed || c.Report.Leaving
	}
}

// Report takes a load report and tells whether it changes who may use the
// target. A report that is older than the latest is ignored.
func (v *View) Report(rep *tpmessage.LoadReport) (changed bool) {
	c, ok := v.byName[rep.Target]
	if !ok {
		return false
	}
	if rep.At.Before(c.Report.At) {
		return false
	}
	if c.Report.At.IsZero() {
		v.reports++
	}
	before := c.Report
	wasLeaving := c.Leaving
	c.Report = *rep
	v.sum -= c.reported
	c.reported = roleCost(rep.Role, rep.WaitingPrefill, rep.WaitingDecode)
	v.sum += c.reported
	c.dropSends(rep.At)
	if rep.At.After(c.failed) {
		c.failed = time.Time{}
	}
	c.Leaving = rep.Leaving || c.listed
	return c.Leaving != wasLeaving || before.Model != rep.Model ||
		before.Version != rep.Version || before.Adapter != rep.Adapter
}

// roleCost returns the cost of work at an engine of a role, in pieces that a
// mixed engine prefills.
func roleCost(role tpmessage.Role, prefill, decode float64) float64 {
	p, d := Speeds(role)
	return MixedRole * (prefill/p + DecodeWeight*decode/d)
}

// Load returns the load of a candidate in prefilled pieces: the reported load
// and this node's own sends since the report. A report beyond its validity
// fades to the mean of all reports, which it has reached at twice that age.
func (v *View) Load(now time.Time, c *Candidate) float64 {
	load := c.sent + v.Reported(now, c)
	if c.Target.Zone != v.cfg.Zone {
		load += v.cfg.ZonePenalty
	}
	if !c.failed.IsZero() && now.Sub(c.failed) < FailureHold {
		load += FailurePenalty
	}
	return load
}

// Reported returns the reported load alone, discounted by the report's age.
func (v *View) Reported(now time.Time, c *Candidate) float64 {
	age := now.Sub(c.Report.At)
	if age <= v.cfg.Validity {
		return c.reported
	}
	mean := 0.0
	if v.reports > 0 {
		mean = v.sum / float64(v.reports)
	}
	stale := min(1, float64(age-v.cfg.Validity)/float64(v.cfg.Validity))
	return c.reported + stale*(mean-c.reported)
}

// Sent counts a request that is sent to a candidate.
func (v *View) Sent(now time.Time, req *tpmessage.Request, c *Candidate) {
	v.release(req.ID)
	cost := roleCost(c.Report.Role, req.PrefillPieces(), req.DecodePieces())
	v.hold(req.ID, attempt{candidate: c, cost: cost, at: now})
	if req.PrefixHash != 0 {
		v.cache.store(req.PrefixHash, c)
	}
}

func (v *View) hold(id string, at attempt) {
	at.candidate.InFlight++
	at.candidate.addSend(at.at, at.cost)
	v.attempts[id] = at
}

// release takes a request off the target that it is counted at.
func (v *View) release(id string) {
	at, ok := v.attempts[id]
	if !ok {
		return
	}
	delete(v.attempts, id)
	at.candidate.InFlight--
	at.candidate.removeSend(at.at, at.cost)
}

// failed reports whether an attempt shows that its target may be down.
func failed(done *tpmessage.Completion, c *Candidate) bool {
	if done.Target != c.Target.Name {
		return false
	}
	return done.Outcome == tpmessage.OutcomeNotSent || done.Outcome == tpmessage.OutcomeCut
}

// Completed takes the end of an attempt. The request moves to the target of
// the next attempt if that is known. The end of an attempt at a target that
// the request has already left changes nothing, unless it is final.
func (v *View) Completed(now time.Time, done *tpmessage.Completion) {
	at, ok := v.attempts[done.RequestID]
	if !ok {
		return
	}
	if !done.Final && at.candidate.Target.Name != done.Target {
		return
	}
	v.release(done.RequestID)
	if failed(done, at.candidate) {
		at.candidate.failed = now
	}
	next, ok := v.byName[done.Next]
	if done.Final || !ok {
		return
	}
	v.hold(done.RequestID, attempt{candidate: next, cost: at.cost, at: now})
}
