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

// targetInput is one message to the targets filter. At most one field is set; a
// tick sets none.
type targetInput struct {
	report  *tpmessage.LoadReport
	vms     map[string]bool // names and addresses of leaving VMs
	leaving []tpmessage.LeavingTarget
	config  *tpmessage.Config
	orders  *[]string // names of the engines that drain for an order
}

// leavingTargets is the filter that decides which targets get no new requests.
type leavingTargets struct {
	in       *tpring.Ring[targetInput]
	decision tpmember.LeavingTargets
	vms      map[string]bool   // from the latest VM list
	config   *tpmessage.Config // in force
	names    []string
	current  atomic.Pointer[map[string]bool]           // names of the leaving targets
	leaving  atomic.Pointer[[]tpmessage.LeavingTarget] // carried by heartbeats
}

func (n *Node) startLeaving() error {
	n.targets = &leavingTargets{in: tpring.New[targetInput](tpring.Settings{Capacity: 256})}
	n.targets.current.Store(&map[string]bool{})
	n.targets.leaving.Store(&[]tpmessage.LeavingTarget{})
	n.rings.Add("targets", n.targets.in)
	return startFilter(n, "targets", n.targets.in, n.handleTargets)
}

func (n *Node) handleTargets(in targetInput) {
	l := n.targets
	now := n.clock.Now()
	switch {
	case in.report != nil:
		l.decision.RecordReport(*in.report)
	case in.vms != nil:
		l.vms = in.vms
		l.decision.SetLeavingVMs(l.targetsOfLeavingVMs())
	case in.config != nil:
		l.decision.SetDrained(in.config.Drains)
		l.decision.RetainReports(targetNames(in.config))
		l.config = in.config
		l.decision.SetLeavingVMs(l.targetsOfLeavingVMs())
	case in.orders != nil:
		l.decision.SetDrainedForOrders(*in.orders)
	default:
		l.decision.Merge(now, in.leaving)
	}
	leaving := l.decision.HeartbeatEntries(now)
	l.leaving.Store(&leaving)
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

// acceptsNewWork reports whether a target may get new requests: it is not known
// to be leaving.
func (n *Node) acceptsNewWork(target string) bool { return !(*n.targets.current.Load())[target] }

// alternativeTarget returns a target of the request's pool that accepts new
// work and is not excluded. The sender calls it if the assigned targets accept
// no connection. The search starts at a target that depends on the request ID,
// so that the requests spread over the pool.
func (n *Node) alternativeTarget(req *tpmessage.Request, exclude []tpmessage.Target) (tpmessage.Target, bool) {
	pool, _ := n.poolInForce(req.Pool)
	targets := pool.Targets
	if len(targets) == 0 {
		return tpmessage.Target{}, false
	}
	start := int(xxh3.HashString(req.ID) % uint64(len(targets)))
	for i := range targets {
		t := targets[(start+i)%len(targets)]
		excluded := slices.ContainsFunc(exclude, func(e tpmessage.Target) bool { return e.Name == t.Name })
		if !excluded && n.acceptsNewWork(t.Name) {
			return t, true
		}
	}
	return tpmessage.Target{}, false
}

// reportLeaving passes a load report to the targets filter if the report can
// change whether its target counts as leaving.
func (n *Node) reportLeaving(rep tpmessage.LoadReport) {
	if rep.Leaving || !n.acceptsNewWork(rep.Target) {
		_ = n.targets.in.Put(targetInput{report: &rep})
	}
}

// LeavingTargets returns the leaving targets that this node's heartbeats carry.
// The caller must not change the list.
func (n *Node) LeavingTargets() []tpmessage.LeavingTarget { return *n.targets.leaving.Load() }

// MergeLeavingTargets adds the leaving targets of a peer's heartbeat. It does
// not block: a full ring discards them, and the next heartbeat carries them
// again.
func (n *Node) MergeLeavingTargets(leaving []tpmessage.LeavingTarget) {
	if len(leaving) > 0 {
		_ = n.targets.in.TryPut(targetInput{leaving: leaving})
	}
}

// expireLeaving sends a tick to the targets filter, which removes the targets
// whose last report of leaving has expired. It does nothing while no target is
// leaving.
func (n *Node) expireLeaving() {
	if len(n.LeavingTargets()) > 0 {
		_ = n.targets.in.TryPut(targetInput{})
	}
}

// updateLeavingVMs passes the VMs of targets that are leaving according to the
// platform's list to the targets filter.
func (n *Node) updateLeavingVMs(list []tpplatform.VM) {
	leaving := make(map[string]bool)
	for _, vm := range list {
		if vm.RunsTarget && vm.Leaving {
			leaving[vm.Name], leaving[vm.Address] = true, true
		}
	}
	_ = n.targets.in.Put(targetInput{vms: leaving})
}

// targetsOfLeavingVMs returns the names of the targets whose VMs are leaving.
func (l *leavingTargets) targetsOfLeavingVMs() []string {
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
