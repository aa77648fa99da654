package tprole

import (
	"cmp"
	"slices"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// DefaultMaxChanging is the fraction of a pool's engines that may change at
// the same time, so that a change of many does not stop the pool.
const DefaultMaxChanging = 0.25

// Settings configures Roles. The zero value is the default.
type Settings struct {
	// MaxChanging is the fraction of the engines that may change at a time.
	MaxChanging float64
}

// Engine is an engine of the pool as the role decision sees it.
type Engine struct {
	Name     string
	Role     tpmessage.Role // the new role if the engine is changing
	Load     float64        // work at the engine, in pieces
	Changing bool
	Leaving  bool
}

// Change asks for a role of an engine.
type Change struct {
	Engine string
	Role   tpmessage.Role
}

// Roles assigns the roles of one pool. It belongs to one filter.
type Roles[P Policy] struct {
	cfg    Settings
	policy P
}

// New returns the role decision of one pool.
func New[P Policy](cfg Settings, policy P) *Roles[P] {
	if cfg.MaxChanging <= 0 {
		cfg.MaxChanging = DefaultMaxChanging
	}
	return &Roles[P]{cfg: cfg, policy: policy}
}

// SplitOf counts the engines by role. Engines that are leaving do not count.
func SplitOf(engines []Engine) Split {
	var s Split
	for _, e := range engines {
		switch {
		case e.Leaving:
		case e.Role == tpmessage.RolePrefill:
			s.Prefill++
		case e.Role == tpmessage.RoleDecode:
			s.Decode++
		default:
			s.Mixed++
		}
	}
	return s
}

// Step returns the changes to order now. Of the engines that may change, the
// least loaded change first, because their drain takes least; equal ones
// change in the order of their names.
func (r *Roles[P]) Step(o Observation, engines []Engine) []Change {
	o.Split = SplitOf(engines)
	want := min(max(r.policy.Want(o), 0), o.Split.Changeable())
	from, to := tpmessage.RoleDecode, tpmessage.RolePrefill
	count := want - o.Split.Prefill
	if count < 0 {
		from, to = to, from
		count = -count
	}
	candidates := r.changeable(engines, from)
	changes := make([]Change, 0, count)
	for _, e := range candidates[:min(count, len(candidates), r.room(engines))] {
		changes = append(changes, Change{Engine: e.Name, Role: to})
	}
	return changes
}

// room returns the number of changes that may begin now, at least one while
// no engine is changing.
func (r *Roles[P]) room(engines []Engine) int {
	changing := 0
	for _, e := range engines {
		if e.Changing {
			changing++
		}
	}
	limit := max(1, int(r.cfg.MaxChanging*float64(len(engines))))
	return max(0, limit-changing)
}

func (r *Roles[P]) changeable(engines []Engine, from tpmessage.Role) []Engine {
	var list []Engine
	for _, e := range engines {
		if e.Role == from && !e.Changing && !e.Leaving {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Load, b.Load), cmp.Compare(a.Name, b.Name))
	})
	return list
}
