package proof_test

import (
	"slices"
	"syscall"
	"testing"

	"teaselpin.example/teaselpin/internal/edge/tpplatform"
	"teaselpin.example/teaselpin/internal/proof/tphistory"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// membersOf returns the members that a node reports, by name.
func membersOf(t *testing.T, n *tpprocess.Process) map[string]tpmessage.Member {
	t.Helper()
	s, err := tphistory.Status(t.Context(), n.Addresses[1])
	if err != nil {
		return nil
	}
	members := make(map[string]tpmessage.Member, len(s.Members))
	for _, m := range s.Members {
		members[m.Name] = m
	}
	return members
}

// eventuallyMembers waits until each node reports exactly the named members.
func eventuallyMembers(t *testing.T, nodes []*tpprocess.Process, names ...string) {
	t.Helper()
	for _, n := range nodes {
		tpprocess.Eventually(t, n.Name+" sees the members", func() bool {
			members := membersOf(t, n)
			for _, name := range names {
				if _, ok := members[name]; !ok {
					return false
				}
			}
			return len(members) == len(names)
		})
	}
}

// Guards against a platform's list that is the only way to a node, that drops
// a live one which it lacks, or whose leaving mark is lost.
func TestMembersThroughList(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 1})
	first := f.StartNode(t, "node-0")
	listed := []tpplatform.VM{
		{Name: "node-0", Address: first.Addresses[1]},
		{Name: "engine-0", Address: f.Engines[0].Addresses[0], Target: true},
	}
	f.Platform.Put(t, "/vms", listed)
	nodes := []*tpprocess.Process{first, f.StartNode(t, "node-1"), f.StartNode(t, "node-2")}
	eventuallyMembers(t, nodes, "node-0", "node-1", "node-2")
	f.Platform.Put(t, "/vms", []tpplatform.VM{{Name: "node-2", Address: nodes[2].Addresses[1], Leaving: true}})
	for _, n := range nodes {
		tpprocess.Eventually(t, n.Name+" sees node-2 leaving and node-0 live", func() bool {
			members := membersOf(t, n)
			return members["node-2"].Leaving && members["node-0"].Name != "" && !members["node-0"].Leaving
		})
	}
}

// Guards against a dead or frozen process that stays a member, a woken one
// that does not return, a restarted one that passes for the dead one, and a
// planned stop that peers learn of only from silence.
func TestMembersThroughFaults(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 1, Nodes: 4})
	all := []string{"node-0", "node-1", "node-2", "node-3"}
	eventuallyMembers(t, f.Nodes, all...)
	old := membersOf(t, f.Nodes[0])["node-2"].Incarnation

	f.Nodes[1].Pause(t)
	f.Nodes[2].Kill()
	eventuallyMembers(t, []*tpprocess.Process{f.Nodes[0], f.Nodes[3]}, "node-0", "node-3")
	f.Nodes[1].Resume(t)
	f.Nodes[2] = f.StartNode(t, "node-2")
	eventuallyMembers(t, f.Nodes, all...)
	if got := membersOf(t, f.Nodes[0])["node-2"].Incarnation; got == old {
		t.Errorf("incarnation of the restarted node-2: got %s as before, want another", got)
	}

	f.Nodes[3].Signal(t, syscall.SIGTERM)
	tpprocess.Eventually(t, "node-3 counts as leaving", func() bool {
		// It cannot be dropped yet when its announcement arrives.
		return membersOf(t, f.Nodes[0])["node-3"].Leaving
	})
	<-f.Nodes[3].Done()
	eventuallyMembers(t, f.Nodes[:3], slices.Delete(all, 3, 4)...)
}
