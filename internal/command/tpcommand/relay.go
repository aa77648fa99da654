package tpcommand

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/rs/zerolog"

	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/internal/frame/tplog"
	"teaselpin.example/teaselpin/internal/node/tprelaynode"
	"teaselpin.example/teaselpin/pkg/tpconfig"
	"teaselpin.example/teaselpin/pkg/tpring"
	"teaselpin.example/teaselpin/platform/tpguest"
)

const (
	// memoryPart is the part of the process's memory that the heap may reach
	// before garbage is collected more often.
	memoryPart = 0.6
	// bytesPerMB converts the memory setting.
	bytesPerMB = 1 << 20
)

// Relay runs a node that relays requests on the users' platform.
type Relay struct {
	Settings string `long:"settings" env:"TEASELPIN_CONFIG" description:"YAML file of the node's settings" required:"true"`

	env Env
}

// Execute implements flags.Commander.
func (c *Relay) Execute([]string) error {
	var cfg tprelaynode.Settings
	if err := readSettings(c.Settings, &cfg); err != nil {
		return err
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(cfg.MemoryMB) * bytesPerMB))
	}
	var rings tpring.Group
	duties, stopDuties := tpduty.NewRunner(tpduty.Settings{})
	defer stopDuties()
	lines, stopLog, err := tplog.NewWriter(tplog.Settings{}, c.env.Stdout, duties, &rings)
	if err != nil {
		return err
	}
	defer stopLog()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(lines).With().Timestamp().Logger()

	store, closeStore := tpguest.NewStore(cfg.Store)
	defer closeStore()
	upstream, closeUpstream := tpguest.NewUpstream()
	defer closeUpstream()
	orderer, closeOrderer := tpguest.NewOrderer()
	defer closeOrderer()
	_, cleanup, err := tprelaynode.New(cfg, tprelaynode.Deps{
		Log: log, Store: store, Viewer: store, Upstream: upstream, Engines: orderer,
		Kinds:        tprelaynode.Kind{Config: tpguest.KindConfig, Targets: tpguest.KindServers},
		DecodeConfig: tpguest.DecodeConfig, DecodeTargets: tpguest.DecodeTargets,
		Front: func(n *tprelaynode.Node) http.Handler {
			return &tpguest.Front{Submit: n.Submit, Limits: n.Limits, Closing: n.Closing}
		},
		Ready: tpguest.Ready,
		Rings: &rings, Duties: duties,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(lines, "listening %s %s\n", cfg.Front, cfg.Peers)
	c.wait(&log)
	cleanup()
	return nil
}

// wait returns when the process is asked to stop. The settings are read at
// the start alone; a reload checks the file and says what it found.
func (c *Relay) wait(log *zerolog.Logger) {
	for {
		select {
		case <-c.env.Stop:
			return
		case <-c.env.Reload:
			var cfg tprelaynode.Settings
			err := readSettings(c.Settings, &cfg)
			log.Info().Str("event", "reload").Err(err).Send()
		}
	}
}

// readSettings reads a YAML file into settings and checks them.
func readSettings(path string, cfg interface{ Check() error }) error {
	f, err := tpconfig.ReadFile(path)
	if err != nil {
		return err
	}
	if err := tpconfig.Decode(f, cfg); err != nil {
		return &statusError{ExitInvalid, err}
	}
	if err := cfg.Check(); err != nil {
		return &statusError{ExitInvalid, Error.New("%s: %w", path, err)}
	}
	return nil
}
