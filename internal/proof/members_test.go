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

// membersOf returns the members that a node reports, by name, or nil if the
// node does not answer.
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

// waitMembers waits until each node reports exactly the named members.
func waitMembers(t *testing.T, nodes []*tpprocess.Process, names ...string) {
	t.Helper()
	for _, n := range nodes {
		tpprocess.Eventually(t, n.Name+" reports the expected members", func() bool {
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

// Guards against nodes that know only the members in the platform's list of
// VMs, that drop a live member when the list does not contain it, or that
// ignore the list's leaving mark. The nodes have no seeds. The list first names
// node-0 alone, and later node-2 alone, which is leaving.
func TestMembersThroughList(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 1})
	first := f.StartNode(t, "node-0")
	listed := []tpplatform.VM{
		{Name: "node-0", Address: first.Addresses[1]},
		{Name: "engine-0", Address: f.Engines[0].Addresses[0], RunsTarget: true},
	}
	f.Platform.PutJSON(t, "/vms", listed)
	nodes := []*tpprocess.Process{first, f.StartNode(t, "node-1"), f.StartNode(t, "node-2")}
	waitMembers(t, nodes, "node-0", "node-1", "node-2")
	f.Platform.PutJSON(t, "/vms", []tpplatform.VM{{Name: "node-2", Address: nodes[2].Addresses[1], Leaving: true}})
	for _, n := range nodes {
		tpprocess.Eventually(t, n.Name+" reports node-2 as leaving and node-0 as live", func() bool {
			members := membersOf(t, n)
			return members["node-2"].Leaving && members["node-0"].Name != "" && !members["node-0"].Leaving
		})
	}
}

// Guards against a killed or paused process that stays a member, a resumed one
// that does not become a member again, a restarted one that counts as the
// process before the restart, and a planned stop that peers detect only by a
// timeout.
func TestMembersThroughFaults(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 1, Nodes: 4})
	all := []string{"node-0", "node-1", "node-2", "node-3"}
	waitMembers(t, f.Nodes, all...)
	old := membersOf(t, f.Nodes[0])["node-2"].Incarnation

	f.Nodes[1].Pause(t)
	f.Nodes[2].Kill()
	waitMembers(t, []*tpprocess.Process{f.Nodes[0], f.Nodes[3]}, "node-0", "node-3")
	f.Nodes[1].Resume(t)
	f.Nodes[2] = f.StartNode(t, "node-2")
	waitMembers(t, f.Nodes, all...)
	if got := membersOf(t, f.Nodes[0])["node-2"].Incarnation; got == old {
		t.Errorf("incarnation of the restarted node-2: got %s, the one before the restart, want a new one", got)
	}

	f.Nodes[3].Signal(t, syscall.SIGTERM)
	tpprocess.Eventually(t, "node-0 reports node-3 as leaving", func() bool {
		// Its announcement arrives before node-0 can have dropped it.
		return membersOf(t, f.Nodes[0])["node-3"].Leaving
	})
	<-f.Nodes[3].Done()
	waitMembers(t, f.Nodes[:3], slices.Delete(all, 3, 4)...)
}
