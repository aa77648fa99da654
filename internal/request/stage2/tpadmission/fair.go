package tpadmission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// MinShare is the share of an organisation without a declared one. It is about
// half of an equal share among the 5,400 organisations of the target scale.
const MinShare = 1e-4

// Fair implements start-time fair queueing over the declared shares (Goyal,
// Vin and Cheng, 1996), with a finish tag for each resource. It serves the
// organisation with the lowest start tag. The queue is work-conserving, and an
// organisation earns no credit while it is idle.
type Fair struct {
	accounts         map[string]*account
	sortedAccounts   []*account // by name
	waiting          waitingHeap
	virtualTime      float64 // at least the start tag of every request served
	sequence         uint64  // of the next request
	queuedCount      int
	cost             float64           // cost of all waiting requests
	waitingShares    float64           // sum of the shares of organisations with a backlog
	pendingCharges   map[string]charge // by request ID
	peerUsage        map[peerKey]costVector
	lastRemoteCharge time.Time   // time of the last call of ChargePeerUsage
	recentCost       decayingSum // recent cost of all organisations
}

// charge is the cost charged for an admitted request until its final
// completion.
type charge struct {
	account        *account
	cost           costVector // estimated
	reported       costVector // cost reported by the attempts so far
	hasUnknownCost bool       // an attempt ended without reporting its cost
	requests       int        // admitted requests with the same ID
}

var _ Queue = (*Fair)(nil)

// NewFair returns an empty queue. Every organisation has MinShare until
// SetShares is called.
func NewFair() *Fair {
	return &Fair{
		accounts:       make(map[string]*account),
		pendingCharges: make(map[string]charge),
		peerUsage:      make(map[peerKey]costVector),
	}
}

// account returns the account of an organisation and creates it if there
// is none.
func (q *Fair) account(name string) *account {
	if a, ok := q.accounts[name]; ok {
		return a
	}
	a := &account{name: name, share: MinShare, heapIndex: -1}
	q.accounts[name] = a
	i, _ := slices.BinarySearchFunc(q.sortedAccounts, name, func(a *account, name string) int {
		return cmp.Compare(a.name, name)
	})
	q.sortedAccounts = slices.Insert(q.sortedAccounts, i, a)
	return a
}

// Push implements Queue.
func (q *Fair) Push(_ time.Time, w tpmessage.Work) {
	a := q.account(w.Request.Organisation)
	item := queuedWork{work: w, cost: newCostVector(estimate(&w.Request)), virtualTime: q.virtualTime, sequence: q.sequence}
	q.sequence++
	a.queue.push(item)
	q.queuedCount++
	q.cost += item.cost.sum()
	a.queuedCost += item.cost.sum()
	if a.queue.len() > 1 {
		return
	}
	a.updateStartTag()
	q.waitingShares += a.share
	heap.Push(&q.waiting, a)
}

// Pop implements Queue.
func (q *Fair) Pop(now time.Time) (tpmessage.Work, bool) {
	if len(q.waiting) == 0 {
		return tpmessage.Work{}, false
	}
	a := q.waiting[0]
	q.virtualTime = max(q.virtualTime, a.startTag)
	item := a.queue.pop()
	for r := range numResources {
		a.finishTags[r] = max(a.finishTags[r], item.virtualTime)
	}
	a.charge(item.cost)
	for r := range numResources {
		a.usage[r] += item.cost[r]
	}
	q.updateAfterRemoval(a, item.cost)
	q.recordCharge(a, &item)
	item.work.Request.Priority = q.targetPriority(now, a, item.work.Request.Priority)
	q.addRecentUsage(now, a, item.cost.sum())
	return item.work, true
}

// recordCharge records the estimated cost of an admitted request until its
// completion.
func (q *Fair) recordCharge(a *account, item *queuedWork) {
	ch := q.pendingCharges[item.work.Request.ID]
	ch.account = a
	ch.requests++
	for r := range numResources {
		ch.cost[r] += item.cost[r]
	}
	q.pendingCharges[item.work.Request.ID] = ch
}

// updateAfterRemoval updates the totals and the heap after a request of the
// given cost has left the queue of a.
func (q *Fair) updateAfterRemoval(a *account, cost costVector) {
	q.queuedCount--
	q.cost -= cost.sum()
	a.queuedCost -= cost.sum()
	if a.queue.len() > 0 {
		a.updateStartTag()
		heap.Fix(&q.waiting, a.heapIndex)
		return
	}
	a.queuedCost = 0
	q.waitingShares -= a.share
	heap.Remove(&q.waiting, a.heapIndex)
	if q.queuedCount == 0 {
		q.cost, q.waitingShares = 0, 0 // drops rounding errors
	}
}

// Expire implements Queue.
func (q *Fair) Expire(now time.Time, dst []tpmessage.Work) []tpmessage.Work {
	before := len(dst)
	for _, a := range q.waiting {
		a.queue.filter(func(item *queuedWork) bool {
			if !IsExpired(now, &item.work) {
				return true
			}
			dst = append(dst, item.work)
			return false
		})
	}
	if len(dst) > before {
		q.recompute()
	}
	return dst
}

// recompute recalculates the totals and the heap from the queues.
func (q *Fair) recompute() {
	q.queuedCount, q.cost, q.waitingShares = 0, 0, 0
	q.waiting = q.waiting[:0]
	for _, a := range q.sortedAccounts {
		a.heapIndex = -1
		a.queuedCost = 0
		if a.queue.len() == 0 {
			continue
		}
		a.queue.filter(func(item *queuedWork) bool {
			a.queuedCost += item.cost.sum()
			return true
		})
		a.updateStartTag()
		a.heapIndex = len(q.waiting)
		q.waiting = append(q.waiting, a)
		q.queuedCount += a.queue.len()
		q.cost += a.queuedCost
		q.waitingShares += a.share
	}
	heap.Init(&q.waiting)
}

// Evict implements Queue. It removes the newest request of the organisation
// with the largest backlog relative to its share, if that is larger than the
// given organisation's.
func (q *Fair) Evict(organisation string) (tpmessage.Work, bool) {
	requester := q.account(organisation)
	var victim *account
	for _, a := range q.waiting {
		if victim == nil || hasLargerBacklog(a, victim) {
			victim = a
		}
	}
	if victim == nil || victim == requester || victim.queuedCost/victim.share <= requester.queuedCost/requester.share {
		return tpmessage.Work{}, false
	}
	item := victim.queue.popLast()
	q.updateAfterRemoval(victim, item.cost)
	return item.work, true
}

func hasLargerBacklog(a, b *account) bool {
	backlogA, backlogB := a.queuedCost/a.share, b.queuedCost/b.share
	return backlogA > backlogB || (backlogA == backlogB && a.name < b.name)
}

// Len implements Queue.
func (q *Fair) Len() int { return q.queuedCount }

// Position implements Queue. While other organisations wait, the organisation
// is served at its share among them. Otherwise its next request is served
// after the whole queue at the latest.
func (q *Fair) Position(now time.Time, organisation string) Position {
	a, ok := q.accounts[organisation]
	if !ok {
		a = &account{share: MinShare}
	}
	waitingShares := q.waitingShares
	if a.queue.len() == 0 {
		waitingShares += a.share
	}
	startTagLead := max(0, a.startTagFor(q.virtualTime)-q.virtualTime)
	virtualWait := a.queuedCost/a.share + startTagLead
	return Position{
		Waiting:   a.queue.len(),
		CostAhead: min(q.cost, virtualWait*waitingShares),
		OverShare: q.isOverShare(now, a) || (q.queuedCount > a.queue.len() && virtualWait*waitingShares > q.cost),
	}
}

// Settle implements Queue. Costs of several attempts add up; the charge is
// corrected after the final completion. A completed request costs at least
// MinCost. An attempt that was not sent or was refused costs nothing.
func (q *Fair) Settle(_ time.Time, c tpmessage.Completion) {
	ch, ok := q.pendingCharges[c.RequestID]
	if !ok {
		return
	}
	actual := newCostVector(c.PrefillPieces, c.DecodePieces)
	for r := range numResources {
		ch.reported[r] += actual[r]
	}
	switch c.Outcome {
	case tpmessage.OutcomeDone:
		ch.reported[prefill] = max(ch.reported[prefill], MinCost)
	case tpmessage.OutcomeNotSent, tpmessage.OutcomeRefused:
	default:
		ch.hasUnknownCost = ch.hasUnknownCost || actual.sum() == 0
	}
	if c.Final {
		ch.requests--
	}
	if ch.requests > 0 {
		q.pendingCharges[c.RequestID] = ch
		return
	}
	delete(q.pendingCharges, c.RequestID)
	q.applyActualCost(ch)
}

// applyActualCost replaces the estimated cost of a request by its actual cost.
// If an attempt did not report its cost, the actual cost is taken as at least
// the estimate.
func (q *Fair) applyActualCost(ch charge) {
	a := ch.account
	var correction costVector
	for r := range numResources {
		actual := ch.reported[r]
		if ch.hasUnknownCost {
			actual = max(actual, ch.cost[r])
		}
		correction[r] = actual - ch.cost[r]
		a.usage[r] += correction[r]
	}
	a.charge(correction)
	if a.heapIndex >= 0 {
		a.updateStartTag()
		heap.Fix(&q.waiting, a.heapIndex)
	}
}

// SetShares implements Queue. An organisation that is no longer declared keeps
// its usage and gets MinShare.
func (q *Fair) SetShares(orgs []tpmessage.Organisation) {
	for _, a := range q.sortedAccounts {
		a.share = MinShare
		a.declared = false
	}
	for _, o := range orgs {
		a := q.account(o.Name)
		a.share = max(o.Share, MinShare)
		a.declared = true
	}
	q.recompute()
}
