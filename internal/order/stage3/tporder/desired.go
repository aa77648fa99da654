package tporder

import "teaselpin.example/teaselpin/pkg/tpmessage"

// Desired returns the plan of each engine pool whose engine type the
// configuration declares. It skips other pools. roles maps engine names to the
// roles that a role policy chose. An engine that is not in roles gets the role
// that the configuration assigns to its position in the pool. lease returns the
// lease name of a pool.
func Desired(cfg *tpmessage.Config, roles map[string]tpmessage.Role, lease func(pool string) string) []Plan {
	var plans []Plan
	for i := range cfg.Pools {
		p := &cfg.Pools[i]
		t, declared := engineType(cfg, p.EngineType)
		if p.Kind != tpmessage.PoolEngine || !declared {
			continue
		}
		plan := Plan{Pool: p.Name, Lease: lease(p.Name), Type: t, Engines: make([]DesiredEngine, len(p.Targets))}
		version := modelVersion(cfg, p.Model)
		for j, target := range p.Targets {
			role, ok := roles[target.Name]
			if !ok {
				role = roleAt(p.Roles, j)
			}
			plan.Engines[j] = DesiredEngine{
				Target: target,
				State:  tpmessage.EngineState{Model: p.Model, Version: version, Role: role},
			}
		}
		plans = append(plans, plan)
	}
	return plans
}

func engineType(cfg *tpmessage.Config, name string) (tpmessage.EngineType, bool) {
	for _, t := range cfg.EngineTypes {
		if t.Name == name {
			return t, true
		}
	}
	return tpmessage.EngineType{}, false
}

func modelVersion(cfg *tpmessage.Config, name string) string {
	for _, m := range cfg.Models {
		if m.Name == name {
			return m.Version
		}
	}
	return ""
}

// roleAt returns the configured role of the i-th engine of a pool. Prefill
// engines come first, then decode engines, and the rest are mixed.
func roleAt(roles map[tpmessage.Role]int, i int) tpmessage.Role {
	for _, r := range []tpmessage.Role{tpmessage.RolePrefill, tpmessage.RoleDecode} {
		if i < roles[r] {
			return r
		}
		i -= roles[r]
	}
	return tpmessage.RoleMixed
}
