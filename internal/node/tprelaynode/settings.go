package tprelaynode

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// Defaults of Settings.
const (
	// DefaultWindow bounds the requests in progress. With bodies of 100 KB it
	// takes less than half of the smallest machine's memory.
	DefaultWindow = 768
	// DefaultStopDelay is how long a stopping node goes on taking requests. The
	// balancer asks once a second and believes the second refusal.
	DefaultStopDelay = 2600 * time.Millisecond
	// DefaultStopGrace is the time from the signal to the end of the process.
	DefaultStopGrace = 8 * time.Second
	// DefaultLeaseGuard is the wait of a new holder before its first order.
	DefaultLeaseGuard = 3 * time.Second
)

// Settings configures a node that relays.
type Settings struct {
	Name    string   `yaml:"name"`
	Region  string   `yaml:"region"`
	Zone    string   `yaml:"zone"`
	Front   string   `yaml:"front"`   // host:port for clients
	Ready   string   `yaml:"ready"`   // host:port for the balancer's question
	Peers   string   `yaml:"peers"`   // host:port for other nodes
	Metrics string   `yaml:"metrics"` // host:port of the counters
	Seeds   []string `yaml:"seeds"`   // host:port of some nodes
	Store   string   `yaml:"store"`   // host:port of the object store
	// MemoryMB is the memory that the process may take.
	MemoryMB int `yaml:"memoryMB"`
	// Window bounds the requests in progress.
	Window     int           `yaml:"window"`
	StopDelay  time.Duration `yaml:"stopDelay"`
	StopGrace  time.Duration `yaml:"stopGrace"`
	LeaseGuard time.Duration `yaml:"leaseGuard"`
	Budget     Budget        `yaml:"budget"`
	// PrefillPart is the part of the engines that read prompts; zero means
	// tpshift.DefaultPrefillPart.
	PrefillPart float64 `yaml:"prefillPart"`
}

// Budget bounds the repeated arrivals at a pool over all nodes.
type Budget struct {
	Ratio  float64       `yaml:"ratio"` // of the requests in the window
	Slack  float64       `yaml:"slack"`
	Window time.Duration `yaml:"window"`
}

// Check returns an error that names every setting that is missing or malformed.
func (s *Settings) Check() error {
	var faults []error
	if s.Name == "" {
		faults = append(faults, errors.New("name: a value is required"))
	}
	required := []struct{ field, value string }{
		{"front", s.Front}, {"ready", s.Ready}, {"peers", s.Peers}, {"store", s.Store},
	}
	for _, r := range required {
		faults = append(faults, checkAddress(r.field, r.value))
	}
	if s.Metrics != "" {
		faults = append(faults, checkAddress("metrics", s.Metrics))
	}
	for i, seed := range s.Seeds {
		faults = append(faults, checkAddress(fmt.Sprintf("seeds[%d]", i), seed))
	}
	if s.Budget.Ratio < 0 || s.Budget.Slack < 0 {
		faults = append(faults, errors.New("budget: ratio and slack must not be negative"))
	}
	if s.PrefillPart < 0 || s.PrefillPart > 1 {
		faults = append(faults, fmt.Errorf("prefillPart: want 0 to 1, found %v", s.PrefillPart))
	}
	return errors.Join(faults...)
}

func checkAddress(field, value string) error {
	if _, port, err := net.SplitHostPort(value); err != nil || port == "" {
		return fmt.Errorf("%s: want host:port, found %q", field, value)
	}
	return nil
}

func (s *Settings) setDefaults() {
	if s.Window <= 0 {
		s.Window = DefaultWindow
	}
	if s.StopDelay <= 0 {
		s.StopDelay = DefaultStopDelay
	}
	if s.StopGrace <= 0 {
		s.StopGrace = DefaultStopGrace
	}
	if s.LeaseGuard <= 0 {
		s.LeaseGuard = DefaultLeaseGuard
	}
}
