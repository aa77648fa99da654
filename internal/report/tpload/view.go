package tpload

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// DefaultValidity is the age up to which a report has full weight. It is
	// half of 10 s, the longest report delay for which the service objectives
	// are measured.
	DefaultValidity = 5 * time.Second
	// DefaultZonePenalty is the added load, in prefilled pieces, of a target
	// in another availability zone. It stands for a round trip of 3 ms, in
	// which an engine prefills 0.3 pieces.
	DefaultZonePenalty = 0.3
	// FailurePenalty is the load, in prefilled pieces, that a failed attempt
	// adds to its target for FailurePenaltyDuration. It exceeds the load of a
	// busy engine, so that a target that is down is chosen only if the
	// alternatives are down too.
	FailurePenalty = 64.0
	// FailurePenaltyDuration is the time for which a failed attempt adds
	// FailurePenalty. A report that was taken after the failure ends it.
	FailurePenaltyDuration = 5 * time.Second
	// DecodeWeight is the cost of a decoded piece relative to a prefilled one.
	// It has the same basis as the DecodeWeight of package tpadmission.
	DecodeWeight = 8.0
	// OffRoleSpeed is the speed of a prefill engine at decode and of a decode
	// engine at prefill, relative to an engine that is set up for that work. It
	// is an assumption about engines.
	OffRoleSpeed = 0.25
	// MixedRoleSpeed is the speed of a mixed engine at prefill and at decode,
	// relative to an engine that is set up for that work. It is an assumption
	// about engines.
	MixedRoleSpeed = 0.6
)

// Speeds returns the speeds of an engine with the given role at prefill and
// decode, relative to an engine that is set up for that work. Any other role
// than prefill or decode counts as mixed.
func Speeds(role tpmessage.Role) (prefill, decode float64) {
	switch role {
	case tpmessage.RolePrefill:
		return 1, OffRoleSpeed
	case tpmessage.RoleDecode:
		return OffRoleSpeed, 1
	default:
		return MixedRoleSpeed, MixedRoleSpeed
	}
}

// Settings configures a View. NewView replaces numbers that are not positive
// by their defaults.
type Settings struct {
	Zone        string        // availability zone of the node
	Validity    time.Duration // age up to which a report has full weight
	ZonePenalty float64       // in prefilled pieces
	CacheSize   int           // maximum number of prefixes with recorded targets
}

// View holds the candidates of a node and their loads. It belongs to the router
// filter and is not safe for concurrent use.
type View struct {
	cfg         Settings
	byName      map[string]*Candidate
	attempts    map[string]attempt // by request ID
	prefixCache prefixCache
	reportCount int     // number of candidates with a report
	reportedSum float64 // total of their reported loads
}

// attempt is a request that was sent to a target and has not completed there.
type attempt struct {
	candidate *Candidate
	cost      float64 // in prefilled pieces
	at        time.Time
}

// NewView returns a view without targets. Configure sets them.
func NewView(cfg Settings) *View {
	if cfg.Validity <= 0 {
		cfg.Validity = DefaultValidity
	}
	if cfg.ZonePenalty <= 0 {
		cfg.ZonePenalty = DefaultZonePenalty
	}
	return &View{
		cfg:         cfg,
		byName:      make(map[string]*Candidate),
		attempts:    make(map[string]attempt),
		prefixCache: newPrefixCache(cfg.CacheSize),
	}
}

// Zone returns the availability zone of the node.
func (v *View) Zone() string { return v.cfg.Zone }

// Candidate returns the candidate with the given target name, or nil if there
// is none.
func (v *View) Candidate(name string) *Candidate { return v.byName[name] }

// Configure replaces the targets. Targets that were configured before keep
// their recorded data.
func (v *View) Configure(targets []tpmessage.Target) {
	known := v.byName
	v.byName = make(map[string]*Candidate, len(targets))
	v.reportCount, v.reportedSum = 0, 0
	for _, t := range targets {
		c, ok := known[t.Name]
		if !ok {
			c = &Candidate{}
		}
		c.Target = t
		c.groups = [2]*Group{}
		v.byName[t.Name] = c
		if !c.Report.At.IsZero() {
			v.reportCount++
			v.reportedSum += c.reportedLoad
		}
	}
}

// SetLeaving replaces the set of targets that the platform or the
// configuration marks as leaving.
func (v *View) SetLeaving(leaving func(name string) bool) {
	for name, c := range v.byName {
		c.listedLeaving = leaving(name)
		c.Leaving = c.listedLeaving || c.Report.Leaving
	}
}

// Report records a load report. It returns true if the target's leaving state,
// model, version or adapter changed, which may change the requests that it can
// serve. A report that is older than the latest one, or of an unknown target,
// is ignored.
func (v *View) Report(rep *tpmessage.LoadReport) (changed bool) {
	c, ok := v.byName[rep.Target]
	if !ok {
		return false
	}
	if rep.At.Before(c.Report.At) {
		return false
	}
	if c.Report.At.IsZero() {
		v.reportCount++
	}
	previous := c.Report
	wasLeaving := c.Leaving
	c.Report = *rep
	v.reportedSum -= c.reportedLoad
	c.reportedLoad = roleCost(rep.Role, rep.WaitingPrefill, rep.WaitingDecode)
	v.reportedSum += c.reportedLoad
	c.dropSends(rep.At)
	if rep.At.After(c.failed) {
		c.failed = time.Time{}
	}
	c.Leaving = rep.Leaving || c.listedLeaving
	return c.Leaving != wasLeaving || previous.Model != rep.Model ||
		previous.Version != rep.Version || previous.Adapter != rep.Adapter
}

// roleCost returns the cost of work at an engine with the given role, in
// pieces prefilled by a mixed engine.
func roleCost(role tpmessage.Role, prefill, decode float64) float64 {
	p, d := Speeds(role)
	return MixedRoleSpeed * (prefill/p + DecodeWeight*decode/d)
}

// Load returns the load of a candidate in prefilled pieces. It is the sum of
// the reported load, this node's own sends since the report, and the penalties
// for another zone and for a recent failure. The weight of a report that is
// older than Validity decreases linearly in favour of the mean of all reports,
// to zero at twice that age.
func (v *View) Load(now time.Time, c *Candidate) float64 {
	load := c.sentCost + v.ReportedLoad(now, c)
	if c.Target.Zone != v.cfg.Zone {
		load += v.cfg.ZonePenalty
	}
	if !c.failed.IsZero() && now.Sub(c.failed) < FailurePenaltyDuration {
		load += FailurePenalty
	}
	return load
}

// ReportedLoad returns the reported load in prefilled pieces, weighted by the
// age of the report as Load describes, without own sends and penalties.
func (v *View) ReportedLoad(now time.Time, c *Candidate) float64 {
	age := now.Sub(c.Report.At)
	if age <= v.cfg.Validity {
		return c.reportedLoad
	}
	mean := 0.0
	if v.reportCount > 0 {
		mean = v.reportedSum / float64(v.reportCount)
	}
	staleness := min(1, float64(age-v.cfg.Validity)/float64(v.cfg.Validity))
	return c.reportedLoad + staleness*(mean-c.reportedLoad)
}

// RecordSend records that a request is sent to a candidate, and that the
// candidate will hold the request's prefix.
func (v *View) RecordSend(now time.Time, req *tpmessage.Request, c *Candidate) {
	v.removeAttempt(req.ID)
	cost := roleCost(c.Report.Role, req.PrefillPieces(), req.DecodePieces())
	v.addAttempt(req.ID, attempt{candidate: c, cost: cost, at: now})
	if req.PrefixHash != 0 {
		v.prefixCache.store(req.PrefixHash, c)
	}
}

func (v *View) addAttempt(id string, at attempt) {
	at.candidate.InFlight++
	at.candidate.addSend(at.at, at.cost)
	v.attempts[id] = at
}

// removeAttempt removes a request from the target at which it is counted. It
// does nothing if the request is unknown.
func (v *View) removeAttempt(id string) {
	at, ok := v.attempts[id]
	if !ok {
		return
	}
	delete(v.attempts, id)
	at.candidate.InFlight--
	at.candidate.removeSend(at.at, at.cost)
}

// failed reports whether an attempt ended in a way that suggests that its
// target is down.
func failed(completion *tpmessage.Completion, c *Candidate) bool {
	if completion.Target != c.Target.Name {
		return false
	}
	return completion.Outcome == tpmessage.OutcomeNotSent || completion.Outcome == tpmessage.OutcomeInterrupted
}

// RecordCompletion records the end of an attempt. If the target of the next
// attempt is known, the request is counted there from now on. A completion that
// is not final is ignored if the request is already counted at another target.
func (v *View) RecordCompletion(now time.Time, completion *tpmessage.Completion) {
	at, ok := v.attempts[completion.RequestID]
	if !ok {
		return
	}
	if !completion.Final && at.candidate.Target.Name != completion.Target {
		return
	}
	v.removeAttempt(completion.RequestID)
	if failed(completion, at.candidate) {
		at.candidate.failed = now
	}
	next, ok := v.byName[completion.NextTarget]
	if completion.Final || !ok {
		return
	}
	v.addAttempt(completion.RequestID, attempt{candidate: next, cost: at.cost, at: now})
}
