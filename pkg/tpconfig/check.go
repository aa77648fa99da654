package tpconfig

import (
	"encoding/hex"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// ShareTolerance is the largest accepted difference between the sum of all
// shares and 1. It allows for shares that are rounded decimals.
const ShareTolerance = 1e-6

// tokenHashBytes is the length of a SHA-256 hash.
const tokenHashBytes = 32

// checker finds faults in the values of a decoded configuration.
type checker struct {
	cfg     *tpmessage.Config
	at      map[string]Position
	invalid map[string]bool
	faults  Faults
}

// addFault records a fault of the value at path. A missing value has the
// position of the nearest enclosing value. A value that could not be decoded
// has a fault already and gets no other.
func (c *checker) addFault(path, format string, args ...any) {
	if c.invalid[path] {
		return
	}
	at := path
	for {
		pos, ok := c.at[at]
		if ok {
			c.faults = append(c.faults, Fault{Position: pos, Message: path + ": " + fmt.Sprintf(format, args...)})
			return
		}
		at = at[:max(0, strings.LastIndexAny(at, ".["))]
	}
}

func (c *checker) check() {
	c.requireValue("deployment", c.cfg.Deployment)
	c.requireValue("region", c.cfg.Region)
	c.checkZones()
	c.checkModels()
	c.checkEngineTypes()
	c.checkPools()
	c.checkRoutes()
	c.checkOrganisations()
	c.checkPolicy()
	c.checkDrains()
}

func (c *checker) requireValue(path, value string) {
	if value == "" {
		c.addFault(path, "a value is required")
	}
}

// requireUnique records a fault if name is empty or in seen, which maps names
// to their paths. Otherwise it adds name to seen.
func (c *checker) requireUnique(seen map[string]string, path, name string) {
	if name == "" {
		c.addFault(path, "a value is required")
		return
	}
	if first, ok := seen[name]; ok {
		c.addFault(path, "%q is already used by %s", name, first)
		return
	}
	seen[name] = path
}

func (c *checker) checkZones() {
	seen := make(map[string]string)
	for i, z := range c.cfg.Zones {
		path := fmt.Sprintf("zones[%d]", i)
		c.requireUnique(seen, path+".name", z.Name)
		if z.OneWayLatency < 0 {
			c.addFault(path+".oneWayLatency", "%v is negative", z.OneWayLatency)
		}
	}
}

func (c *checker) checkModels() {
	seen := make(map[string]string)
	for i, m := range c.cfg.Models {
		path := fmt.Sprintf("models[%d]", i)
		c.requireUnique(seen, path+".name", m.Name)
		c.requireValue(path+".version", m.Version)
		adapters := make(map[string]string)
		for j, a := range m.Adapters {
			c.requireUnique(adapters, fmt.Sprintf("%s.adapters[%d]", path, j), a)
		}
	}
}

func (c *checker) checkEngineTypes() {
	seen := make(map[string]string)
	for i, e := range c.cfg.EngineTypes {
		path := fmt.Sprintf("engineTypes[%d]", i)
		c.requireUnique(seen, path+".name", e.Name)
		if e.OrderReadTimeout < 0 {
			c.addFault(path+".orderReadTimeout", "%v is negative", e.OrderReadTimeout)
		}
	}
}

func (c *checker) checkPools() {
	seen := make(map[string]string)
	targets := make(map[string]string)
	addresses := make(map[string]string)
	for i := range c.cfg.Pools {
		p := &c.cfg.Pools[i]
		path := fmt.Sprintf("pools[%d]", i)
		c.requireUnique(seen, path+".name", p.Name)
		switch p.Kind {
		case tpmessage.PoolEngine:
			c.checkEnginePool(path, p)
		case tpmessage.PoolService:
			c.checkServicePool(path, p)
		default:
			c.addFault(path+".kind", "want %s or %s, found %q", tpmessage.PoolEngine, tpmessage.PoolService, p.Kind)
		}
		for j, t := range p.Targets {
			targetPath := fmt.Sprintf("%s.targets[%d]", path, j)
			c.requireUnique(targets, targetPath+".name", t.Name)
			c.requireUnique(addresses, targetPath+".address", t.Address)
			c.checkTarget(targetPath, t)
		}
	}
}

func (c *checker) checkTarget(path string, t tpmessage.Target) {
	if t.Address != "" && !validAddress(t.Address) {
		c.addFault(path+".address", "want host:port, found %q", t.Address)
	}
	for _, z := range c.cfg.Zones {
		if z.Name == t.Zone {
			return
		}
	}
	c.addFault(path+".zone", "unknown availability zone %q", t.Zone)
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

func (c *checker) checkEnginePool(path string, p *tpmessage.Pool) {
	if p.Model != "" && !c.hasModel(p.Model) {
		c.addFault(path+".model", "unknown model %q", p.Model)
	}
	engineType, known := c.engineType(p.EngineType)
	if p.EngineType != "" && !known {
		c.addFault(path+".engineType", "unknown engine type %q", p.EngineType)
	}
	sum := 0
	for role, n := range p.Roles {
		rolePath := path + ".roles." + string(role)
		switch role {
		case tpmessage.RoleMixed, tpmessage.RolePrefill, tpmessage.RoleDecode:
		default:
			c.addFault(rolePath, "want the role mixed, prefill or decode")
		}
		if n < 0 {
			c.addFault(rolePath, "%d is negative", n)
		}
		sum += max(0, n)
	}
	if sum > len(p.Targets) {
		c.addFault(path+".roles", "%d roles for %d targets", sum, len(p.Targets))
	}
	if known && (engineType.ChecksFencing || engineType.OrderReadTimeout > 0) || p.EngineType != "" && !known {
		return
	}
	const reason = "needs an engine type that declares checksFencing or orderReadTimeout; otherwise an order from a former lease holder could still take effect"
	if len(p.Roles) > 0 {
		c.addFault(path+".roles", reason)
	}
	if p.AutomaticRoles {
		c.addFault(path+".automaticRoles", reason)
	}
}

func (c *checker) checkServicePool(path string, p *tpmessage.Pool) {
	for name, set := range map[string]bool{
		"engineType":     p.EngineType != "",
		"model":          p.Model != "",
		"roles":          len(p.Roles) > 0,
		"automaticRoles": p.AutomaticRoles,
	} {
		if set {
			c.addFault(path+"."+name, "applies to pools of kind %s only", tpmessage.PoolEngine)
		}
	}
}

func (c *checker) hasModel(name string) bool {
	for _, m := range c.cfg.Models {
		if m.Name == name {
			return true
		}
	}
	return false
}

func (c *checker) engineType(name string) (tpmessage.EngineType, bool) {
	for _, e := range c.cfg.EngineTypes {
		if e.Name == name {
			return e, true
		}
	}
	return tpmessage.EngineType{}, false
}

func (c *checker) checkRoutes() {
	seen := make(map[string]string)
	for i, r := range c.cfg.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		c.requireUnique(seen, path+".path", r.Path)
		if r.Path != "" && !strings.HasPrefix(r.Path, "/") {
			c.addFault(path+".path", "%q does not begin with /", r.Path)
		}
		if _, ok := c.cfg.PoolByName(r.Pool); !ok {
			c.addFault(path+".pool", "unknown pool %q", r.Pool)
		}
		if r.Timeout < 0 {
			c.addFault(path+".timeout", "%v is negative", r.Timeout)
		}
	}
}

func (c *checker) checkOrganisations() {
	seen := make(map[string]string)
	tokens := make(map[string]string)
	sum, sharesValid := 0.0, true
	for i, o := range c.cfg.Organisations {
		path := fmt.Sprintf("organisations[%d]", i)
		c.requireUnique(seen, path+".name", o.Name)
		c.requireUnique(tokens, path+".tokenHash", o.TokenHash)
		if raw, err := hex.DecodeString(o.TokenHash); o.TokenHash != "" && (err != nil || len(raw) != tokenHashBytes) {
			c.addFault(path+".tokenHash", "want the SHA-256 of the token in %d hexadecimal digits", 2*tokenHashBytes)
		}
		if o.Share <= 0 || o.Share > 1 {
			c.addFault(path+".share", "want a fraction above 0 and at most 1, found %v", o.Share)
		}
		sum += o.Share
		sharesValid = sharesValid && !c.invalid[path+".share"]
	}
	if len(c.cfg.Organisations) == 0 {
		c.addFault("organisations", "at least one organisation is required")
		return
	}
	if sharesValid && math.Abs(sum-1) > ShareTolerance {
		c.addFault("organisations", "the shares add up to %s, want 1", strconv.FormatFloat(sum, 'g', 7, 64))
	}
}

func (c *checker) checkPolicy() {
	p := c.cfg.Policy
	if p.RoleChangeWeight < 0 {
		c.addFault("policy.roleChangeWeight", "%v is negative", p.RoleChangeWeight)
	}
	if p.RetryBudget < 0 || p.RetryBudget > 1 {
		c.addFault("policy.retryBudget", "want a fraction from 0 to 1, found %v", p.RetryBudget)
	}
	if p.DrainTimeout < 0 {
		c.addFault("policy.drainTimeout", "%v is negative", p.DrainTimeout)
	}
}

func (c *checker) checkDrains() {
	targets := make(map[string]bool)
	for _, p := range c.cfg.Pools {
		for _, t := range p.Targets {
			targets[t.Name] = true
		}
	}
	seen := make(map[string]string)
	for i, name := range c.cfg.Drains {
		path := fmt.Sprintf("drains[%d]", i)
		c.requireUnique(seen, path, name)
		if name != "" && !targets[name] {
			c.addFault(path, "unknown target %q", name)
		}
	}
}
