package tpnode

import (
	"slices"
	"sync/atomic"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/internal/edge/tpplatform"
	"teaselpin.example/teaselpin/internal/membership/tpmember"
	"teaselpin.example/teaselpin/internal/request/stage3/tprouter"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// targetInput is one message to the targets filter. Of its fields one is set.
type targetInput struct {
	report *tpmessage.LoadReport
	vms    map[string]bool // names and addresses of leaving VMs
	told   []tpmessage.LeavingTarget
	config *tpmessage.Config
	orders *[]string // drained for orders
}

// leavingTargets is the filter that decides which targets take no new work.
type leavingTargets struct {
	in       *tpring.Ring[targetInput]
	decision tpmember.LeavingTargets
	vms      map[string]bool   // from the latest list
	config   *tpmessage.Config // the latest
	names    []string
	current  atomic.Pointer[map[string]bool]           // of all sources
	told     atomic.Pointer[[]tpmessage.LeavingTarget] // that heartbeats carry
}

func (n *Node) startLeaving() error {
	n.targets = &leavingTargets{in: tpring.New[targetInput](tpring.Settings{Capacity: 256})}
	n.targets.current.Store(&map[string]bool{})
	n.targets.told.Store(&[]tpmessage.LeavingTarget{})
	n.rings.Add("targets", n.targets.in)
	return startFilter(n, "targets", n.targets.in, n.handleTargets)
}

func (n *Node) handleTargets(in targetInput) {
	l := n.targets
	now := n.clock.Now()
	switch {
	case in.report != nil:
		l.decision.Report(*in.report)
	case in.vms != nil:
		l.vms = in.vms
		l.decision.VMs(l.listed())
	case in.config != nil:
		l.decision.Drain(in.config.Drains)
		l.decision.Keep(targetNames(in.config))
		l.config = in.config
		l.decision.VMs(l.listed())
	case in.orders != nil:
		l.decision.Orders(*in.orders)
	default:
		l.decision.Merge(now, in.told)
	}
	told := l.decision.Tell(now)
	l.told.Store(&told)
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

// alternative returns a target of the request's pool that takes new work and is
// not among the excluded ones. It serves a request whose chosen targets take no
// connection. Different requests begin the search at different targets.
func (n *Node) alternative(req *tpmessage.Request, exclude []tpmessage.Target) (tpmessage.Target, bool) {
	pool, _ := n.poolInForce(req.Pool)
	targets := pool.Targets
	if len(targets) == 0 {
		return tpmessage.Target{}, false
	}
	start := int(xxh3.HashString(req.ID) % uint64(len(targets)))
	for i := range targets {
		t := targets[(start+i)%len(targets)]
		excluded := slices.ContainsFunc(exclude, func(e tpmessage.Target) bool { return e.Name == t.Name })
		if !excluded && n.takesNewWork(t.Name) {
			return t, true
		}
	}
	return tpmessage.Target{}, false
}

// noteLeaving passes a report on if it can change whether its target counts as
// leaving.
func (n *Node) noteLeaving(rep tpmessage.LoadReport) {
	if rep.Leaving || !n.takesNewWork(rep.Target) {
		_ = n.targets.in.Put(targetInput{report: &rep})
	}
}

// LeavingTargets returns the leaving targets that a heartbeat carries.
func (n *Node) LeavingTargets() []tpmessage.LeavingTarget { return *n.targets.told.Load() }

// MergeLeavingTargets takes the leaving targets of a peer's heartbeat. It does
// not wait; the next heartbeat brings again what finds no room.
func (n *Node) MergeLeavingTargets(told []tpmessage.LeavingTarget) {
	if len(told) > 0 {
		_ = n.targets.in.TryPut(targetInput{told: told})
	}
}

// tickLeaving lets the word of peers age while there is any.
func (n *Node) tickLeaving() {
	if len(n.LeavingTargets()) > 0 {
		_ = n.targets.in.TryPut(targetInput{})
	}
}

// leavingVMs passes on the VMs of targets that a list shows as leaving.
func (n *Node) leavingVMs(list []tpplatform.VM) {
	leaving := make(map[string]bool)
	for _, vm := range list {
		if vm.Target && vm.Leaving {
			leaving[vm.Name], leaving[vm.Address] = true, true
		}
	}
	_ = n.targets.in.Put(targetInput{vms: leaving})
}

// listed returns the names of the targets whose VMs are leaving.
func (l *leavingTargets) listed() []string {
	names := []string{}
	if l.config == nil {
		return names
	}
	for _, p := range l.config.Pools {
		for _, t := range p.Targets {
			if l.vms[t.Name] || l.vms[t.Address] {
				names = append(names, t.Name)
			}
		}
	}
	return names
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
