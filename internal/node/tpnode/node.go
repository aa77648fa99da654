package tpnode

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"teaselpin.example/teaselpin/internal/edge/tpfront"
	"teaselpin.example/teaselpin/internal/edge/tppeer"
	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/internal/frame/tpevent"
	"teaselpin.example/teaselpin/internal/rollout/tprollout"
	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// Error is the class of the errors that this package returns.
var Error = errs.Class("node")

// Node is a running node of a region.
type Node struct {
	cfg        Settings
	clock      tpclock.Clock
	log        zerolog.Logger
	duties     *tpduty.Runner
	rings      tpring.Group
	events     *tpevent.Recorder
	members    *membership
	rollout    atomic.Pointer[tprollout.Rollout]
	request    *requestPipeline
	journal    *journalPipeline // nil without a platform
	orders     *orderPipeline
	inForce    atomic.Pointer[tpmessage.Snapshot]
	leaving    atomic.Bool // this node is stopping
	gate       gate
	targets    *leavingTargets
	naiveLease bool

	quarantine *quarantine
	callers    *server
	peers      *server
	cleanup    []func()

	statusMu    sync.Mutex
	statusParts map[string]func() any
}

// New starts a node. The clean-up function stops it as planned: it lets every
// request finish before it returns.
func New(cfg Settings, deps Deps) (*Node, func(), error) {
	cfg.setDefaults()
	n := &Node{cfg: cfg, clock: deps.Clock, log: zerolog.Nop(), naiveLease: deps.NaiveLease}
	if n.clock == nil {
		n.clock = tpclock.System{}
	}
	if deps.Log != nil {
		n.log = *deps.Log
	}
	if err := n.start(); err != nil {
		n.stop()
		return nil, nil, err
	}
	n.log.Info().Str("node", cfg.Name).Str("callers", n.CallerAddress()).Str("peers", n.PeerAddress()).Msg("node started")
	return n, n.stop, nil
}

// onStop adds a clean-up function. The clean-up functions run in reverse order.
func (n *Node) onStop(f func()) { n.cleanup = append(n.cleanup, f) }

func (n *Node) start() error {
	duties, stopDuties := tpduty.NewRunner(tpduty.Settings{})
	n.duties = duties
	n.onStop(stopDuties)
	events, stopEvents, err := tpevent.NewRecorder(
		tpevent.Settings{Process: n.cfg.Name, Clock: n.clock}, duties, &n.rings)
	if err != nil {
		return err
	}
	n.events = events
	n.onStop(stopEvents)
	if err := n.startLeaving(); err != nil {
		return err
	}
	if err := n.startMembership(); err != nil {
		return err
	}
	if err := n.startQuarantine(); err != nil {
		return err
	}
	if err := n.startRequestPipeline(); err != nil {
		return err
	}
	if err := n.startQuarantineObject(); err != nil {
		return err
	}
	if err := n.startOrders(); err != nil {
		return err
	}
	if err := n.startServers(); err != nil {
		return err
	}
	n.joinMembers()
	return n.startRollout()
}

// Apply puts a configuration in force. It ignores a snapshot whose generation
// is not above that of the configuration in force. It must not be called
// concurrently. The rollout duty calls it.
func (n *Node) Apply(s *tpmessage.Snapshot) {
	if current := n.inForce.Load(); current != nil && s.Generation <= current.Generation {
		return
	}
	n.inForce.Store(s)
	n.request.apply(s)
	_ = n.targets.in.Put(targetInput{config: &s.Config})
	n.orders.apply(s)
	n.events.Record(tpmessage.Event{Kind: "configurationInForce", Generation: s.Generation})
	n.log.Info().Uint64("generation", s.Generation).Msg("configuration in force")
}

// InForce returns the configuration in force, or nil if there is none yet.
func (n *Node) InForce() *tpmessage.Snapshot { return n.inForce.Load() }

// CallerAddress returns the host:port on which the node serves callers.
func (n *Node) CallerAddress() string { return n.callers.address() }

// PeerAddress returns the host:port on which the node serves peers and
// operators.
func (n *Node) PeerAddress() string { return n.peers.address() }

// server is one HTTP server of the node.
type server struct {
	listener net.Listener
	srv      *http.Server
}

func (s *server) address() string {
	if s == nil {
		return ""
	}
	return s.listener.Addr().String()
}

func (n *Node) startServers() error {
	peers, err := n.serve("peers", n.cfg.PeerAddress, n.peerHandler())
	if err != nil {
		return err
	}
	n.peers = peers
	front := &tpfront.Handler{Clock: n.clock, InForce: n.InForce, Submit: n.submit}
	callers, err := n.serve("callers", n.cfg.CallerAddress, n.countRequests(front))
	if err != nil {
		return err
	}
	n.callers = callers
	return nil
}

// serve starts one server. Its clean-up waits for the requests in progress.
func (n *Node) serve(name, address string, h http.Handler) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Error.New("listen for %s: %w", name, err)
	}
	s := &server{listener: l, srv: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    DefaultMaxHeaderBytes,
		IdleTimeout:       idleTimeout,
	}}
	wait, err := n.duties.Go(name, func() {
		if err := s.srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			n.log.Error().Err(err).Str("server", name).Msg("server ended")
		}
	})
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	n.onStop(func() {
		_ = s.srv.Shutdown(context.Background())
		wait()
	})
	return s, nil
}

func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(tppeer.MembersPath, n.membersServer().Handler())
	mux.Handle(tppeer.RolloutPath, n.rolloutServer().Handler())
	mux.Handle(tppeer.OperationsPath, n.operationsServer().Handler())
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if n.leaving.Load() || n.InForce() == nil {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		vars := expvar.Map{}
		vars.Set("rings", n.rings.Var())
		vars.Set("duties", n.duties.Var())
		vars.Set("request", n.request.vars())
		vars.Set("refusals", &n.request.refusals)
		vars.Set("orders", n.orders.vars())
		vars.Set("journal", n.journal.vars())
		_, _ = w.Write([]byte(vars.String()))
	})
	n.handleJournalPeers(mux)
	return mux
}

// Rings returns the capacities and counters of the node's rings by name.
func (n *Node) Rings() map[string]tpring.Stats { return n.rings.Stats() }
