package tpadmission

import (
	"container/heap"
	"math"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// debtTime is the time after which remote usage counts 1/e of what it counted
// at first. It covers several heartbeats, so that shares hold over all nodes,
// and lets usage from the time before a shortage be forgotten soon.
const debtTime = 10 * time.Second

// peerKey names one count of a peer.
type peerKey struct {
	node, organisation string
}

// Charge implements Queue. Peers tell the usage since their start; the rise
// since their last message is charged. The first count heard of a peer is its
// baseline, because it may cover days. A count that has fallen is that of a
// peer which has restarted. Usage of organisations that are not declared here
// is ignored.
//
// Virtual time moves on by the work of all charged organisations, as if each
// had been served here at its share. Only usage above the share therefore puts
// an organisation behind the others.
func (q *Fair) Charge(now time.Time, peers []tpmessage.Usage) {
	q.forgive(now)
	var total amounts
	rises := make(map[*account]amounts)
	for _, u := range peers {
		a, ok := q.accounts[u.Organisation]
		if !ok || !a.declared {
			continue
		}
		rise := q.rise(u)
		if rise.sum() <= 0 {
			continue
		}
		sum := rises[a]
		for r := range resources {
			sum[r] += rise[r]
			total[r] += rise[r]
		}
		rises[a] = sum
	}
	if len(rises) == 0 {
		return
	}
	shares := 0.0
	for _, a := range q.ordered {
		rise, charged := rises[a]
		if charged {
			q.chargeRemote(now, a, rise)
		}
		if charged || a.index >= 0 {
			shares += a.share
		}
	}
	q.virtual += max(total[prefill], total[decode]) / shares
	q.retagAll()
}

// chargeRemote charges usage on other nodes and remembers it as debt.
func (q *Fair) chargeRemote(now time.Time, a *account, rise amounts) {
	q.note(now, a, rise.sum())
	for r := range resources {
		a.finish[r] = max(a.finish[r], q.virtual)
		a.debt[r] += rise[r] / a.share
	}
	a.charge(rise)
}

// rise returns by how much a peer's count has risen since it was last heard.
func (q *Fair) rise(u tpmessage.Usage) amounts {
	key := peerKey{node: u.Node, organisation: u.Organisation}
	count := costs(u.PrefillPieces, u.DecodePieces)
	last, known := q.peers[key]
	q.peers[key] = count
	if !known {
		return amounts{}
	}
	var rise amounts
	for r := range resources {
		rise[r] = count[r] - last[r]
		if rise[r] < 0 {
			return count
		}
	}
	return rise
}

// forgive lets the remote debts decay. A debt that virtual time has overtaken
// is paid.
func (q *Fair) forgive(now time.Time) {
	elapsed := now.Sub(q.charged)
	if q.charged.IsZero() {
		elapsed = 0
	}
	q.charged = now
	keep := math.Exp(-elapsed.Seconds() / debtTime.Seconds())
	for _, a := range q.ordered {
		for r := range resources {
			debt := min(a.debt[r], max(0, a.finish[r]-q.virtual))
			a.finish[r] -= debt * (1 - keep)
			a.debt[r] = debt * keep
		}
	}
}

func (q *Fair) retagAll() {
	for _, a := range q.waiting {
		a.retag()
	}
	heap.Init(&q.waiting)
}

// Retain implements Queue.
func (q *Fair) Retain(nodes []string) {
	live := make(map[string]bool, len(nodes))
	for _, n := range nodes {
		live[n] = true
	}
	for key := range q.peers {
		if !live[key.node] {
			delete(q.peers, key)
		}
	}
}

// Usage implements Queue. A correction that lowers the usage is held back
// until further usage has made up for it, so that the counts only rise.
func (q *Fair) Usage(dst []tpmessage.Usage) []tpmessage.Usage {
	for _, a := range q.ordered {
		for r := range resources {
			a.reported[r] = max(a.reported[r], a.used[r])
		}
		if a.reported.sum() == 0 {
			continue
		}
		dst = append(dst, tpmessage.Usage{
			Organisation:  a.name,
			PrefillPieces: a.reported[prefill],
			DecodePieces:  a.reported[decode] / DecodeWeight,
		})
	}
	return dst
}
