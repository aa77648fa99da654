package tprole

import (
	"cmp"
	"slices"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// DefaultMaxChangingFraction is the fraction of a pool's engines that may
// change at the same time. It limits the capacity that a pool loses to role
// changes.
const DefaultMaxChangingFraction = 0.25

// Settings configures an Assigner. A field that is zero or negative takes its
// default.
type Settings struct {
	// MaxChangingFraction is the fraction of the pool's engines, from 0 to 1,
	// that may change at the same time. At least one engine may.
	MaxChangingFraction float64
}

// Engine is the state of one engine as input to the role decision. Work is
// counted in pieces of tpmessage.PieceTokens tokens, here and in the rest of
// the package.
type Engine struct {
	Name     string
	Role     tpmessage.Role // the new role if the engine is changing
	Load     float64        // work at the engine, in pieces
	Changing bool
	Leaving  bool
}

// Change is a request to give an engine a role.
type Change struct {
	Engine string
	Role   tpmessage.Role
}

// Assigner assigns the roles of one pool's engines by a policy. It is not safe
// for concurrent use: one filter owns it.
type Assigner[P Policy] struct {
	cfg    Settings
	policy P
}

// New returns an Assigner for one pool.
func New[P Policy](cfg Settings, policy P) *Assigner[P] {
	if cfg.MaxChangingFraction <= 0 {
		cfg.MaxChangingFraction = DefaultMaxChangingFraction
	}
	return &Assigner[P]{cfg: cfg, policy: policy}
}

// CountRoles returns the number of engines of each role. It ignores leaving
// engines.
func CountRoles(engines []Engine) Split {
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

// Step returns the role changes to order now. The least loaded engines change
// first, because their drain is the shortest. Engines with equal load change in
// the order of their names.
func (as *Assigner[P]) Step(o Observation, engines []Engine) []Change {
	o.Split = CountRoles(engines)
	want := min(max(as.policy.PrefillEngines(o), 0), o.Split.Changeable())
	from, to := tpmessage.RoleDecode, tpmessage.RolePrefill
	count := want - o.Split.Prefill
	if count < 0 {
		from, to = to, from
		count = -count
	}
	candidates := as.changeable(engines, from)
	changes := make([]Change, 0, count)
	for _, e := range candidates[:min(count, len(candidates), as.changeBudget(engines))] {
		changes = append(changes, Change{Engine: e.Name, Role: to})
	}
	return changes
}

// changeBudget returns the number of changes that may begin now. It is at least
// one while no engine is changing.
func (as *Assigner[P]) changeBudget(engines []Engine) int {
	changing := 0
	for _, e := range engines {
		if e.Changing {
			changing++
		}
	}
	limit := max(1, int(as.cfg.MaxChangingFraction*float64(len(engines))))
	return max(0, limit-changing)
}

// changeable returns the engines that may leave a role, least loaded first.
func (as *Assigner[P]) changeable(engines []Engine, from tpmessage.Role) []Engine {
	var candidates []Engine
	for _, e := range engines {
		if e.Role == from && !e.Changing && !e.Leaving {
			candidates = append(candidates, e)
		}
	}
	slices.SortFunc(candidates, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Load, b.Load), cmp.Compare(a.Name, b.Name))
	})
	return candidates
}
