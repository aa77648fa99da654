package tporder

import "teaselpin.example/teaselpin/pkg/tpmessage"

// Desired returns the plans of the pools of engines whose type is declared.
// roles gives the role of engines by name, as a role policy chose it; any
// other engine gets the role that the configuration gives to its place in the
// pool. lease names the lease of a pool.
func Desired(cfg *tpmessage.Config, roles map[string]tpmessage.Role, lease func(pool string) string) []Plan {
	var plans []Plan
	for i := range cfg.Pools {
		p := &cfg.Pools[i]
		t, declared := engineType(cfg, p.EngineType)
		if p.Kind != tpmessage.PoolEngine || !declared {
			continue
		}
		plan := Plan{Pool: p.Name, Lease: lease(p.Name), Type: t, Engines: make([]Wanted, len(p.Targets))}
		version := modelVersion(cfg, p.Model)
		for j, target := range p.Targets {
			role, ok := roles[target.Name]
			if !ok {
				role = roleAt(p.Roles, j)
			}
			plan.Engines[j] = Wanted{
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

// roleAt returns the role of the i-th engine: prefill first, then decode, and
// the rest mixed.
func roleAt(roles map[tpmessage.Role]int, i int) tpmessage.Role {
	for _, r := range []tpmessage.Role{tpmessage.RolePrefill, tpmessage.RoleDecode} {
		if i < roles[r] {
			return r
		}
		i -= roles[r]
	}
	return tpmessage.RoleMixed
}
