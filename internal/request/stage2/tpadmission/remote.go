package tpadmission

import (
	"container/heap"
	"math"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// remoteDebtDecayTime is the time after which usage on other nodes counts 1/e
// of its cost. It covers several heartbeats, so that shares hold across all
// nodes. It is short enough that usage from before a shortage of capacity soon
// stops counting.
const remoteDebtDecayTime = 10 * time.Second

// peerKey identifies the usage count of one organisation on one peer.
type peerKey struct {
	node, organisation string
}

// ChargePeerUsage implements Queue. Peers report totals since their start.
// ChargePeerUsage charges the increase since the previous report. The first
// report of a peer is only its baseline, because it may cover days. If a count
// has decreased, the peer has restarted, and the whole count is charged. Usage
// of organisations without a declared share is ignored.
//
// Virtual time advances by the work of all charged organisations, as if this
// node had served them at their shares. Only usage above the share therefore
// delays an organisation relative to the others.
func (q *Fair) ChargePeerUsage(now time.Time, peers []tpmessage.Usage) {
	q.decayRemoteDebts(now)
	var total costVector
	increases := make(map[*account]costVector)
	for _, u := range peers {
		a, ok := q.accounts[u.Organisation]
		if !ok || !a.declared {
			continue
		}
		increase := q.increase(u)
		if increase.sum() <= 0 {
			continue
		}
		sum := increases[a]
		for r := range numResources {
			sum[r] += increase[r]
			total[r] += increase[r]
		}
		increases[a] = sum
	}
	if len(increases) == 0 {
		return
	}
	chargedShares := 0.0
	for _, a := range q.sortedAccounts {
		increase, charged := increases[a]
		if charged {
			q.chargeRemoteUsage(now, a, increase)
		}
		if charged || a.heapIndex >= 0 {
			chargedShares += a.share
		}
	}
	q.virtualTime += max(total[prefill], total[decode]) / chargedShares
	q.updateStartTags()
}

// chargeRemoteUsage charges usage on other nodes and adds it to the remote
// debt, which decays.
func (q *Fair) chargeRemoteUsage(now time.Time, a *account, increase costVector) {
	q.addRecentUsage(now, a, increase.sum())
	for r := range numResources {
		a.finishTags[r] = max(a.finishTags[r], q.virtualTime)
		a.remoteDebt[r] += increase[r] / a.share
	}
	a.charge(increase)
}

// increase returns the increase of a peer's count since its previous
// report, and records the count. It returns zero for the first report, and the
// whole count if the peer has restarted.
func (q *Fair) increase(u tpmessage.Usage) costVector {
	key := peerKey{node: u.Node, organisation: u.Organisation}
	count := newCostVector(u.PrefillPieces, u.DecodePieces)
	last, known := q.peerUsage[key]
	q.peerUsage[key] = count
	if !known {
		return costVector{}
	}
	var increase costVector
	for r := range numResources {
		increase[r] = count[r] - last[r]
		if increase[r] < 0 {
			return count
		}
	}
	return increase
}

// decayRemoteDebts reduces the remote debts exponentially. Debt below the
// current virtual time has no effect any more and is dropped.
func (q *Fair) decayRemoteDebts(now time.Time) {
	elapsed := now.Sub(q.lastRemoteCharge)
	if q.lastRemoteCharge.IsZero() {
		elapsed = 0
	}
	q.lastRemoteCharge = now
	remaining := math.Exp(-elapsed.Seconds() / remoteDebtDecayTime.Seconds())
	for _, a := range q.sortedAccounts {
		for r := range numResources {
			remoteDebt := min(a.remoteDebt[r], max(0, a.finishTags[r]-q.virtualTime))
			a.finishTags[r] -= remoteDebt * (1 - remaining)
			a.remoteDebt[r] = remoteDebt * remaining
		}
	}
}

func (q *Fair) updateStartTags() {
	for _, a := range q.waiting {
		a.updateStartTag()
	}
	heap.Init(&q.waiting)
}

// RetainPeers implements Queue.
func (q *Fair) RetainPeers(nodes []string) {
	live := make(map[string]bool, len(nodes))
	for _, n := range nodes {
		live[n] = true
	}
	for key := range q.peerUsage {
		if !live[key.node] {
			delete(q.peerUsage, key)
		}
	}
}

// Usage implements Queue. If a correction lowers the usage of an organisation,
// the reported count stays until the usage exceeds it again. Counts never
// decrease, because a peer takes a decrease for a restart.
func (q *Fair) Usage(dst []tpmessage.Usage) []tpmessage.Usage {
	for _, a := range q.sortedAccounts {
		for r := range numResources {
			a.reportedUsage[r] = max(a.reportedUsage[r], a.usage[r])
		}
		if a.reportedUsage.sum() == 0 {
			continue
		}
		dst = append(dst, tpmessage.Usage{
			Organisation:  a.name,
			PrefillPieces: a.reportedUsage[prefill],
			DecodePieces:  a.reportedUsage[decode] / DecodeWeight,
		})
	}
	return dst
}
