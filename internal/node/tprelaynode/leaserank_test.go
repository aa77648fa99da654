package tprelaynode

import (
	"fmt"
	"testing"

	"teaselpin.example/teaselpin/internal/order/stage2/tplease"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Guards against a lease without a holder, because all its candidates are nodes that the store turns away.
func TestLeaseCandidatesAreServedByTheStore(t *testing.T) {
	const nodes = 69
	list := make([]tpmessage.Member, nodes)
	for i := range list {
		list[i].Name = fmt.Sprint("node-", i)
	}
	rank := func(i int, holder string) int {
		n := &Node{cfg: Settings{Name: list[i].Name}, objects: &objectFilter{}}
		n.objects.serving.Store(list[i].Watching)
		n.members = &members{node: n}
		n.members.liveMembers.Store(&list)
		return n.members.leaseRank("lease", holder)
	}
	byRank := make(map[int]int)
	for i := range list {
		byRank[rank(i, "")] = i
	}
	if got, want := len(byRank), nodes; got != want {
		t.Fatalf("different ranks: got %d, want %d", got, want)
	}
	// The store serves four nodes that are not among the candidates.
	served := []int{byRank[tplease.MaxCandidates], byRank[20], byRank[40], byRank[nodes-1]}
	for _, i := range served {
		list[i].Watching = true
	}
	seen := make(map[int]bool)
	for _, i := range served {
		seen[rank(i, "")] = true
	}
	for want := range served {
		if !seen[want] {
			t.Errorf("no node that the store serves has rank %d", want)
		}
	}
	if got, want := rank(byRank[0], ""), len(served); got != want {
		t.Errorf("rank of the first of the other nodes: got %d, want %d", got, want)
	}
	if got, want := rank(byRank[0], list[served[0]].Name), len(served)-1; got != want {
		t.Errorf("rank of that node if one of those holds the lease: got %d, want %d", got, want)
	}
}
