package tpadmission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// MinShare is the share of an organisation that has none declared, half of an
// equal share among the 5,400 organisations of the target scale.
const MinShare = 1e-4

// Fair is start-time fair queueing over the declared shares (Goyal, Vin and
// Cheng, 1996), with a finish tag for each resource. It serves the
// organisation with the lowest start tag, so it is work-conserving, and an
// organisation that was idle has no credit for the time in which it was idle.
type Fair struct {
	accounts map[string]*account
	ordered  []*account // by name
	waiting  waitingHeap
	virtual  float64 // start tag of the work served last
	sequence uint64
	count    int
	cost     float64 // cost of all waiting work
	shares   float64 // sum of the shares that have waiting work
	charges  map[string]charge
	peers    map[peerKey]amounts
	charged  time.Time // instant of the last remote charge
	recent   decaying  // cost of all organisations
}

// charge is the estimate under which a request was admitted.
type charge struct {
	account *account
	cost    amounts // estimated
	done    amounts // reported by the attempts so far
	unknown bool    // an attempt ended without telling its cost
	count   int     // admitted requests with this identity
}

var _ Queue = (*Fair)(nil)

// NewFair returns an empty queue without declared shares.
func NewFair() *Fair {
	return &Fair{
		accounts: make(map[string]*account),
		charges:  make(map[string]charge),
		peers:    make(map[peerKey]amounts),
	}
}

// account returns the account of an organisation and opens it if needed.
func (q *Fair) account(name string) *account {
	if a, ok := q.accounts[name]; ok {
		return a
	}
	a := &account{name: name, share: MinShare, index: -1}
	q.accounts[name] = a
	i, _ := slices.BinarySearchFunc(q.ordered, name, func(a *account, name string) int {
		return cmp.Compare(a.name, name)
	})
	q.ordered = slices.Insert(q.ordered, i, a)
	return a
}

// Push implements Queue.
func (q *Fair) Push(_ time.Time, w tpmessage.Work) {
	a := q.account(w.Request.Organisation)
	it := item{work: w, cost: costs(estimate(&w.Request)), virtual: q.virtual, sequence: q.sequence}
	q.sequence++
	a.queue.push(it)
	q.count++
	q.cost += it.cost.sum()
	a.queued += it.cost.sum()
	if a.queue.len() > 1 {
		return
	}
	a.retag()
	q.shares += a.share
	heap.Push(&q.waiting, a)
}

// Pop implements Queue.
func (q *Fair) Pop(now time.Time) (tpmessage.Work, bool) {
	if len(q.waiting) == 0 {
		return tpmessage.Work{}, false
	}
	a := q.waiting[0]
	q.virtual = max(q.virtual, a.start)
	it := a.queue.pop()
	for r := range resources {
		a.finish[r] = max(a.finish[r], it.virtual)
	}
	a.charge(it.cost)
	for r := range resources {
		a.used[r] += it.cost[r]
	}
	q.removed(a, it.cost)
	q.open(a, &it)
	it.work.Request.Priority = q.priority(now, a, it.work.Request.Priority)
	q.note(now, a, it.cost.sum())
	return it.work, true
}

// open records the estimate of admitted work until its completion.
func (q *Fair) open(a *account, it *item) {
	ch := q.charges[it.work.Request.ID]
	ch.account = a
	ch.count++
	for r := range resources {
		ch.cost[r] += it.cost[r]
	}
	q.charges[it.work.Request.ID] = ch
}

// removed updates the sums after work of a cost has left the queue of a.
func (q *Fair) removed(a *account, cost amounts) {
	q.count--
	q.cost -= cost.sum()
	a.queued -= cost.sum()
	if a.queue.len() > 0 {
		a.retag()
		heap.Fix(&q.waiting, a.index)
		return
	}
	a.queued = 0
	q.shares -= a.share
	heap.Remove(&q.waiting, a.index)
	if q.count == 0 {
		q.cost, q.shares = 0, 0 // drops rounding errors
	}
}

// Expire implements Queue.
func (q *Fair) Expire(now time.Time, dst []tpmessage.Work) []tpmessage.Work {
	before := len(dst)
	for _, a := range q.waiting {
		a.queue.filter(func(it *item) bool {
			if !IsExpired(now, &it.work) {
				return true
			}
			dst = append(dst, it.work)
			return false
		})
	}
	if len(dst) > before {
		q.rebuild()
	}
	return dst
}

// rebuild computes the sums and the heap anew from the queues.
func (q *Fair) rebuild() {
	q.count, q.cost, q.shares = 0, 0, 0
	q.waiting = q.waiting[:0]
	for _, a := range q.ordered {
		a.index = -1
		a.queued = 0
		if a.queue.len() == 0 {
			continue
		}
		a.queue.filter(func(it *item) bool {
			a.queued += it.cost.sum()
			return true
		})
		a.retag()
		a.index = len(q.waiting)
		q.waiting = append(q.waiting, a)
		q.count += a.queue.len()
		q.cost += a.queued
		q.shares += a.share
	}
	heap.Init(&q.waiting)
}

// Evict implements Queue. It takes the newest work of the organisation that
// has the most waiting work for its share, if that is more than what the
// given organisation has.
func (q *Fair) Evict(organisation string) (tpmessage.Work, bool) {
	own := q.account(organisation)
	var victim *account
	for _, a := range q.waiting {
		if victim == nil || overMore(a, victim) {
			victim = a
		}
	}
	if victim == nil || victim == own || victim.queued/victim.share <= own.queued/own.share {
		return tpmessage.Work{}, false
	}
	it := victim.queue.popLast()
	q.removed(victim, it.cost)
	return it.work, true
}

func overMore(a, b *account) bool {
	x, y := a.queued/a.share, b.queued/b.share
	return x > y || (x == y && a.name < b.name)
}

// Len implements Queue.
func (q *Fair) Len() int { return q.count }

// Standing implements Queue. While others wait, the organisation is served at
// its share among them; without them it is served as soon as all of the queue.
func (q *Fair) Standing(now time.Time, organisation string) Standing {
	a, ok := q.accounts[organisation]
	if !ok {
		a = &account{share: MinShare}
	}
	shares := q.shares
	if a.queue.len() == 0 {
		shares += a.share
	}
	lead := max(0, a.startOf(q.virtual)-q.virtual)
	own := a.queued/a.share + lead
	return Standing{
		Waiting:   a.queue.len(),
		Ahead:     min(q.cost, own*shares),
		OverShare: q.over(now, a) || (q.count > a.queue.len() && own*shares > q.cost),
	}
}

// Settle implements Queue.
func (q *Fair) Settle(_ time.Time, c tpmessage.Completion) {
	ch, ok := q.charges[c.RequestID]
	if !ok {
		return
	}
	actual := costs(c.PrefillPieces, c.DecodePieces)
	for r := range resources {
		ch.done[r] += actual[r]
	}
	switch c.Outcome {
	case tpmessage.OutcomeDone:
		ch.done[prefill] = max(ch.done[prefill], MinCost)
	case tpmessage.OutcomeNotSent, tpmessage.OutcomeRefused:
	default:
		ch.unknown = ch.unknown || actual.sum() == 0
	}
	if c.Final {
		ch.count--
	}
	if ch.count > 0 {
		q.charges[c.RequestID] = ch
		return
	}
	delete(q.charges, c.RequestID)
	q.correct(ch)
}

// correct replaces the estimate of a request by its actual cost. An attempt
// that did not tell its cost is taken to have cost at least the estimate.
func (q *Fair) correct(ch charge) {
	a := ch.account
	var by amounts
	for r := range resources {
		actual := ch.done[r]
		if ch.unknown {
			actual = max(actual, ch.cost[r])
		}
		by[r] = actual - ch.cost[r]
		a.used[r] += by[r]
	}
	a.charge(by)
	if a.index >= 0 {
		a.retag()
		heap.Fix(&q.waiting, a.index)
	}
}

// SetShares implements Queue. An account that is no longer declared keeps its
// usage and falls back to MinShare.
func (q *Fair) SetShares(orgs []tpmessage.Organisation) {
	for _, a := range q.ordered {
		a.share = MinShare
		a.declared = false
	}
	for _, o := range orgs {
		a := q.account(o.Name)
		a.share = max(o.Share, MinShare)
		a.declared = true
	}
	q.rebuild()
}
