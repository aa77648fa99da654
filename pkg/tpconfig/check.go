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

// ShareTolerance is how far the sum of all shares may be from 1, for shares
// written with rounded decimals.
const ShareTolerance = 1e-6

// tokenHashBytes is the length of a SHA-256.
const tokenHashBytes = 32

// checker looks for faults in the meaning of a decoded configuration.
type checker struct {
	cfg    *tpmessage.Config
	at     map[string]Position
	bad    map[string]bool
	faults Faults
}

// fault reports a fault of the value at a path. The place of a missing value
// is that of the nearest value around it.
func (c *checker) fault(path, format string, args ...any) {
	if c.bad[path] {
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
	c.required("deployment", c.cfg.Deployment)
	c.required("region", c.cfg.Region)
	c.zones()
	c.models()
	c.engineTypes()
	c.pools()
	c.routes()
	c.organisations()
	c.policy()
	c.drains()
}

func (c *checker) required(path, value string) {
	if value == "" {
		c.fault(path, "a value is required")
	}
}

// unique reports a name that an earlier path has, and remembers it.
func (c *checker) unique(seen map[string]string, path, name string) {
	if name == "" {
		c.fault(path, "a value is required")
		return
	}
	if first, ok := seen[name]; ok {
		c.fault(path, "%q is already used by %s", name, first)
		return
	}
	seen[name] = path
}

func (c *checker) zones() {
	seen := make(map[string]string)
	for i, z := range c.cfg.Zones {
		path := fmt.Sprintf("zones[%d]", i)
		c.unique(seen, path+".name", z.Name)
		if z.OneWayLatency < 0 {
			c.fault(path+".oneWayLatency", "%v is negative", z.OneWayLatency)
		}
	}
}

func (c *checker) models() {
	seen := make(map[string]string)
	for i, m := range c.cfg.Models {
		path := fmt.Sprintf("models[%d]", i)
		c.unique(seen, path+".name", m.Name)
		c.required(path+".version", m.Version)
		adapters := make(map[string]string)
		for j, a := range m.Adapters {
			c.unique(adapters, fmt.Sprintf("%s.adapters[%d]", path, j), a)
		}
	}
}

func (c *checker) engineTypes() {
	seen := make(map[string]string)
	for i, e := range c.cfg.EngineTypes {
		path := fmt.Sprintf("engineTypes[%d]", i)
		c.unique(seen, path+".name", e.Name)
		if e.OrderReadTimeout < 0 {
			c.fault(path+".orderReadTimeout", "%v is negative", e.OrderReadTimeout)
		}
	}
}

func (c *checker) pools() {
	seen := make(map[string]string)
	targets := make(map[string]string)
	addresses := make(map[string]string)
	for i := range c.cfg.Pools {
		p := &c.cfg.Pools[i]
		path := fmt.Sprintf("pools[%d]", i)
		c.unique(seen, path+".name", p.Name)
		switch p.Kind {
		case tpmessage.PoolEngine:
			c.enginePool(path, p)
		case tpmessage.PoolService:
			c.servicePool(path, p)
		default:
			c.fault(path+".kind", "want %s or %s, found %q", tpmessage.PoolEngine, tpmessage.PoolService, p.Kind)
		}
		for j, t := range p.Targets {
			at := fmt.Sprintf("%s.targets[%d]", path, j)
			c.unique(targets, at+".name", t.Name)
			c.unique(addresses, at+".address", t.Address)
			c.target(at, t)
		}
	}
}

func (c *checker) target(path string, t tpmessage.Target) {
	if t.Address != "" && !validAddress(t.Address) {
		c.fault(path+".address", "want host:port, found %q", t.Address)
	}
	for _, z := range c.cfg.Zones {
		if z.Name == t.Zone {
			return
		}
	}
	c.fault(path+".zone", "unknown availability zone %q", t.Zone)
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

func (c *checker) enginePool(path string, p *tpmessage.Pool) {
	if p.Model != "" && !c.hasModel(p.Model) {
		c.fault(path+".model", "unknown model %q", p.Model)
	}
	engineType, known := c.engineType(p.EngineType)
	if p.EngineType != "" && !known {
		c.fault(path+".engineType", "unknown engine type %q", p.EngineType)
	}
	sum := 0
	for role, n := range p.Roles {
		at := path + ".roles." + string(role)
		switch role {
		case tpmessage.RoleMixed, tpmessage.RolePrefill, tpmessage.RoleDecode:
		default:
			c.fault(at, "want the role mixed, prefill or decode")
		}
		if n < 0 {
			c.fault(at, "%d is negative", n)
		}
		sum += max(0, n)
	}
	if sum > len(p.Targets) {
		c.fault(path+".roles", "%d roles for %d targets", sum, len(p.Targets))
	}
	if known && (engineType.ChecksFencing || engineType.OrderReadTimeout > 0) || p.EngineType != "" && !known {
		return
	}
	const reason = "needs an engine type that declares checksFencing or orderReadTimeout; otherwise an order from a former lease holder could still take effect"
	if len(p.Roles) > 0 {
		c.fault(path+".roles", reason)
	}
	if p.AutomaticRoles {
		c.fault(path+".automaticRoles", reason)
	}
}

func (c *checker) servicePool(path string, p *tpmessage.Pool) {
	for name, set := range map[string]bool{
		"engineType":     p.EngineType != "",
		"model":          p.Model != "",
		"roles":          len(p.Roles) > 0,
		"automaticRoles": p.AutomaticRoles,
	} {
		if set {
			c.fault(path+"."+name, "applies to pools of kind %s only", tpmessage.PoolEngine)
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

func (c *checker) routes() {
	seen := make(map[string]string)
	for i, r := range c.cfg.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		c.unique(seen, path+".path", r.Path)
		if r.Path != "" && !strings.HasPrefix(r.Path, "/") {
			c.fault(path+".path", "%q does not begin with /", r.Path)
		}
		if _, ok := c.cfg.PoolNamed(r.Pool); !ok {
			c.fault(path+".pool", "unknown pool %q", r.Pool)
		}
		if r.Timeout < 0 {
			c.fault(path+".timeout", "%v is negative", r.Timeout)
		}
	}
}

func (c *checker) organisations() {
	seen := make(map[string]string)
	tokens := make(map[string]string)
	sum, readable := 0.0, true
	for i, o := range c.cfg.Organisations {
		path := fmt.Sprintf("organisations[%d]", i)
		c.unique(seen, path+".name", o.Name)
		c.unique(tokens, path+".tokenHash", o.TokenHash)
		if raw, err := hex.DecodeString(o.TokenHash); o.TokenHash != "" && (err != nil || len(raw) != tokenHashBytes) {
			c.fault(path+".tokenHash", "want the SHA-256 of the token in %d hexadecimal digits", 2*tokenHashBytes)
		}
		if o.Share <= 0 || o.Share > 1 {
			c.fault(path+".share", "want a fraction above 0 and at most 1, found %v", o.Share)
		}
		sum += o.Share
		readable = readable && !c.bad[path+".share"]
	}
	if len(c.cfg.Organisations) == 0 {
		c.fault("organisations", "at least one organisation is required")
		return
	}
	if readable && math.Abs(sum-1) > ShareTolerance {
		c.fault("organisations", "the shares add up to %s, want 1", strconv.FormatFloat(sum, 'g', 7, 64))
	}
}

func (c *checker) policy() {
	p := c.cfg.Policy
	if p.RoleChangeWeight < 0 {
		c.fault("policy.roleChangeWeight", "%v is negative", p.RoleChangeWeight)
	}
	if p.RetryBudget < 0 || p.RetryBudget > 1 {
		c.fault("policy.retryBudget", "want a fraction from 0 to 1, found %v", p.RetryBudget)
	}
	if p.DrainTimeout < 0 {
		c.fault("policy.drainTimeout", "%v is negative", p.DrainTimeout)
	}
}

func (c *checker) drains() {
	targets := make(map[string]bool)
	for _, p := range c.cfg.Pools {
		for _, t := range p.Targets {
			targets[t.Name] = true
		}
	}
	seen := make(map[string]string)
	for i, name := range c.cfg.Drains {
		path := fmt.Sprintf("drains[%d]", i)
		c.unique(seen, path, name)
		if name != "" && !targets[name] {
			c.fault(path, "unknown target %q", name)
		}
	}
}
