package tpmessage

import "time"

// Config is the whole configuration of one deployment.
type Config struct {
	Deployment    string         `json:"deployment" yaml:"deployment"`
	Region        string         `json:"region" yaml:"region"`
	Zones         []Zone         `json:"zones" yaml:"zones"`
	Models        []Model        `json:"models" yaml:"models"`
	EngineTypes   []EngineType   `json:"engineTypes" yaml:"engineTypes"`
	Pools         []Pool         `json:"pools" yaml:"pools"`
	Routes        []Route        `json:"routes" yaml:"routes"`
	Organisations []Organisation `json:"organisations" yaml:"organisations"`
	Policy        Policy         `json:"policy" yaml:"policy"`
	Drains        []string       `json:"drains" yaml:"drains"` // names of the targets to drain
}

// Zone is an availability zone.
type Zone struct {
	Name          string        `json:"name" yaml:"name"`
	OneWayLatency time.Duration `json:"oneWayLatency" yaml:"oneWayLatency"` // to the other zones of the region
}

// Model is a language model that engines can load.
type Model struct {
	Name     string   `json:"name" yaml:"name"`
	Version  string   `json:"version" yaml:"version"`
	Adapters []string `json:"adapters" yaml:"adapters"`
}

// EngineType declares the guarantees of a kind of engine about orders.
type EngineType struct {
	Name string `json:"name" yaml:"name"`
	// ChecksFencing is true if the engine refuses an order whose fencing number
	// is older than the newest that it knows.
	ChecksFencing bool `json:"checksFencing" yaml:"checksFencing"`
	// OrderReadTimeout is the longest time from the engine's 100 Continue to
	// the end of the order's body. Zero means that the engine declares no
	// limit.
	OrderReadTimeout time.Duration `json:"orderReadTimeout" yaml:"orderReadTimeout"`
}

// Pool is a set of targets that serve the same routes.
type Pool struct {
	Name       string   `json:"name" yaml:"name"`
	Kind       string   `json:"kind" yaml:"kind"` // PoolEngine or PoolService
	EngineType string   `json:"engineType" yaml:"engineType"`
	Model      string   `json:"model" yaml:"model"`
	Targets    []Target `json:"targets" yaml:"targets"`
	// Roles holds the number of engines for each role. The other engines are
	// mixed.
	Roles map[Role]int `json:"roles" yaml:"roles"`
	// AutomaticRoles lets the system order role changes when demand changes.
	AutomaticRoles bool `json:"automaticRoles" yaml:"automaticRoles"`
	// ReportsKeyOutcome is true if the service can report whether it ran the
	// call with a given idempotency key.
	ReportsKeyOutcome bool `json:"canAskKey" yaml:"canAskKey"`
}

// Values of Pool.Kind.
const (
	PoolEngine  = "engine"
	PoolService = "service"
)

// Route maps a caller's path to a pool. A request of an Idempotent route may
// run more than once.
type Route struct {
	Path       string        `json:"path" yaml:"path"`
	Pool       string        `json:"pool" yaml:"pool"`
	Idempotent bool          `json:"idempotent" yaml:"idempotent"`
	Timeout    time.Duration `json:"timeout" yaml:"timeout"`
}

// Organisation is a group of callers with a guaranteed share of the fleet.
type Organisation struct {
	Name  string  `json:"name" yaml:"name"`
	Share float64 `json:"share" yaml:"share"` // fraction of the fleet; all shares add up to 1
	// TokenHash is the hexadecimal SHA-256 of the bearer token of its callers.
	TokenHash string `json:"tokenHash" yaml:"tokenHash"`
}

// Policy holds the limits and weights that operators set.
type Policy struct {
	// RoleChangeWeight is the cost of one role change, in pieces of lost work
	// (see PieceTokens).
	RoleChangeWeight float64 `json:"roleChangeWeight" yaml:"roleChangeWeight"`
	// RetryBudget is the ratio of retries to first sends that the budget of
	// each pool allows, from 0 to 1. Zero selects the default ratio.
	RetryBudget float64 `json:"retryBudget" yaml:"retryBudget"`
	// DrainTimeout is the longest time for which an engine drains before an
	// order.
	DrainTimeout time.Duration `json:"drainTimeout" yaml:"drainTimeout"`
}

// PoolByName returns the pool with the given name, or false if there is none.
func (c *Config) PoolByName(name string) (Pool, bool) {
	for _, p := range c.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// RouteByPath returns the route with exactly the given path, or false if there
// is none.
func (c *Config) RouteByPath(path string) (Route, bool) {
	for _, r := range c.Routes {
		if r.Path == path {
			return r, true
		}
	}
	return Route{}, false
}

// Head identifies the accepted configuration and the objects that store its
// parts.
type Head struct {
	Generation uint64            `json:"generation"`
	Parts      map[string]string `json:"parts"` // object names by part
	Nonce      string            `json:"nonce"` // identifies the write, to find its outcome after a lost answer
	Author     string            `json:"author"`
	// Replaced holds, by part, the names of the objects of the previous
	// generation that this generation no longer uses. The name is empty for a
	// part that the previous generation did not have.
	Replaced map[string]string `json:"replaced,omitempty"`
	// Lineage holds the nonces of the newest accepted generations, this one
	// last, so that the outcome of a write whose answer was lost can be found
	// after later changes.
	Lineage []string `json:"lineage,omitempty"`
}

// Snapshot is a configuration with its generation.
type Snapshot struct {
	Generation uint64
	Config     Config
}
