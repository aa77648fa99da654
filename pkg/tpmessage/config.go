package tpmessage

import "time"

// Config is the whole configuration of one deployment, as accepted.
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
	Drains        []string       `json:"drains" yaml:"drains"` // names of targets that shall be drained
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

// EngineType declares what a kind of engine guarantees about orders.
type EngineType struct {
	Name string `json:"name" yaml:"name"`
	// ChecksFencing is true if the engine refuses an order with an old fencing number.
	ChecksFencing bool `json:"checksFencing" yaml:"checksFencing"`
	// OrderReadTimeout bounds the time from the engine's 100 Continue to the
	// end of the order's body; zero means that no bound is declared.
	OrderReadTimeout time.Duration `json:"orderReadTimeout" yaml:"orderReadTimeout"`
}

// Pool is a set of targets that serve the same routes.
type Pool struct {
	Name       string   `json:"name" yaml:"name"`
	Kind       string   `json:"kind" yaml:"kind"` // engine or service
	EngineType string   `json:"engineType" yaml:"engineType"`
	Model      string   `json:"model" yaml:"model"`
	Targets    []Target `json:"targets" yaml:"targets"`
	// Roles gives the number of engines for each role; the rest are mixed.
	Roles map[Role]int `json:"roles" yaml:"roles"`
	// AutomaticRoles lets the system order role changes as the demand shifts.
	AutomaticRoles bool `json:"automaticRoles" yaml:"automaticRoles"`
	// CanAskKey is true if the service can be asked whether it ran a key.
	CanAskKey bool `json:"canAskKey" yaml:"canAskKey"`
}

// Kinds of pools.
const (
	PoolEngine  = "engine"
	PoolService = "service"
)

// Route maps a caller's path to a pool.
type Route struct {
	Path       string        `json:"path" yaml:"path"`
	Pool       string        `json:"pool" yaml:"pool"`
	Idempotent bool          `json:"idempotent" yaml:"idempotent"`
	Timeout    time.Duration `json:"timeout" yaml:"timeout"`
}

// Organisation is a party with a promised share.
type Organisation struct {
	Name  string  `json:"name" yaml:"name"`
	Share float64 `json:"share" yaml:"share"` // fraction of the fleet; all shares add up to 1
	// TokenHash is the hexadecimal SHA-256 of the bearer token of its callers.
	TokenHash string `json:"tokenHash" yaml:"tokenHash"`
}

// Policy holds the operators' weights.
type Policy struct {
	// RoleChangeWeight is the cost of one role change in pieces of lost work.
	RoleChangeWeight float64 `json:"roleChangeWeight" yaml:"roleChangeWeight"`
	// RetryBudget is the fraction of sends that may be retries.
	RetryBudget float64 `json:"retryBudget" yaml:"retryBudget"`
	// DrainTimeout bounds the drain before an order.
	DrainTimeout time.Duration `json:"drainTimeout" yaml:"drainTimeout"`
}

// PoolNamed returns the pool of that name.
func (c *Config) PoolNamed(name string) (Pool, bool) {
	for _, p := range c.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// RouteAt returns the route of that path.
func (c *Config) RouteAt(path string) (Route, bool) {
	for _, r := range c.Routes {
		if r.Path == path {
			return r, true
		}
	}
	return Route{}, false
}

// Head names the accepted configuration and the object that holds each part.
type Head struct {
	Generation uint64            `json:"generation"`
	Parts      map[string]string `json:"parts"` // part to object name
	Nonce      string            `json:"nonce"` // identifies the write, to settle lost answers
	Author     string            `json:"author"`
	// Replaced gives the objects of the previous generation that this one no
	// longer names, by part; a part that the previous one lacked is empty.
	Replaced map[string]string `json:"replaced,omitempty"`
	// Lineage holds the nonces of the newest accepted generations, this one
	// last, so that a lost answer can be settled after later changes.
	Lineage []string `json:"lineage,omitempty"`
}

// Snapshot is a configuration with its generation.
type Snapshot struct {
	Generation uint64
	Config     Config
}
