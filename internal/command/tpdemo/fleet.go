package tpdemo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"teaselpin.example/teaselpin/internal/edge/tpplatform"
	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/internal/node/tpnode"
	"teaselpin.example/teaselpin/internal/request/stage1/tpintake"
	"teaselpin.example/teaselpin/internal/rollout/tprollout"
	"teaselpin.example/teaselpin/internal/standin/tpenginefake"
	"teaselpin.example/teaselpin/internal/standin/tpplatformfake"
	"teaselpin.example/teaselpin/internal/standin/tpservicefake"
	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Error is the class of errors of this package.
var Error = errs.Class("demo")

// Sizes of the embedded fleet.
const (
	engineCount = 4
	nodeCount   = 2
	// ReadyTimeout is the time limit for every node to have a configuration in
	// force.
	ReadyTimeout      = 10 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// organisations are the callers' organisations. The shares are fractions of 1.
var organisations = []tpmessage.Organisation{
	{Name: "agenzia-bergamo", Share: 0.5},
	{Name: "agenzia-verona", Share: 0.3},
	{Name: "agenzia-padova", Share: 0.2},
}

// fleet is the deployment of the demonstration, all in this process.
type fleet struct {
	clock   tpclock.Clock
	nodes   []*tpnode.Node
	stop    []func() // stops a node gracefully; nil once the node is stopped
	engines []*http.Server
	service *tpservicefake.Service
	cleanup []func()
}

// newFleet starts the stand-ins and nodes and waits until the configuration is
// in force on every node. The clean-up function stops all of them.
func newFleet(ctx context.Context, clock tpclock.Clock, log zerolog.Logger) (*fleet, func(), error) {
	f := &fleet{clock: clock, service: &tpservicefake.Service{Name: "booking-0"}}
	if err := f.start(ctx, log); err != nil {
		f.close()
		return nil, nil, err
	}
	return f, f.close, nil
}

func (f *fleet) close() {
	for i := len(f.cleanup) - 1; i >= 0; i-- {
		f.cleanup[i]()
	}
	f.cleanup = nil
}

func (f *fleet) start(ctx context.Context, log zerolog.Logger) error {
	duties, stopDuties := tpduty.NewRunner(tpduty.Settings{})
	f.cleanup = append(f.cleanup, stopDuties)
	_, platform, err := f.serve(duties, "platform", new(tpplatformfake.Platform).Handler())
	if err != nil {
		return err
	}
	cfg, err := f.startTargets(duties)
	if err != nil {
		return err
	}
	store, closeStore := tpplatform.NewClient("http://" + platform)
	defer closeStore()
	if _, err := tprollout.Publish(ctx, store, &cfg, 0, "demo"); err != nil {
		return err
	}
	for i := range nodeCount {
		if err := f.startNode(fmt.Sprintf("node-%d", i), "http://"+platform, log); err != nil {
			return err
		}
	}
	return f.waitReady()
}

func (f *fleet) startTargets(duties *tpduty.Runner) (tpmessage.Config, error) {
	cfg := configuration()
	for i := range engineCount {
		name := fmt.Sprintf("engine-%d", i)
		e, cleanup, err := tpenginefake.New(tpenginefake.Settings{Name: name, Model: "counsel"}, duties)
		if err != nil {
			return cfg, err
		}
		f.cleanup = append(f.cleanup, cleanup)
		srv, address, err := f.serve(duties, name, e.Handler())
		if err != nil {
			return cfg, err
		}
		f.engines = append(f.engines, srv)
		cfg.Pools[0].Targets = append(cfg.Pools[0].Targets, tpmessage.Target{
			Name: name, Address: address, Zone: cfg.Zones[i%len(cfg.Zones)].Name,
		})
	}
	_, address, err := f.serve(duties, f.service.Name, f.service.Handler())
	if err != nil {
		return cfg, err
	}
	cfg.Pools[1].Targets = []tpmessage.Target{{Name: f.service.Name, Address: address, Zone: cfg.Zones[0].Name}}
	return cfg, nil
}

// serve runs a stand-in on a free port of 127.0.0.1 and returns its address.
func (f *fleet) serve(duties *tpduty.Runner, name string, h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", Error.Wrap(err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: ReadyTimeout}
	wait, err := duties.Go(name, func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	})
	if err != nil {
		return nil, "", err
	}
	f.cleanup = append(f.cleanup, func() {
		_ = srv.Close()
		wait()
	})
	return srv, l.Addr().String(), nil
}

func (f *fleet) startNode(name, platform string, log zerolog.Logger) error {
	var seeds []string
	for _, n := range f.nodes {
		seeds = append(seeds, n.PeerAddress())
	}
	n, cleanup, err := tpnode.New(tpnode.Settings{
		Seeds:         seeds,
		Name:          name,
		Region:        "nord-ovest",
		Zone:          "milano-a",
		CallerAddress: "127.0.0.1:0",
		PeerAddress:   "127.0.0.1:0",
		Platform:      platform,
		StopGrace:     100 * time.Millisecond,
	}, tpnode.Deps{Clock: f.clock, Log: &log})
	if err != nil {
		return err
	}
	f.nodes = append(f.nodes, n)
	f.stop = append(f.stop, cleanup)
	number := len(f.stop) - 1
	f.cleanup = append(f.cleanup, func() { f.stopNode(number) })
	return nil
}

// stopNode stops a node gracefully. A second call for the same node has no
// effect.
func (f *fleet) stopNode(number int) {
	if stop := f.stop[number]; stop != nil {
		f.stop[number] = nil
		stop()
	}
}

func (f *fleet) waitReady() error {
	deadline := f.clock.Now().Add(ReadyTimeout)
	for _, n := range f.nodes {
		for n.InForce() == nil {
			if f.clock.Now().After(deadline) {
				return Error.New("a node has no configuration after %v", ReadyTimeout)
			}
			<-f.clock.After(readyPollInterval)
		}
	}
	return nil
}

// configuration returns the configuration of the fleet without targets, whose
// addresses are not known until they serve.
func configuration() tpmessage.Config {
	cfg := tpmessage.Config{
		Deployment: "demo",
		Region:     "nord-ovest",
		Zones:      []tpmessage.Zone{{Name: "milano-a"}, {Name: "milano-b"}, {Name: "verona"}},
		Models:     []tpmessage.Model{{Name: "counsel", Version: "1"}},
		Pools: []tpmessage.Pool{
			{Name: "language", Kind: tpmessage.PoolEngine, Model: "counsel"},
			{Name: "booking", Kind: tpmessage.PoolService},
		},
		Routes: []tpmessage.Route{
			{Path: "/v1/language", Pool: "language", Idempotent: true},
			{Path: "/v1/booking", Pool: "booking"},
		},
	}
	for _, o := range organisations {
		o.TokenHash = tpintake.TokenHash(o.Name)
		cfg.Organisations = append(cfg.Organisations, o)
	}
	return cfg
}
