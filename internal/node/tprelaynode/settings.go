package tprelaynode

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"time"
)

// Defaults of Settings.
const (
	// DefaultWindow is the largest number of requests in progress. With bodies
	// of 100 KB they take less than half of the smallest machine's memory.
	DefaultWindow = 768
	// DefaultStopDelay is how long a stopping node still accepts requests. The
	// load balancer checks once a second and stops sending after the second
	// refusal.
	DefaultStopDelay = 2600 * time.Millisecond
	// DefaultStopGrace is the time from the signal to the end of the process.
	DefaultStopGrace = 8 * time.Second
	// DefaultLeaseGuard is how long a new holder of the lease waits before its
	// first order.
	DefaultLeaseGuard = 3 * time.Second
	// DefaultRevokeAfter is how old the configuration may be with StrictRevoke.
	DefaultRevokeAfter = 5 * time.Second
	// DefaultUsageWindow is the length of a window of the reports of usage, and
	// DefaultUsageLate the time after its end at which its report is due.
	DefaultUsageWindow = 5 * time.Second
	DefaultUsageLate   = 10 * time.Second
)

// Settings configures a node that relays requests. A zero Window, StopDelay,
// StopGrace, LeaseGuard, RevokeAfter, UsageWindow or UsageLate means the default.
type Settings struct {
	Name    string   `yaml:"name"`
	Region  string   `yaml:"region"`
	Zone    string   `yaml:"zone"`
	Front   string   `yaml:"front"`   // host:port for clients
	Ready   string   `yaml:"ready"`   // host:port for the load balancer's readiness check
	Peers   string   `yaml:"peers"`   // host:port for other nodes
	Metrics string   `yaml:"metrics"` // host:port of the counters
	Seeds   []string `yaml:"seeds"`   // host:port at which some nodes serve peers
	Store   string   `yaml:"store"`   // host:port of the object store
	// DutyAPI is the host:port of the API for duties that one node holds at a
	// time, or empty if there is none. Duties names the duties that it accepts.
	DutyAPI string   `yaml:"dutyAPI"`
	Duties  []string `yaml:"duties"`
	// UsageWindow and UsageLate apply to the duty "usage".
	UsageWindow time.Duration `yaml:"usageWindow"`
	UsageLate   time.Duration `yaml:"usageLate"`
	// Bootstrap is true while the whole region starts for the first time, before
	// there are requests.
	Bootstrap bool `yaml:"bootstrap"`
	// MemoryMB is the memory limit of the process in megabytes.
	MemoryMB int `yaml:"memoryMB"`
	// MaxFDs is the limit of open descriptors of the process. Zero means that the
	// number of connections does not follow from it.
	MaxFDs int `yaml:"maxFDs"`
	// Window is the largest number of requests in progress. Its default is lower if
	// MemoryMB or MaxFDs allow fewer connections of clients.
	Window     int           `yaml:"window"`
	StopDelay  time.Duration `yaml:"stopDelay"`
	StopGrace  time.Duration `yaml:"stopGrace"`
	LeaseGuard time.Duration `yaml:"leaseGuard"`
	Budget     Budget        `yaml:"budget"`
	// StrictRevoke makes the node refuse all keys once its copy of the
	// configuration has been unconfirmed for longer than RevokeAfter.
	StrictRevoke bool          `yaml:"strictRevoke"`
	RevokeAfter  time.Duration `yaml:"revokeAfter"`
	// InitialPrefillFraction is the initial fraction of the engines in the
	// prefill role, from 0 to 1; zero means a default that follows the slots of
	// the engines.
	InitialPrefillFraction float64 `yaml:"prefillPart"`
}

// Budget limits retries, which are the arrivals at a pool beyond the first of
// each request, over all nodes together. Within Window they may reach Ratio
// times the number of requests plus Slack.
type Budget struct {
	Ratio  float64       `yaml:"ratio"` // retries for each request in the window
	Slack  float64       `yaml:"slack"` // retries
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
	if s.DutyAPI != "" {
		faults = append(faults, checkAddress("dutyAPI", s.DutyAPI))
	}
	if s.UsageWindow < 0 || s.UsageLate < 0 {
		faults = append(faults, errors.New("usageWindow, usageLate: must not be negative"))
	}
	for i, seed := range s.Seeds {
		faults = append(faults, checkAddress(fmt.Sprintf("seeds[%d]", i), seed))
	}
	if s.Budget.Ratio < 0 || s.Budget.Slack < 0 {
		faults = append(faults, errors.New("budget: ratio and slack must not be negative"))
	}
	if s.InitialPrefillFraction < 0 || s.InitialPrefillFraction > 1 {
		faults = append(faults, fmt.Errorf("prefillPart: want 0 to 1, found %v", s.InitialPrefillFraction))
	}
	faults = append(faults, s.checkIntake())
	return errors.Join(faults...)
}

// HasDuty reports whether the duty API accepts the named duty.
func (s *Settings) HasDuty(name string) bool {
	return s.DutyAPI != "" && slices.Contains(s.Duties, name)
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
		if n := s.connLimits().front; n > 0 {
			s.Window = min(s.Window, n)
		}
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
	if s.RevokeAfter <= 0 {
		s.RevokeAfter = DefaultRevokeAfter
	}
	if s.UsageWindow <= 0 {
		s.UsageWindow = DefaultUsageWindow
	}
	if s.UsageLate <= 0 {
		s.UsageLate = DefaultUsageLate
	}
}
