package tpusage

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/relay/tpholder"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// collectDelay is the time after the end of a window at which its counts are
	// collected. It exceeds the differences between the clocks of the nodes.
	collectDelay = time.Second
	// fixLimit is the time after the end of a window at which its counts are
	// fixed even if some members have not answered.
	fixLimit = 6 * time.Second
	// minCollectTime is the time for which a new holder awaits answers, however
	// late it is for a window.
	minCollectTime = 2 * time.Second
	// missedFactor is the number of times of Settings.Late after the end of a
	// window from which it is not reported any more.
	missedFactor = 2
	// minRetryDelay is the delay after a failed call. It doubles up to
	// maxRetryDelay, because the platform charges for each call.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// ErrNotHolder is the result of a report that was not sent, because the node may
// not call the duty API at that moment.
var ErrNotHolder = errors.New("this node may not call the duty API now")

// Settings configures a Reporter.
type Settings struct {
	// Late is the time after the end of a window at which its report is due.
	Late time.Duration
	// Source is that of this process.
	Source string
}

// ActionKind is the kind of a call.
type ActionKind uint8

// The kinds of calls.
const (
	ActionAsk   ActionKind = iota // ask Member for Request
	ActionRead                    // read the record
	ActionStore                   // store Record if the version of the object is Version
	ActionSend                    // send Report
)

// Action is a call that the caller makes, and whose result it passes to the
// Handle method of the kind.
type Action struct {
	Kind    ActionKind
	Member  tpmessage.Member
	Request tpmessage.UsageRequest
	Record  Record
	Version uint64
	Report  tpmessage.UsageReport
}

// Answer is the result of an ActionAsk.
type Answer struct {
	Member            tpmessage.Member
	Request           tpmessage.UsageRequest
	SentAt, ArrivedAt time.Time
	Answer            tpmessage.UsageAnswer
	Err               error
}

// OutcomeKind is what became of a window.
type OutcomeKind string

// The outcomes. Repeated is a report that an earlier holder, or an earlier call
// with an unknown outcome, may have sent with the same counts.
const (
	Sent     OutcomeKind = "usageSent"
	Repeated OutcomeKind = "usageRepeated"
	Missed   OutcomeKind = "usageMissed"
)

// Outcome is what became of a window, or of all windows from Window to Last.
type Outcome struct {
	Kind            OutcomeKind
	Window, Last    int64
	Asked, Answered int    // members, when this process fixed the window
	Sum             uint64 // of the counts
	Own             bool   // this process fixed the window
	Reason          string // of a missed window
}

// window is a window whose counts do not change any more.
type window struct {
	Entry
	own             bool // this process gathered the counts
	fixed           bool // the store has acknowledged the entry, or returned it
	stored          bool // the record in the present era has the entry
	repeats         bool // a report of it may have arrived
	asked, answered int
	retry           retry
}

// retry is the delay after failed calls.
type retry struct {
	at    time.Time
	delay time.Duration
}

func (r *retry) failed(now time.Time) {
	r.delay = min(max(minRetryDelay, 2*r.delay), maxRetryDelay)
	r.at = now.Add(r.delay)
}

// Reporter decides what the holder asks, fixes and sends. It is owned by one
// filter. At most one call of the record and one report are in progress.
type Reporter[P Policy] struct {
	cfg     Settings
	policy  P
	clock   Clock
	collect collection

	held    bool
	fencing uint64
	era     uint64
	// barred is the first window that had not ended when this process learnt of
	// the era. It is zero in the first era.
	barred int64

	known      bool      // the record was read since the grant and the era
	asksSince  time.Time // when the members were first asked for windows
	version    uint64    // of the record
	windows    []window  // oldest first
	next       int64     // first window that is neither fixed nor missed
	storing    bool      // a read or a write of the record is in progress
	callEra    uint64    // of the call of the record in progress
	storeRetry retry
	sending    bool
	outcomes   []Outcome
}

// NewReporter returns a reporter that is not the holder.
func NewReporter[P Policy](cfg Settings, clock Clock, policy P) *Reporter[P] {
	return &Reporter[P]{cfg: cfg, clock: clock, policy: policy}
}

// SetHolder sets whether this process holds the lease, and with which number.
// After a new grant the record is read again.
func (r *Reporter[P]) SetHolder(held bool, fencing uint64) {
	if held == r.held && fencing == r.fencing {
		return
	}
	r.held, r.fencing, r.known = held, fencing, false
	if !held {
		r.collect.clear()
		r.asksSince = time.Time{}
	}
}

// SetEra sets the era of the store. A new era may have lost what was stored, so
// the record is read again.
func (r *Reporter[P]) SetEra(now time.Time, era uint64) {
	if era <= r.era {
		return
	}
	r.era, r.barred, r.known = era, r.clock.Window(now), false
}

// SetOffset sets the offset of the clock that an earlier holder has told.
func (r *Reporter[P]) SetOffset(offset time.Duration) { r.clock.Offset = offset }

// SetMembers sets the live members, this node included.
func (r *Reporter[P]) SetMembers(members []tpmessage.Member) {
	if !r.held {
		return
	}
	r.collect.setMembers(members)
	if r.collect.timed {
		r.clock.Correct(r.collect.median)
	}
}

// TakeOutcomes returns the outcomes since the last call.
func (r *Reporter[P]) TakeOutcomes() []Outcome {
	outcomes := r.outcomes
	r.outcomes = nil
	return outcomes
}

// Step returns the calls to make now.
func (r *Reporter[P]) Step(now time.Time) (actions []Action) {
	if !r.held {
		return nil
	}
	switch {
	case r.known || r.storing || now.Before(r.storeRetry.at):
	case !r.policy.Fixes():
		r.begin(now)
	default:
		r.storing, r.callEra = true, r.era
		actions = append(actions, Action{Kind: ActionRead})
	}
	actions = r.ask(now, actions)
	if r.known {
		r.miss(now)
		r.fix(now)
		actions = r.store(now, actions)
		actions = r.send(now, actions)
	}
	return actions
}

// ask asks the members that have not answered for all windows that ended
// collectDelay ago, and each member that is leaving for the open window too.
func (r *Reporter[P]) ask(now time.Time, actions []Action) []Action {
	first, last, open := r.next, r.clock.Window(now.Add(-collectDelay))-1, r.clock.Window(now)
	if !r.known {
		first, last, open = 1, 0, 0 // asks for the time alone
	}
	for _, m := range r.collect.take(now, first, last, open) {
		actions = append(actions, Action{Kind: ActionAsk, Member: m.Member, Request: m.Request})
	}
	return actions
}

// HandleAnswer takes the result of an ActionAsk.
func (r *Reporter[P]) HandleAnswer(a Answer) { r.collect.handle(&r.clock, r.next, a, r.held) }

// HandleLeft takes the final statement of a node that has ended.
func (r *Reporter[P]) HandleLeft(s tpmessage.UsageStatement) {
	if r.held {
		r.collect.gather(&s, r.next)
	}
}

// HandleRead takes the result of an ActionRead: the record and the version of its
// object, which are zero if there is none, and the era after the call.
func (r *Reporter[P]) HandleRead(now time.Time, era uint64, stored Record, version uint64, err error) {
	if !r.endCall(now, era, err) {
		return
	}
	r.version = version
	r.merge(stored)
	r.begin(now)
}

// HandleUnreadable takes a record of that version that cannot be read. It is
// replaced. What it held is unknown, so no window that has ended is reported.
func (r *Reporter[P]) HandleUnreadable(now time.Time, era, version uint64) {
	r.barred = max(r.barred, r.clock.Window(now))
	r.HandleRead(now, era, Record{}, version, nil)
}

// HandleStored takes the result of an ActionStore and the era after the call.
// After an error the record is read before anything else is stored.
func (r *Reporter[P]) HandleStored(now time.Time, era, version uint64, err error) {
	if !r.endCall(now, era, err) {
		return
	}
	r.version = version
	for i := range r.windows {
		r.windows[i].fixed, r.windows[i].stored = true, true
	}
}

// endCall ends a call of the record and reports whether its result counts. A
// result from another era than that of the call may concern another object of
// the same version.
func (r *Reporter[P]) endCall(now time.Time, era uint64, err error) bool {
	r.storing = false
	r.SetEra(now, era)
	if era != r.callEra || r.callEra != r.era || err != nil {
		r.known = false
		r.storeRetry.failed(now)
		return false
	}
	r.storeRetry = retry{}
	return true
}

// begin continues with the first window after those that are known.
func (r *Reporter[P]) begin(now time.Time) {
	r.known = true
	if n := len(r.windows); n > 0 {
		r.next = max(r.next, r.windows[n-1].Window+1)
	}
	if r.asksSince.IsZero() {
		r.asksSince = now
	}
	if r.next == 0 {
		// There has been no report yet.
		r.next = max(r.clock.Window(r.clock.Start), r.oldest(now))
	}
}

// merge takes over the windows of the record. Of the windows that this process
// knows and the record does not have, those stay that the store has lost, and
// those whose write had no effect.
func (r *Reporter[P]) merge(stored Record) {
	merged := make([]window, 0, len(stored.Windows)+len(r.windows))
	latest := int64(0)
	for _, e := range stored.Windows {
		w := window{Entry: e, fixed: true, stored: true, repeats: true}
		if i := r.find(e.Window); i >= 0 {
			before := &r.windows[i]
			switch {
			case before.Settled:
				w.Settled, w.own = true, before.own
			case before.own && before.fixed:
				w = *before
				w.Settled, w.stored = e.Settled, e.Era == r.era
			case before.own && e.Era == r.era && !e.Settled && maps.Equal(before.Counts, e.Counts):
				w.own, w.repeats, w.asked, w.answered = true, before.repeats, before.asked, before.answered
			}
		}
		merged = append(merged, w)
		latest = max(latest, e.Window)
	}
	for _, w := range r.windows {
		if slices.ContainsFunc(merged, func(m window) bool { return m.Window == w.Window }) {
			continue
		}
		lost, pending := w.fixed && w.Era != r.era, !w.fixed && w.Window > latest
		if w.own && (lost || pending) {
			w.stored = false
			merged = append(merged, w)
		} else if lost && !w.Settled {
			r.settle(&w, Missed, "lost by the store")
		}
	}
	for i := range merged {
		if w := &merged[i]; w.own && w.fixed {
			w.Era = r.era // stored again in this era
		}
	}
	slices.SortFunc(merged, func(a, b window) int { return cmp.Compare(a.Window, b.Window) })
	r.windows = merged
}

func (r *Reporter[P]) find(number int64) int {
	return slices.IndexFunc(r.windows, func(w window) bool { return w.Window == number })
}

// oldest returns the first window that may still be reported.
func (r *Reporter[P]) oldest(now time.Time) int64 {
	return r.clock.Window(now.Add(-missedFactor * r.cfg.Late))
}

// miss gives up the windows that must not be reported any more.
func (r *Reporter[P]) miss(now time.Time) {
	oldest := r.oldest(now)
	for i := range r.windows {
		w := &r.windows[i]
		switch {
		case w.Settled:
		case w.Window < oldest:
			r.settle(w, Missed, "overdue")
		case w.Era != r.era:
			r.settle(w, Missed, "fixed by another node or by none before the store was restored")
		}
	}
	reason := "overdue"
	if r.barred > oldest {
		oldest, reason = r.barred, "ended before the store was restored"
	}
	if r.next < oldest {
		r.outcomes = append(r.outcomes, Outcome{Kind: Missed, Window: r.next, Last: oldest - 1, Reason: reason})
		r.next = oldest
	}
}

func (r *Reporter[P]) settle(w *window, kind OutcomeKind, reason string) {
	w.Settled = true
	r.outcomes = append(r.outcomes, Outcome{
		Kind: kind, Window: w.Window, Last: w.Window, Asked: w.asked, Answered: w.answered, Sum: total(w.Counts), Own: w.own, Reason: reason,
	})
}

// fix fixes the windows that are complete, or for which no more answers are
// awaited. Their counts are stored before they are sent.
func (r *Reporter[P]) fix(now time.Time) {
	if r.storing {
		return // the write in progress would seem to hold them
	}
	for {
		since := r.clock.SinceEnd(now, r.next)
		asked, answered := r.collect.progress(r.next)
		waits := since < fixLimit || now.Sub(r.asksSince) < minCollectTime
		if since < collectDelay || answered < asked && waits {
			break
		}
		w := window{
			Entry: Entry{Window: r.next, Era: r.era, Counts: r.collect.sum(r.next)},
			own:   true, asked: asked, answered: answered,
		}
		w.fixed = !r.policy.Fixes()
		w.stored = w.fixed
		r.windows = append(r.windows, w)
		r.next++
	}
	for len(r.windows) > recordedWindows {
		if w := &r.windows[0]; !w.Settled {
			r.settle(w, Missed, "too many windows follow")
		}
		r.windows = r.windows[1:]
	}
	r.collect.drop(r.next)
}

// store stores the record if a window of it is not stored.
func (r *Reporter[P]) store(now time.Time, actions []Action) []Action {
	missing := slices.ContainsFunc(r.windows, func(w window) bool { return !w.stored && !w.Settled })
	if r.storing || !missing || now.Before(r.storeRetry.at) {
		return actions
	}
	r.storing, r.callEra = true, r.era
	a := Action{Kind: ActionStore, Version: r.version}
	for _, w := range r.windows {
		if w.Settled {
			w.Counts = nil // nobody sends them again
		}
		a.Record.Windows = append(a.Record.Windows, w.Entry)
	}
	return append(actions, a)
}

// send sends the report of a fixed window. A window that waits after a failed
// call does not delay the following ones.
func (r *Reporter[P]) send(now time.Time, actions []Action) []Action {
	if r.sending {
		return actions
	}
	for i := range r.windows {
		w := &r.windows[i]
		if w.fixed && !w.Settled && !now.Before(w.retry.at) {
			r.sending = true
			return append(actions, Action{Kind: ActionSend, Report: w.report()})
		}
	}
	return actions
}

// HandleSent takes the result of an ActionSend: nil, ErrNotHolder or an error of
// the duty API.
func (r *Reporter[P]) HandleSent(now time.Time, number int64, err error) {
	r.sending = false
	i := r.find(number)
	if i < 0 || r.windows[i].Settled {
		return
	}
	w := &r.windows[i]
	switch {
	case err == nil && w.repeats:
		r.settle(w, Repeated, "")
	case err == nil:
		r.settle(w, Sent, "")
	case errors.Is(err, ErrNotHolder):
		w.retry.at = now.Add(minRetryDelay)
	case errors.Is(err, tpholder.ErrRefused):
		r.settle(w, Missed, "refused by the duty API")
	case errors.Is(err, tpholder.ErrLimited):
		w.retry.failed(now)
	default:
		w.repeats = true // the report may have arrived, or may still
		w.retry.failed(now)
	}
}
