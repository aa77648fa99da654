package tpnode

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"net/url"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"teaselpin.example/teaselpin/internal/order/stage3/tporder"
	"teaselpin.example/teaselpin/pkg/tpclock"
)

// Defaults of Settings, and values that no setting changes.
const (
	// DefaultWindow is the maximum number of requests in flight on a node.
	DefaultWindow = 1024
	// DefaultArrivalCapacity is the depth of the admission ring below which it
	// accepts arrivals, ticks and usage. The rest is reserved for completions.
	DefaultArrivalCapacity = 1024
	// DefaultPerTarget is the maximum number of requests in flight for each
	// target, over all nodes. An engine that generates 600 tokens per second
	// sends each of 24 streams a token about every 39 ms. More streams make all
	// of them slower; see docs/notes/load-policy.md.
	DefaultPerTarget = 24
	// DefaultReportCapacity is the depth of the routing ring below which it
	// accepts load reports and lists of nodes. The rest is reserved for
	// admitted work and completions.
	DefaultReportCapacity = 4096
	// DefaultTickInterval is the interval between the ticks of the filters.
	DefaultTickInterval = 100 * time.Millisecond
	// DefaultStopGrace is the time for which a stopping node still accepts
	// requests.
	DefaultStopGrace = 2 * time.Second
	// DefaultMaxHeaderBytes is the maximum size of a request's header in bytes.
	DefaultMaxHeaderBytes = 16 << 10
	readHeaderTimeout     = 10 * time.Second
	idleTimeout           = 2 * time.Minute
)

// Settings configures a node. The addresses and names have no default; the
// zero value of every other field is the default.
type Settings struct {
	Name          string `yaml:"name"`
	Region        string `yaml:"region"`
	Zone          string `yaml:"zone"`          // availability zone
	CallerAddress string `yaml:"callerAddress"` // host:port for callers
	PeerAddress   string `yaml:"peerAddress"`   // host:port for peers and operators
	Platform      string `yaml:"platform"`      // URL of the platform
	// Seeds are addresses (host:port) of peers that the node contacts in
	// addition to those in the platform's VM list.
	Seeds []string `yaml:"seeds"`
	// Window is the maximum number of requests in flight on this node.
	Window int `yaml:"window"`
	// PerTarget is the maximum number of requests in flight for each target,
	// over all nodes. Each node uses its share of it.
	PerTarget int `yaml:"perTarget"`
	// StopGrace is the time from the announcement of a planned stop to the
	// refusal of new requests. The load balancer stops sending in that time.
	StopGrace time.Duration `yaml:"stopGrace"`
	// LeaseTerm, LeaseRenew and LeaseMargin are the durations of
	// tplease.Settings for the leases over engines. They must be equal on all
	// nodes of a region.
	LeaseTerm   time.Duration `yaml:"leaseTerm"`
	LeaseRenew  time.Duration `yaml:"leaseRenew"`
	LeaseMargin time.Duration `yaml:"leaseMargin"`
	// DrainGrace is the minimum time from the record of a drain to the order.
	DrainGrace time.Duration `yaml:"drainGrace"`
	// ModelLoadInterval is the interval at which the limit of the weight store
	// allows this node one more model load.
	ModelLoadInterval time.Duration `yaml:"modelLoadInterval"`
}

// orderSettings returns the settings of the order log.
func (s *Settings) orderSettings() tporder.Settings {
	return tporder.Settings{
		Margin: s.LeaseMargin, DrainGrace: s.DrainGrace, LoadInterval: s.ModelLoadInterval,
	}
}

// Deps are the parts that tests and an embedded node replace. The zero value
// means the system clock, no log output and the strict lease.
type Deps struct {
	Clock tpclock.Clock
	Log   *zerolog.Logger
	// NaiveLease selects the naive lease policy. A test uses it to show that
	// the check of the orders detects the errors of this policy.
	NaiveLease bool
}

// Check returns an error that names every setting that is missing or malformed.
func (s *Settings) Check() error {
	var faults []error
	if s.Name == "" {
		faults = append(faults, errors.New("name: a value is required"))
	}
	addresses := map[string]string{"callerAddress": s.CallerAddress, "peerAddress": s.PeerAddress}
	for i, seed := range s.Seeds {
		addresses[fmt.Sprintf("seeds[%d]", i)] = seed
	}
	for _, field := range slices.Sorted(maps.Keys(addresses)) {
		if _, port, err := net.SplitHostPort(addresses[field]); err != nil || port == "" {
			faults = append(faults, fmt.Errorf("%s: want host:port, found %q", field, addresses[field]))
		}
	}
	if u, err := url.Parse(s.Platform); err != nil || s.Platform != "" && (u.Scheme == "" || u.Host == "") {
		faults = append(faults, fmt.Errorf("platform: want a URL such as http://10.0.0.1:7000, found %q", s.Platform))
	}
	return errors.Join(faults...)
}

func (s *Settings) setDefaults() {
	if s.Window <= 0 {
		s.Window = DefaultWindow
	}
	if s.PerTarget <= 0 {
		s.PerTarget = DefaultPerTarget
	}
	if s.StopGrace <= 0 {
		s.StopGrace = DefaultStopGrace
	}
}
