package tpadmission

import (
	"container/heap"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// resource indexes the kinds of work that are counted separately.
type resource int

const (
	prefill resource = iota
	decode
	resources
)

// amounts holds one figure for each resource.
type amounts [resources]float64

// costs returns the cost of pieces of each resource in prefilled pieces.
func costs(prefillPieces, decodePieces float64) amounts {
	return amounts{prefillPieces, DecodeWeight * decodePieces}
}

func (a amounts) sum() float64 { return a[prefill] + a[decode] }

// item is waiting work.
type item struct {
	work     tpmessage.Work
	cost     amounts // estimated
	virtual  float64 // virtual time of the arrival
	sequence uint64  // order of arrival
}

// account holds what a node knows of one organisation. Tags are in virtual
// time, which is cost divided by share.
type account struct {
	name     string
	share    float64
	declared bool
	queue    fifo[item]
	queued   float64 // cost of the queue
	finish   amounts // finish tag of the last served work
	debt     amounts // the part of finish that stands for usage on other nodes
	recent   decaying
	used     amounts // cost charged on this node, corrected by actual costs
	reported amounts // highest used that peers may have been told
	index    int     // in the heap of waiting accounts, -1 if none waits
	start    float64 // start tag of the first waiting work
}

// retag computes the start tag of the first waiting work.
func (a *account) retag() {
	if a.queue.len() > 0 {
		a.start = a.startOf(a.queue.first().virtual)
	}
}

// startOf returns the start tag of work that arrived at a virtual time. Work
// starts when the last of its resources is free for the organisation.
func (a *account) startOf(virtual float64) float64 {
	return max(virtual, a.finish[prefill], a.finish[decode])
}

// charge moves the finish tags by a cost that may be negative.
func (a *account) charge(cost amounts) {
	for r := range resources {
		a.finish[r] += cost[r] / a.share
	}
}

// waitingHeap orders the accounts that have waiting work by start tag. Equal
// tags are served in the order of arrival.
type waitingHeap []*account

var _ heap.Interface = (*waitingHeap)(nil)

func (h waitingHeap) Len() int { return len(h) }

func (h waitingHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].queue.first().sequence < h[j].queue.first().sequence
}

func (h waitingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *waitingHeap) Push(x any) {
	a := x.(*account)
	a.index = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *waitingHeap) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	a.index = -1
	return a
}
