package tprelaynode

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"teaselpin.example/teaselpin/internal/edge/tppeer"
	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/internal/relay/stage1/tproute"
	"teaselpin.example/teaselpin/internal/relay/stage3/tprelay"
	"teaselpin.example/teaselpin/internal/relay/tpholder"
	"teaselpin.example/teaselpin/internal/relay/tpintake"
	"teaselpin.example/teaselpin/internal/relay/tprolecontrol"
	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const (
	// readHeaderTimeout and idleTimeout exceed the limits that the
	// configuration sets for clients. The first client may connect before the
	// node has a configuration.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 60 * time.Second
	// exitReserve is the end of the grace period, which the process needs to
	// exit after its last request.
	exitReserve = 400 * time.Millisecond
	// maxHeaderBytes exceeds the limit that the configuration sets for clients.
	maxHeaderBytes = 64 << 10
)

// Error is the class of the errors that this package returns.
var Error = errs.Class("relay node")

// ObjectKinds names the kinds of objects that the node follows.
type ObjectKinds struct {
	Config  string // kind that holds the configuration
	Targets string // kind that holds the registrations
}

// Deps are the parts through which a node reaches other systems. If Clock or
// LeaseClock is nil, the node uses a clock of the operating system. The zero
// value of Log discards all lines.
type Deps struct {
	Clock tpclock.Clock
	// LeaseClock also advances while the machine is suspended.
	LeaseClock tpclock.Clock
	Log        zerolog.Logger
	Store      tpobject.Store
	Viewer     tpobject.Viewer
	Upstream   tprelay.Upstream
	Engines    tprolecontrol.Engines
	// DutyAPI may be nil if the settings name no duty.
	DutyAPI tpholder.API
	// Kinds names the kinds of objects to follow.
	Kinds ObjectKinds
	// DecodeConfig and DecodeTargets decode the objects of the two kinds.
	// DecodeTargets returns one error for each registration that it cannot
	// read.
	DecodeConfig  func([]tpobject.Object) (*tpmessage.RelayConfig, error)
	DecodeTargets func([]tpobject.Object) ([]tpmessage.RelayTarget, []error)
	// Front returns the handler of clients' requests.
	Front func(*Node) http.Handler
	// BodyStats returns the metrics of the bodies that the front holds. It may be
	// nil.
	BodyStats func() tpintake.Stats
	// Ready returns the handler of the load balancer's readiness check.
	Ready func(ready func() bool) http.Handler
	// Rings and Duties are shared with the parts of the process that start
	// before the node.
	Rings  *tpring.Group
	Duties *tpduty.Runner
}

// Node is a running node that relays requests.
type Node struct {
	cfg   Settings
	deps  Deps
	clock tpclock.Clock
	// leaseClock is the clock for the end of the lease's authority.
	leaseClock tpclock.Clock
	log        zerolog.Logger
	table      atomic.Pointer[tproute.Table]
	leaving    atomic.Bool
	// dutyTerm is the node's term over the lease, for calls to the duty API. It
	// is nil until the lease has changed for the first time.
	dutyTerm     atomic.Pointer[tpholder.Term]
	started      time.Time
	stopDeadline time.Time // servers close requests in progress at this time
	// drainsUntil is stopDeadline once the node accepts no new connections, and
	// nil before.
	drainsUntil atomic.Pointer[time.Time]
	random      *rand.Rand

	placement *placementFilter
	objects   *objectFilter
	members   *members
	roles     *roleFilter
	scale     *scaleFilter
	// quarantines stores the quarantines of the placement filter's guard.
	quarantines *quarantineFilter
	contacts    *contactFilter
	usage       *usageFilter // nil without the duty
	relay       *tprelay.Relay
	front       *http.Server
	latency     latencyHistograms
	access      accessState
	keyUses     keyUses
	connBounds  map[string]*connBound // by server; not changed after the start
	cleanup     []func()
}

// New starts a node. The clean-up function stops it as planned: it lets the
// requests in progress finish, within the grace period, before it returns.
func New(cfg Settings, deps Deps) (*Node, func(), error) {
	cfg.setDefaults()
	n := &Node{cfg: cfg, deps: deps, clock: deps.Clock, log: deps.Log}
	if n.clock == nil {
		n.clock = tpclock.System{}
	}
	n.leaseClock = deps.LeaseClock
	if n.leaseClock == nil {
		n.leaseClock = &tpclock.BootTime{}
	}
	n.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	n.started = n.clock.Now()
	n.connBounds = make(map[string]*connBound)
	if err := n.start(); err != nil {
		n.stop()
		return nil, nil, err
	}
	n.log.Info().Str("event", "start").Str("node", cfg.Name).Str("zone", cfg.Zone).Str("front", cfg.Front).Send()
	return n, n.stop, nil
}

func (n *Node) start() error {
	// The filters put values into each other's rings, so all rings must exist
	// before the first filter starts.
	n.placement = newPlacementFilter(n)
	n.members = newMembers(n)
	n.objects = newObjectFilter(n)
	n.roles = newRoleFilter(n)
	n.scale = newScaleFilter(n)
	n.quarantines = newQuarantineFilter(n)
	n.contacts = newContactFilter(n)
	n.usage = newUsageFilter(n)
	steps := []func() error{n.startUsage, n.startPlacement, n.startQuarantines, n.startContacts, n.startMembers, n.startScale, n.startObjects, n.startRoles, n.startServers}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// onStop adds a clean-up function. The clean-up functions run in reverse order.
func (n *Node) onStop(f func()) { n.cleanup = append(n.cleanup, f) }

// startFilter starts a filter that runs until the node stops.
func startFilter[T any](n *Node, name string, in *tpring.Ring[T], handle func(T)) error {
	cleanup, err := tpduty.StartFilter(n.deps.Duties, name, in, handle)
	if err != nil {
		return err
	}
	n.onStop(cleanup)
	return nil
}

// startTimer starts a duty that calls f until the node stops, each time after
// the delay that the last call returned.
func (n *Node) startTimer(name string, f func() time.Duration) error {
	cleanup, err := tpduty.StartTimer(n.deps.Duties, name, n.clock, f)
	if err != nil {
		return err
	}
	n.onStop(cleanup)
	return nil
}

// Ready reports whether the node accepts requests: it is not stopping and knows
// a configuration and the registered targets.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.table.Load() != nil && n.objects.targetsKnown.Load()
}

// joining reports whether the node has just started and may not know most of
// the members yet. The seeds know their rank no better, but the other nodes
// learn the objects of the platform from them.
func (n *Node) joining(running time.Duration) bool {
	return len(n.cfg.Seeds) > 0 && !slices.Contains(n.cfg.Seeds, n.cfg.Peers) && running < firstContactDelay
}

// Closing reports whether the planned stop has begun.
func (n *Node) Closing() bool { return n.leaving.Load() }

// RecordAbort logs a request whose client got no complete answer. Left reports
// whether the client had disconnected before.
func (n *Node) RecordAbort(requestID string, err error, left bool) {
	n.log.Info().Str("event", "aborted").Str("request", requestID).Bool("left", left).Bool("leaving", n.leaving.Load()).Err(err).Send()
}

// Limits returns the limits of the configuration in force. Without a
// configuration it returns the zero value.
func (n *Node) Limits() tpmessage.RelayLimits {
	if t := n.table.Load(); t != nil {
		return t.Config.Limits
	}
	return tpmessage.RelayLimits{}
}

func (n *Node) startServers() error {
	peers := http.NewServeMux()
	server := &tppeer.MembersServer{Receive: n.members.receive, LookupView: n.objects.heldView}
	if n.usage != nil {
		server.AnswerUsage = n.usage.receive
	}
	peers.Handle(tppeer.MembersPath, server.Handler())
	limits := n.cfg.connLimits()
	if _, err := n.serve("peers", n.cfg.Peers, limits.peers, http.MaxBytesHandler(peers, tppeer.MaxMessageBytes)); err != nil {
		return err
	}
	if n.cfg.Metrics != "" {
		if _, err := n.serve("metrics", n.cfg.Metrics, limits.metrics, n.metrics()); err != nil {
			return err
		}
	}
	if _, err := n.serve("ready", n.cfg.Ready, limits.ready, n.deps.Ready(n.Ready)); err != nil {
		return err
	}
	front, err := n.serve("front", n.cfg.Front, limits.front, n.deps.Front(n))
	n.front = front
	return err
}

// serve starts one server. MaxConns bounds its connections; zero means no bound.
// Its clean-up accepts no new connections, waits for the first requests on those
// that it has accepted, and for the requests in progress until stopDeadline, and
// then closes their connections.
func (n *Node) serve(name, address string, maxConns int, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Error.New("listen for %s: %w", name, err)
	}
	var unused newConns
	track := unused.track
	if maxConns > 0 {
		bound := newConnBound(n.clock, maxConns, func(address, reason string) {
			n.log.Info().Str("event", "connectionTurnedAway").Str("server", name).Str("address", address).Str("reason", reason).Send()
		})
		n.connBounds[name] = bound
		l = &boundedListener{Listener: l, bound: bound}
		h = bound.handler(h)
		track = func(c net.Conn, state http.ConnState) {
			unused.track(c, state)
			bound.track(c, state)
		}
	}
	srv := &http.Server{
		Handler: unused.handler(h), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
		ConnState: track, ConnContext: unused.withConn,
	}
	srv.RegisterOnShutdown(unused.close)
	wait, err := n.deps.Duties.Go(name, func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			n.log.Error().Str("event", "serverEnded").Str("server", name).Err(err).Send()
		}
	})
	if err != nil {
		l.Close()
		return nil, err
	}
	n.onStop(func() {
		_ = l.Close() // fails only after an error of Serve, which was logged
		unused.wait(n.clock.After(firstRequestTimeout))
		ctx, cancel := context.WithDeadline(context.Background(), n.stopDeadline)
		defer cancel()
		if err := srv.Shutdown(ctx); err != nil {
			n.log.Warn().Str("event", "serverCut").Str("server", name).Err(errs.Combine(err, srv.Close())).Send()
		}
		wait()
	})
	return srv, nil
}

// stop is the planned stop. The node first reports that it is not ready and
// still serves the requests that arrive during StopDelay. It then closes its
// idle connections and finishes the requests in progress. Of the requests that
// still arrive on its connections, it takes those that end before stopDeadline.
func (n *Node) stop() {
	n.leaving.Store(true)
	n.stopDeadline = n.clock.Now().Add(n.cfg.StopGrace - exitReserve)
	n.log.Info().Str("event", "leaving").Str("node", n.cfg.Name).Send()
	if n.front != nil {
		<-n.clock.After(n.cfg.StopDelay)
	}
	n.drainsUntil.Store(&n.stopDeadline)
	for i := len(n.cleanup) - 1; i >= 0; i-- {
		n.cleanup[i]()
	}
	n.cleanup = nil
	n.log.Info().Str("event", "stop").Str("node", n.cfg.Name).Send()
}

// metrics returns a handler that serves the counters as JSON.
func (n *Node) metrics() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		vars := expvar.Map{}
		vars.Set("rings", n.deps.Rings.Var())
		vars.Set("duties", n.deps.Duties.Var())
		vars.Set("relay", n.counters())
		vars.Set("latency", n.latency.metricsVar())
		vars.Set("follow", n.objects.metricsVar())
		if n.cfg.DutyAPI != "" {
			vars.Set("dutyHolder", expvar.Func(func() any {
				holder, held := n.dutyHolder()
				return map[string]any{"held": held, "fencing": holder.Fencing}
			}))
		}
		if n.cfg.isBounded() {
			vars.Set("intake", n.intakeVar())
		}
		if n.usage != nil {
			vars.Set("usage", n.usage.metricsVar())
		}
		if n.scale.enabled {
			vars.Set("scale", n.scale.metricsVar())
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(vars.String()))
	})
}

func (n *Node) counters() expvar.Var {
	c := n.relay.Counters
	return expvar.Func(func() any {
		counters := map[string]uint64{
			"requests": c.Requests.Load(), "prefills": c.Prefills.Load(), "runs": c.Runs.Load(),
			"calls": c.Calls.Load(), "retries": c.Retries.Load(), "resumes": c.Resumes.Load(),
			"refused": c.Refused.Load(), "unknown": c.Unknown.Load(), "broken": c.Broken.Load(), "left": c.Disconnected.Load(),
			"panics": c.Panics.Load(), "quarantined": c.Quarantined.Load(),
		}
		n.addAccessCounters(counters)
		return counters
	})
}
