package tprouter

import (
	"teaselpin.example/teaselpin/internal/report/tpload"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// pool holds the targets of one pool that this node works with, and the
// groups of those that take new work.
type pool struct {
	model    string
	version  string
	targets  []tpmessage.Target
	all      *tpload.Group
	adapters map[string]*tpload.Group
}

// group returns the targets to choose from for a request that needs an
// adapter, or none if the adapter is empty. If no target has loaded the
// adapter, any may be asked to.
func (p *pool) group(adapter string) *tpload.Group {
	if adapter == "" {
		return p.all
	}
	if g, ok := p.adapters[adapter]; ok {
		return g
	}
	return p.all
}

// regroup computes the groups anew. A target that reports another model is
// never used. A target that reports another version is used only while no
// target has the wanted one.
func (p *pool) regroup(v *tpload.View) {
	var current, outdated []*tpload.Candidate
	for _, t := range p.targets {
		c := v.Candidate(t.Name)
		if c.Leaving || mismatch(p.model, c.Report.Model) {
			continue
		}
		if mismatch(p.version, c.Report.Version) {
			outdated = append(outdated, c)
			continue
		}
		current = append(current, c)
	}
	if len(current) == 0 {
		current = outdated
	}
	p.all = tpload.NewGroup(0, v.Zone(), current)
	p.adapters = make(map[string]*tpload.Group)
	byAdapter := make(map[string][]*tpload.Candidate)
	for _, c := range current {
		if c.Report.Adapter != "" {
			byAdapter[c.Report.Adapter] = append(byAdapter[c.Report.Adapter], c)
		}
	}
	for adapter, members := range byAdapter {
		p.adapters[adapter] = tpload.NewGroup(1, v.Zone(), members)
	}
}

// mismatch reports whether a target states something else than is wanted.
func mismatch(wanted, stated string) bool {
	return wanted != "" && stated != "" && wanted != stated
}
