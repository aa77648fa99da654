package tpadmission

import (
	"container/heap"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// resource is a kind of engine work that is accounted separately.
type resource int

const (
	prefill resource = iota
	decode
	numResources
)

// costVector holds the cost of each resource, in prefilled pieces.
type costVector [numResources]float64

// newCostVector returns the cost of the given prefilled and decoded pieces.
func newCostVector(prefillPieces, decodePieces float64) costVector {
	return costVector{prefillPieces, DecodeWeight * decodePieces}
}

func (v costVector) sum() float64 { return v[prefill] + v[decode] }

// queuedWork is a request in an organisation's queue.
type queuedWork struct {
	work        tpmessage.Work
	cost        costVector // estimated
	virtualTime float64    // virtual time of the arrival
	sequence    uint64     // order of arrival
}

// account is the usage and the backlog of one organisation on this node. Start
// and finish tags are in virtual time, which is cost divided by share.
type account struct {
	name          string
	share         float64
	declared      bool // the configuration declares the share
	queue         fifo[queuedWork]
	queuedCost    float64    // cost of all requests in queue
	finishTags    costVector // finish tags of the last served request, by resource
	remoteDebt    costVector // part of finishTags charged for usage on other nodes
	recentCost    decayingSum
	usage         costVector // cost charged on this node, corrected by actual costs
	reportedUsage costVector // highest usage that may have been reported to peers
	heapIndex     int        // in the heap of waiting accounts, -1 without a backlog
	startTag      float64    // start tag of the first waiting request
}

// updateStartTag sets the start tag to that of the first waiting request. The
// tag keeps its value if the queue is empty.
func (a *account) updateStartTag() {
	if a.queue.len() > 0 {
		a.startTag = a.startTagFor(a.queue.first().virtualTime)
	}
}

// startTagFor returns the start tag of a request that arrived at the given
// virtual time. The request starts when both resources are free for the
// organisation.
func (a *account) startTagFor(virtual float64) float64 {
	return max(virtual, a.finishTags[prefill], a.finishTags[decode])
}

// charge adds cost, which may be negative, to the finish tags.
func (a *account) charge(cost costVector) {
	for r := range numResources {
		a.finishTags[r] += cost[r] / a.share
	}
}

// waitingHeap orders the accounts with a backlog by start tag, and equal tags
// by the arrival of their first request.
type waitingHeap []*account

var _ heap.Interface = (*waitingHeap)(nil)

func (h waitingHeap) Len() int { return len(h) }

func (h waitingHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].queue.first().sequence < h[j].queue.first().sequence
}

func (h waitingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface. It panics if x is not an *account.
func (h *waitingHeap) Push(x any) {
	a := x.(*account)
	a.heapIndex = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface. It panics if the heap is empty.
func (h *waitingHeap) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	a.heapIndex = -1
	return a
}
