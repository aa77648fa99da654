package tpprocess

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"teaselpin.example/teaselpin/internal/edge/tpplatform"
	"teaselpin.example/teaselpin/internal/request/stage1/tpintake"
	"teaselpin.example/teaselpin/internal/rollout/tprollout"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Token is the bearer token of the organisation in a fleet's configuration.
const Token = "test-token"

// Fleet is a small deployment of separate processes: nodes, and stand-ins for
// the platform, the engines and the services.
type Fleet struct {
	Platform *Process
	Engines  []*Process
	Services []*Process
	Nodes    []*Process
	Config   tpmessage.Config   // published by StartFleet
	Client   *tpplatform.Client // of the platform

	nodeSettings string
	nodeCommand  []string
}

// FleetSettings configures a fleet.
type FleetSettings struct {
	Engines, Services, Nodes int // number of processes
	// EngineArgs are additional arguments of each stand-in engine.
	EngineArgs []string
	// Configure changes the configuration before it is published, if it is not
	// nil.
	Configure func(*tpmessage.Config)
	// NodeSettings are additional YAML lines in each node's settings file.
	NodeSettings string
	// NodeCommand is the program of a node and its arguments, to which the path
	// of the settings file is appended. Empty means teaselpin serve --settings.
	NodeCommand []string
}

// StartFleet starts the processes and publishes a configuration with the routes
// /v1/language, /v1/booking and /v1/calendar. It returns once every node has
// the configuration in force, and fails the test if a process does not start.
func StartFleet(t testing.TB, s FleetSettings) *Fleet {
	t.Helper()
	f := &Fleet{
		Platform:     Start(t, "platform", Standin, "platform"),
		nodeSettings: s.NodeSettings,
		nodeCommand:  s.NodeCommand,
	}
	client, cleanup := tpplatform.NewClient("http://" + f.Platform.Addresses[0])
	t.Cleanup(cleanup)
	f.Client = client
	language := tpmessage.Pool{Name: "language", Kind: tpmessage.PoolEngine, Model: "counsel"}
	booking := tpmessage.Pool{Name: "booking", Kind: tpmessage.PoolService}
	for i := range s.Engines {
		name := fmt.Sprintf("engine-%d", i)
		p := Start(t, name, Standin, append([]string{"engine", "--name", name}, s.EngineArgs...)...)
		f.Engines = append(f.Engines, p)
		language.Targets = append(language.Targets, tpmessage.Target{Name: name, Address: p.Addresses[0], Zone: "milano-a"})
	}
	for i := range s.Services {
		name := fmt.Sprintf("service-%d", i)
		p := Start(t, name, Standin, "service", "--name", name)
		f.Services = append(f.Services, p)
		booking.Targets = append(booking.Targets, tpmessage.Target{Name: name, Address: p.Addresses[0], Zone: "milano-a"})
	}
	f.Config = tpmessage.Config{
		Deployment: "test",
		Region:     "nord-ovest",
		Zones:      []tpmessage.Zone{{Name: "milano-a"}},
		Models:     []tpmessage.Model{{Name: "counsel", Version: "1"}},
		Pools:      []tpmessage.Pool{language, booking},
		Routes: []tpmessage.Route{
			{Path: "/v1/language", Pool: "language", Idempotent: true},
			{Path: "/v1/booking", Pool: "booking"},
			{Path: "/v1/calendar", Pool: "booking", Idempotent: true},
		},
		Organisations: []tpmessage.Organisation{{Name: "bergamo", Share: 1, TokenHash: tpintake.TokenHash(Token)}},
	}
	if s.Configure != nil {
		s.Configure(&f.Config)
	}
	if _, err := tprollout.Publish(t.Context(), client, &f.Config, 0, "test"); err != nil {
		t.Fatal(err)
	}
	for i := range s.Nodes {
		f.Nodes = append(f.Nodes, f.StartNode(t, fmt.Sprintf("node-%d", i)))
	}
	for _, n := range f.Nodes {
		WaitReady(t, n)
	}
	return f
}

// StartNode starts one node of the fleet and does not add it to f.Nodes. Its
// seeds are the given peer addresses, or those of f.Nodes if none are given.
func (f *Fleet) StartNode(t testing.TB, name string, seeds ...string) *Process {
	t.Helper()
	if len(seeds) == 0 {
		for _, n := range f.Nodes {
			seeds = append(seeds, n.Addresses[1])
		}
	}
	settings := fmt.Sprintf(`name: %s
region: nord-ovest
zone: milano-a
callerAddress: 127.0.0.1:0
peerAddress: 127.0.0.1:0
platform: http://%s
seeds: [%s]
%s`, name, f.Platform.Addresses[0], strings.Join(seeds, ", "), f.nodeSettings)
	path := filepath.Join(t.TempDir(), name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	command := f.nodeCommand
	if len(command) == 0 {
		command = []string{Teaselpin, "serve", "--settings"}
	}
	return Start(t, name, command[0], append(slices.Clone(command[1:]), path)...)
}
