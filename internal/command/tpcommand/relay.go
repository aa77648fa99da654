package tpcommand

import (
	"errors"
	"fmt"
	stdlog "log"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/internal/frame/tplog"
	"teaselpin.example/teaselpin/internal/node/tprelaynode"
	"teaselpin.example/teaselpin/internal/relay/tpintake"
	"teaselpin.example/teaselpin/pkg/tpconfig"
	"teaselpin.example/teaselpin/pkg/tpring"
	"teaselpin.example/teaselpin/platform/tpguest"
)

const (
	// bytesPerMB is the unit of the setting MemoryMB, in bytes.
	bytesPerMB = 1 << 20
)

// Relay runs a node that forwards the requests of a platform's clients to the
// targets that are registered with the platform.
type Relay struct {
	Settings string `long:"settings" env:"TEASELPIN_CONFIG" description:"YAML file of the node's settings" required:"true"`

	env Env
}

// Execute implements flags.Commander. It returns after a graceful stop.
func (c *Relay) Execute([]string) error {
	var cfg tprelaynode.Settings
	if err := readSettings(c.Settings, &cfg); err != nil {
		return err
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(tprelaynode.MemoryLimitFraction * float64(cfg.MemoryMB) * bytesPerMB))
	}
	var rings tpring.Group
	duties, stopDuties := tpduty.NewRunner(tpduty.Settings{})
	defer stopDuties()
	logWriter, stopLog, err := tplog.NewWriter(tplog.Settings{}, c.env.Stdout, duties, &rings)
	if err != nil {
		return err
	}
	defer stopLog()
	stdlog.SetOutput(libraryLog{os.Stderr})
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(logWriter).With().Timestamp().Logger()
	dutyEnded := make(chan struct{}, 1)
	duties.OnPanic(func(p tpduty.Panic) {
		log.Error().Str("event", "panic").Str("duty", p.Duty).Str("value", p.Value).Str("input", p.Input).
			Str("stack", p.Stack).Bool("ended", p.Ended).Send()
		if p.Ended {
			select {
			case dutyEnded <- struct{}{}:
			default: // the node is stopping already
			}
		}
	})

	store, closeStore := tpguest.NewStore(cfg.Store)
	defer closeStore()
	upstream, closeUpstream := tpguest.NewUpstream()
	defer closeUpstream()
	orderClient, closeOrderClient := tpguest.NewOrderClient()
	defer closeOrderClient()
	dutyClient, closeDutyClient := tpguest.NewDutyClient(cfg.DutyAPI)
	defer closeDutyClient()
	var bodies *tpguest.BodyIntake
	var bodyStats func() tpintake.Stats
	if limits := cfg.BodyLimits(); limits.Bytes > 0 {
		bodies = tpguest.NewBodyIntake(limits)
		bodyStats = bodies.Stats
	}
	node, cleanup, err := tprelaynode.New(cfg, tprelaynode.Deps{
		Log: log, Store: store, Viewer: store, Upstream: upstream, Engines: orderClient, DutyAPI: dutyClient,
		Kinds:        tprelaynode.ObjectKinds{Config: tpguest.KindConfig, Targets: tpguest.KindServers},
		DecodeConfig: tpguest.DecodeConfig, DecodeTargets: tpguest.DecodeTargets,
		Front: func(n *tprelaynode.Node) http.Handler {
			return &tpguest.Front{
				Submit: n.Submit, Limits: n.Limits, Closing: n.Closing, Aborted: n.RecordAbort,
				Bodies: bodies, TurnedAway: n.RecordTurnedAway,
			}
		},
		BodyStats: bodyStats,
		Ready:     tpguest.Ready,
		Rings:     &rings, Duties: duties,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(logWriter, "listening %s %s\n", cfg.Front, cfg.Peers)
	err = c.waitForStop(&log, dutyEnded, &settingsFile{path: c.Settings, seeds: cfg.Seeds, setSeeds: node.SetSeeds})
	cleanup()
	return err
}

// errDutyEnded is returned after a duty of the node has ended with a panic. The
// node stops in order, and the platform starts it again.
var errDutyEnded = errors.New("a duty of the node ended with a panic")

// waitForStop returns when the process receives a stop signal or, with an error,
// when a duty has ended. It reads the settings again after a reload signal, and
// now and then without one.
func (c *Relay) waitForStop(log *zerolog.Logger, dutyEnded <-chan struct{}, f *settingsFile) error {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-c.env.Stop:
			return nil
		case <-dutyEnded:
			return Error.Wrap(errDutyEnded)
		case <-c.env.Reload:
			err := f.reload()
			log.Info().Str("event", "reload").Err(err).Send()
		case <-poll.C:
			if changed, err := f.reloadIfChanged(); changed {
				log.Info().Str("event", "settingsChanged").Err(err).Send()
			}
		}
	}
}

// readSettings reads a YAML file into cfg and checks it. It returns an
// error with status ExitInvalid if the settings are invalid.
func readSettings(path string, cfg interface{ Check() error }) error {
	f, err := tpconfig.ReadFile(path)
	if err != nil {
		return err
	}
	if err := tpconfig.Decode(f, cfg); err != nil {
		return &exitError{ExitInvalid, err}
	}
	if err := cfg.Check(); err != nil {
		return &exitError{ExitInvalid, Error.New("%s: %w", path, err)}
	}
	return nil
}
