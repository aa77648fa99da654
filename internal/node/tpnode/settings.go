package tpnode

import (
	"time"

	"github.com/rs/zerolog"

	"teaselpin.example/teaselpin/pkg/tpclock"
)

// Defaults of a node.
const (
	DefaultWindow     = 1024
	DefaultArrivals   = 1024
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
	// StopGrace is the time from the announcement of a planned stop to the
	// refusal of new requests, in which the balancer stops sending.
	StopGrace time.Duration `yaml:"stopGrace"`
}

// Deps are the parts that tests and the embedded run replace. The zero value
// stands for the system's own.
type Deps struct {
	Clock tpclock.Clock
	Log   *zerolog.Logger
}

func (s *Settings) setDefaults() {
	if s.Window <= 0 {
		s.Window = DefaultWindow
	}
	if s.StopGrace <= 0 {
		s.StopGrace = DefaultStopGrace
	}
}
