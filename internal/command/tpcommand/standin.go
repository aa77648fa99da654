package tpcommand

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/internal/standin/tpenginefake"
	"teaselpin.example/teaselpin/internal/standin/tpplatformfake"
	"teaselpin.example/teaselpin/internal/standin/tpservicefake"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// RunStandin runs the program teaselpin-standin and returns its exit status.
func RunStandin(env Env, args []string) int {
	return run(env, "teaselpin-standin", args, []subcommand{
		{"platform", "Run a stand-in platform", "Serves the object API and the list of VMs.", &Platform{env: env}},
		{"engine", "Run a stand-in engine", "Serves language requests.", &Engine{env: env}},
		{"service", "Run a stand-in service", "Serves calls and records each run.", &Service{env: env}},
	})
}

// Listen is the option for the listen address, which the stand-ins embed.
type Listen struct {
	Listen string `long:"listen" description:"host:port to serve" default:"127.0.0.1:0"`
}

// Platform runs a stand-in platform until the stop signal.
type Platform struct {
	Listen

	env Env
}

// Execute implements flags.Commander.
func (c *Platform) Execute([]string) error {
	return serveStandin(c.env, c.Listen.Listen, new(tpplatformfake.Platform).Handler())
}

// Engine runs a stand-in engine until the stop signal.
type Engine struct {
	Listen
	Name  string        `long:"name" description:"name of the target" required:"true"`
	Model string        `long:"model" description:"model that is loaded"`
	Step  time.Duration `long:"step" description:"time of one batch step" default:"5ms"`

	Version          string        `long:"model-version" description:"version of the model that is loaded"`
	ChecksFencing    bool          `long:"checks-fencing" description:"refuse orders with an older fencing number"`
	OrderReadTimeout time.Duration `long:"order-read-timeout" description:"time from 100 Continue to the end of an order's body"`
	ChangeTime       time.Duration `long:"change-time" description:"time for which a change takes the engine away" default:"100ms"`
	ContinueDelay    time.Duration `long:"continue-delay" description:"time from an order's head to 100 Continue"`
	CrashChanges     int           `long:"crash-changes" description:"number of next changes in which the engine crashes"`
	MaxBatch         int           `long:"max-batch" description:"streams that decode at the same time"`
	Cuts             int           `long:"cuts" description:"number of next streams to cut, -1 for all"`
	CutAfter         int           `long:"cut-after" description:"chunks sent before a cut"`
	Delay            time.Duration `long:"delay" description:"time added before each chunk"`
	Poison           string        `long:"poison" description:"a prompt with this text crashes the process"`
	LoadLag          time.Duration `long:"load-lag" description:"age that load reports reach"`
	CacheLag         time.Duration `long:"cache-lag" description:"age from which cache events are told"`
	CacheGap         int           `long:"cache-gap" description:"each n-th cache event is never told"`

	env Env
}

// Execute implements flags.Commander.
func (c *Engine) Execute([]string) error {
	duties, stop := tpduty.NewRunner(tpduty.Settings{})
	defer stop()
	e, cleanup, err := tpenginefake.New(tpenginefake.Settings{
		Name: c.Name, Model: c.Model, Step: c.Step, MaxBatch: c.MaxBatch,
		Faults: tpenginefake.Faults{
			Cuts: c.Cuts, CutAfter: c.CutAfter, Delay: c.Delay, Poison: c.Poison,
			LoadLag: c.LoadLag, CacheLag: c.CacheLag, CacheGap: c.CacheGap,
		},
	}, duties)
	if err != nil {
		return err
	}
	defer cleanup()
	return serveStandin(c.env, c.Listen.Listen, tpenginefake.NewOrders(c.orderSettings(), e))
}

func (c *Engine) orderSettings() tpenginefake.OrderSettings {
	return tpenginefake.OrderSettings{
		InitialState:  tpmessage.EngineState{Model: c.Model, Version: c.Version},
		ChecksFencing: c.ChecksFencing,
		ReadTimeout:   c.OrderReadTimeout,
		ChangeTime:    c.ChangeTime,
		Faults:        tpenginefake.OrderFaults{ContinueDelay: c.ContinueDelay, CrashChanges: c.CrashChanges},
	}
}

// Service runs a stand-in service until the stop signal.
type Service struct {
	Listen
	Name string `long:"name" description:"name of the target" required:"true"`

	env Env
}

// Execute implements flags.Commander.
func (c *Service) Execute([]string) error {
	return serveStandin(c.env, c.Listen.Listen, (&tpservicefake.Service{Name: c.Name}).Handler())
}

// serveStandin prints "listening HOST:PORT" and serves until the stop signal.
// If address has port 0, the printed port is the one that the system has
// assigned.
func serveStandin(env Env, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	fmt.Fprintln(env.Stdout, "listening", l.Addr())
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-env.Stop
		_ = srv.Shutdown(context.Background())
	}()
	if err := srv.Serve(l); err != http.ErrServerClosed {
		return Error.Wrap(err)
	}
	return nil
}
