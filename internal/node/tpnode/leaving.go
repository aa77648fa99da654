package tpnode

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tpplatform"
	"teaselpin.example/teaselpin/internal/membership/tpmember"
	"teaselpin.example/teaselpin/internal/request/stage3/tprouter"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const (
	// DefaultVMPoll is the time between two reads of the platform's list by
	// one node. With 1,333 targets in a region the list has about 100 KB, so
	// that only vmPollers nodes of the region read it.
	DefaultVMPoll = 5 * time.Second
	vmPollers     = 2
	vmPollKey     = "vms"
)

// leavingInput is one message to the leaving filter. Of its fields one is set.
type leavingInput struct {
	report *tpmessage.LoadReport
	vms    *[]string
	told   []tpmessage.LeavingTarget
	config *tpmessage.Config
	ask    *tpring.Ring[[]tpmessage.LeavingTarget]
}

// leavingTargets is the filter that decides which targets take no new work.
type leavingTargets struct {
	in       *tpring.Ring[leavingInput]
	decision tpmember.Leaving
	names    []string
	current  atomic.Pointer[map[string]bool]
}

func (n *Node) startLeaving() error {
	n.targets = &leavingTargets{in: tpring.New[leavingInput](tpring.Settings{Capacity: 256})}
	n.targets.current.Store(&map[string]bool{})
	n.rings.Add("leaving", n.targets.in)
	if err := startFilter(n, "leaving", n.targets.in, n.handleLeaving); err != nil {
		return err
	}
	if n.cfg.Platform == "" {
		return nil
	}
	client, closeClient := tpplatform.NewClient(n.cfg.Platform)
	n.onStop(closeClient)
	ctx, cancel := context.WithCancel(context.Background())
	wait, err := n.duties.Go("vm list", func() { n.followVMs(ctx, client) })
	if err != nil {
		cancel()
		return err
	}
	n.onStop(func() {
		cancel()
		wait()
	})
	return nil
}

func (n *Node) handleLeaving(in leavingInput) {
	l := n.targets
	now := n.clock.Now()
	switch {
	case in.report != nil:
		l.decision.Report(*in.report)
	case in.vms != nil:
		l.decision.VMs(*in.vms)
	case in.config != nil:
		l.decision.Drain(in.config.Drains)
		l.decision.Keep(targetNames(in.config))
	case in.ask != nil:
		_ = in.ask.Put(l.decision.Tell(now))
	default:
		l.decision.Merge(now, in.told)
	}
	names := l.decision.Names(now)
	if slices.Equal(names, l.names) {
		return
	}
	l.names = names
	current := make(map[string]bool, len(names))
	for _, name := range names {
		current[name] = true
		n.events.Record(tpmessage.Event{Kind: "targetLeaving", Target: name})
	}
	l.current.Store(&current)
	_ = n.request.routerIn.Put(tprouter.Input{Kind: tprouter.InputLeaving, Leaving: names})
}

// takesNewWork reports whether a target is not known to be leaving.
func (n *Node) takesNewWork(target string) bool { return !(*n.targets.current.Load())[target] }

// noteLeaving passes a report on if it can change whether its target counts as
// leaving.
func (n *Node) noteLeaving(rep tpmessage.LoadReport) {
	if rep.Leaving || !n.takesNewWork(rep.Target) {
		_ = n.targets.in.Put(leavingInput{report: &rep})
	}
}

// LeavingTargets returns the leaving targets that a heartbeat carries.
func (n *Node) LeavingTargets() []tpmessage.LeavingTarget {
	reply := tpring.New[[]tpmessage.LeavingTarget](tpring.Settings{Capacity: 1})
	if err := n.targets.in.Put(leavingInput{ask: reply}); err != nil {
		return nil
	}
	told, err := reply.Take()
	if err != nil {
		return nil
	}
	return told
}

// MergeLeavingTargets takes the leaving targets of a peer's heartbeat. An
// empty list is passed on as well, since it lets what has expired end.
func (n *Node) MergeLeavingTargets(told []tpmessage.LeavingTarget) {
	_ = n.targets.in.Put(leavingInput{told: told})
}

// followVMs reads the platform's list while this node is one of its readers.
func (n *Node) followVMs(ctx context.Context, client *tpplatform.Client) {
	for {
		if n.readsVMs() {
			if list, err := client.VMs(ctx); err == nil {
				n.leavingVMs(list)
			}
		} else {
			n.leavingVMs(nil)
		}
		select {
		case <-ctx.Done():
			return
		case <-n.clock.After(n.cfg.VMPoll):
		}
	}
}

func (n *Node) readsVMs() bool {
	ranked := tpmember.Rank(vmPollKey, n.Members())
	return slices.ContainsFunc(ranked[:min(len(ranked), vmPollers)], func(m tpmessage.Member) bool {
		return m.Name == n.cfg.Name
	})
}

// leavingVMs passes on the targets that a list of VMs shows as leaving.
func (n *Node) leavingVMs(list []tpplatform.VM) {
	names := []string{}
	snapshot := n.InForce()
	if snapshot == nil {
		return
	}
	leaving := make(map[string]bool)
	for _, vm := range list {
		if vm.Target && vm.Leaving {
			leaving[vm.Name], leaving[vm.Address] = true, true
		}
	}
	for _, p := range snapshot.Config.Pools {
		for _, t := range p.Targets {
			if leaving[t.Name] || leaving[t.Address] {
				names = append(names, t.Name)
			}
		}
	}
	_ = n.targets.in.Put(leavingInput{vms: &names})
}

func targetNames(cfg *tpmessage.Config) map[string]bool {
	names := make(map[string]bool)
	for _, p := range cfg.Pools {
		for _, t := range p.Targets {
			names[t.Name] = true
		}
	}
	return names
}
