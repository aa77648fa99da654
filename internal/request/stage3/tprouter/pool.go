package tprouter

import (
	"teaselpin.example/teaselpin/internal/report/tpload"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// pool holds the targets of one pool in this node's subset, and the groups of
// those that accept new requests.
type pool struct {
	model    string
	version  string
	targets  []tpmessage.Target
	all      *tpload.Group            // targets of the pool that accept new requests
	adapters map[string]*tpload.Group // those that have loaded an adapter, by adapter
}

// group returns the candidates for a request. An empty adapter means that the
// request needs none. If no target has loaded the adapter, group returns all
// candidates, because any of them may be asked to load it.
func (p *pool) group(adapter string) *tpload.Group {
	if adapter == "" {
		return p.all
	}
	if g, ok := p.adapters[adapter]; ok {
		return g
	}
	return p.all
}

// updateGroups rebuilds the groups. A target that reports another model than
// the configured one is never used. A target that reports another version is
// used only while no target has the configured version.
func (p *pool) updateGroups(v *tpload.View) {
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

// mismatch reports whether both values are known and differ. An empty value is
// unknown.
func mismatch(wanted, reported string) bool {
	return wanted != "" && reported != "" && wanted != reported
}
