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

// Defaults of a node.
const (
	DefaultWindow   = 1024
	DefaultArrivals = 1024
	// DefaultPerTarget is the number of streams to which an engine gives a
	// token in 39 ms when it generates 600 tokens a second. More streams make
	// all of them slower; see docs/notes/load-policy.md.
	DefaultPerTarget  = 24
	DefaultReports    = 4096
	DefaultTick       = 100 * time.Millisecond
	DefaultStopGrace  = 2 * time.Second
	DefaultMaxHeader  = 16 << 10
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
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
	// Seeds are addresses (host:port) of peers that are tried besides the
	// platform's list of VMs.
	Seeds []string `yaml:"seeds"`
	// Window is the number of requests in flight on this node.
	Window int `yaml:"window"`
	// PerTarget is the number of requests in flight for each target of the
	// fleet, of which the node takes its part.
	PerTarget int `yaml:"perTarget"`
	// StopGrace is the time from the announcement of a planned stop to the
	// refusal of new requests, in which the balancer stops sending.
	StopGrace time.Duration `yaml:"stopGrace"`
	// LeaseTerm, LeaseRenew and LeaseMargin are the times of the leases over
	// engines. All nodes of a region have the same.
	LeaseTerm   time.Duration `yaml:"leaseTerm"`
	LeaseRenew  time.Duration `yaml:"leaseRenew"`
	LeaseMargin time.Duration `yaml:"leaseMargin"`
	// DrainGrace is the least time from the record of a drain to the order.
	DrainGrace time.Duration `yaml:"drainGrace"`
	// ModelLoadInterval is the time in which the weight store's limit allows
	// this node one more model load.
	ModelLoadInterval time.Duration `yaml:"modelLoadInterval"`
}

// orderSettings returns the settings of the order log.
func (s *Settings) orderSettings() tporder.Settings {
	return tporder.Settings{
		Margin: s.LeaseMargin, DrainGrace: s.DrainGrace, LoadInterval: s.ModelLoadInterval,
	}
}

// Deps are the parts that tests and the embedded run replace. The zero value
// stands for the system's own.
type Deps struct {
	Clock tpclock.Clock
	Log   *zerolog.Logger
	// NaiveLease runs the naive instance of the lease, for the proof that
	// the check of the orders catches it.
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
