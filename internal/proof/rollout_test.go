package proof_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"github.com/goccy/go-yaml"

	"teaselpin.example/teaselpin/internal/command/tpcommand"
	"teaselpin.example/teaselpin/internal/proof/tphistory"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/rollout/tprollout"
	"teaselpin.example/teaselpin/internal/standin/tpplatformfake"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// operators runs the apply command as separate processes and records the
// accepted configurations.
type operators struct {
	t        *testing.T
	fleet    *tpprocess.Fleet
	dir      string
	mu       sync.Mutex
	accepted []tphistory.AcceptedConfig
}

func newOperators(t *testing.T, f *tpprocess.Fleet) *operators {
	return &operators{
		t: t, fleet: f, dir: t.TempDir(),
		accepted: []tphistory.AcceptedConfig{{Author: "test", Generation: 1}},
	}
}

// apply applies a configuration with the given role change weight, by which the
// configurations differ. It returns the command's result and exit status.
func (o *operators) apply(author string, weight float64, args ...string) (tpcommand.ApplyResult, int) {
	o.t.Helper()
	cfg := o.fleet.Config
	cfg.Policy.RoleChangeWeight = weight
	data, err := yaml.Marshal(configFile(&cfg))
	if err != nil {
		o.t.Error(err)
	}
	path := filepath.Join(o.dir, author+".yaml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		o.t.Error(err)
	}
	args = append([]string{
		"apply", "--base", path, "--platform", "http://" + o.fleet.Platform.Addresses[0], "--author", author, "--output", "json",
	}, args...)
	var stdout, stderr bytes.Buffer
	cmd := exec.Command(tpprocess.ProgramPath(o.t, tpprocess.Teaselpin), args...)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	var exit *exec.ExitError
	if err := cmd.Run(); err != nil && !errors.As(err, &exit) {
		o.t.Error(err)
	}
	var result tpcommand.ApplyResult
	if err := json.Unmarshal(stdout.Bytes(), &result); err != nil {
		o.t.Errorf("output of apply by %s: %v\n%s%s", author, err, stdout.String(), stderr.String())
	}
	if result.Result == "accepted" {
		o.mu.Lock()
		o.accepted = append(o.accepted, tphistory.AcceptedConfig{Author: author, Generation: result.Generation})
		o.mu.Unlock()
	}
	return result, cmd.ProcessState.ExitCode()
}

// configFile returns the content of a configuration file. It omits the fields
// that a file must not set to their zero value.
func configFile(cfg *tpmessage.Config) map[string]any {
	var pools []map[string]any
	for _, p := range cfg.Pools {
		pool := map[string]any{"name": p.Name, "kind": p.Kind, "targets": p.Targets}
		if p.Model != "" {
			pool["model"] = p.Model
		}
		pools = append(pools, pool)
	}
	var routes []map[string]any
	for _, r := range cfg.Routes {
		routes = append(routes, map[string]any{"path": r.Path, "pool": r.Pool, "idempotent": r.Idempotent})
	}
	return map[string]any{
		"deployment": cfg.Deployment, "region": cfg.Region, "pools": pools, "routes": routes,
		"zones":         []map[string]any{{"name": cfg.Zones[0].Name}},
		"models":        cfg.Models,
		"organisations": cfg.Organisations,
		"policy":        map[string]any{"roleChangeWeight": cfg.Policy.RoleChangeWeight},
	}
}

// startRecordedFleet starts a fleet and records the configurations that its
// nodes report.
func startRecordedFleet(t *testing.T, nodes int) (*tpprocess.Fleet, *operators, *tphistory.ConfigRecorder) {
	t.Helper()
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 1, Nodes: nodes})
	r := tphistory.NewConfigRecorder(t.Context())
	for _, n := range f.Nodes {
		r.Follow(n.Name, n.Addresses[1], n.Done())
	}
	return f, newOperators(t, f), r
}

// verifyRollout waits until the newest accepted generation is in force on every
// node. It then checks the recorded history and the platform's configuration
// head.
func verifyRollout(t *testing.T, f *tpprocess.Fleet, r *tphistory.ConfigRecorder, o *operators) {
	t.Helper()
	want := uint64(0)
	for _, a := range o.accepted {
		want = max(want, a.Generation)
	}
	for _, n := range f.Nodes {
		tpprocess.Eventually(t, fmt.Sprintf("generation %d on %s", want, n.Name), func() bool { return r.LastGeneration(n.Name) >= want })
	}
	for _, fault := range tphistory.CheckRollout(r.Stop(), o.accepted) {
		t.Error(fault)
	}
	head, _, err := tprollout.ReadHead(t.Context(), f.Client)
	if err != nil || head.Generation != want {
		t.Errorf("configuration head at the end: got generation %d and %v, want %d", head.Generation, err, want)
	}
}

// Guards against two operators whose concurrent apply commands are both
// accepted for one generation, against a rejected command that does not report
// the changes made since the expected generation, and against a rejected
// command that changes the configuration.
func TestRolloutOperatorsRace(t *testing.T) {
	f, o, r := startRecordedFleet(t, 3)
	for round := range 4 {
		expect := fmt.Sprint(o.accepted[len(o.accepted)-1].Generation)
		var wg sync.WaitGroup
		for i := range 4 {
			wg.Go(func() {
				author := fmt.Sprintf("operator-%d-%d", round, i)
				result, status := o.apply(author, float64(1+round*4+i), "--expect", expect)
				switch {
				case result.Result == "accepted" && status == tpcommand.ExitOK:
				case result.Result == "race" && status == tpcommand.ExitRace && len(result.ConcurrentChanges) > 0:
				default:
					t.Errorf("%s: got status %d and %+v, want accepted, or a race with the changes since", author, status, result)
				}
			})
		}
		wg.Wait()
		if got, want := len(o.accepted), round+2; got != want {
			t.Fatalf("accepted configurations after round %d: got %d, want %d", round, got, want)
		}
	}
	verifyRollout(t, f, r, o)
}

// moveWatchersFirst waits until tprollout.WatcherCount nodes watch the
// configuration head, and moves these to the front of f.Nodes.
func moveWatchersFirst(t *testing.T, f *tpprocess.Fleet) {
	t.Helper()
	var watchers, others []*tpprocess.Process
	tpprocess.Eventually(t, "two nodes watch the head", func() bool {
		watchers, others = nil, nil
		for _, n := range f.Nodes {
			s, err := tphistory.Status(t.Context(), n.Addresses[1])
			if err == nil && s.Watching {
				watchers = append(watchers, n)
				continue
			}
			others = append(others, n)
		}
		return len(watchers) == tprollout.WatcherCount
	})
	f.Nodes = append(watchers, others...)
}

// Guards against nodes that receive no new configuration while both watchers
// are unavailable, one paused and one killed. Also guards against a node that
// keeps or returns to an older generation after a pause during which the
// configuration changed, and against a restarted node that uses an older
// generation.
func TestRolloutFrozenAndKilledNode(t *testing.T) {
	f, o, r := startRecordedFleet(t, 4)
	moveWatchersFirst(t, f)
	f.Nodes[0].Pause(t)
	f.Nodes[1].Kill()
	for i := range 3 {
		if result, status := o.apply(fmt.Sprintf("operator-%d", i), float64(i+1)); status != tpcommand.ExitOK {
			t.Fatalf("apply %d: got status %d and %+v", i, status, result)
		}
	}
	for _, n := range f.Nodes[2:] {
		tpprocess.Eventually(t, n.Name+" receives the configuration without the watchers", func() bool { return r.LastGeneration(n.Name) == 4 })
	}
	f.Nodes[0].Resume(t)
	f.Nodes[1] = f.StartNode(t, f.Nodes[1].Name)
	r.Follow(f.Nodes[1].Name, f.Nodes[1].Addresses[1], f.Nodes[1].Done())
	verifyRollout(t, f, r, o)
}

// Guards against a node that is restarted while the platform is down and then
// has no configuration or an older one, against an apply command during the
// outage that reports anything but that the platform is unavailable, and
// against a change after the outage that is lost.
func TestRolloutOutageAndRestart(t *testing.T) {
	f, o, r := startRecordedFleet(t, 3)
	if result, status := o.apply("before", 1); status != tpcommand.ExitOK {
		t.Fatalf("apply: got status %d and %+v", status, result)
	}
	for _, n := range f.Nodes {
		tpprocess.Eventually(t, n.Name+" has generation 2", func() bool { return r.LastGeneration(n.Name) == 2 })
	}
	f.Platform.SetFaults(t, tpplatformfake.Faults{Down: true})
	if result, status := o.apply("during", 2); status != tpcommand.ExitUnavailable || result.Result != "unavailable" {
		t.Errorf("apply during an outage: got status %d and %+v, want %d", status, result, tpcommand.ExitUnavailable)
	}
	f.Nodes[1].Kill()
	seeds := []string{f.Nodes[0].Addresses[1]}
	f.Nodes[1] = f.StartNode(t, f.Nodes[1].Name, seeds...)
	r.Follow(f.Nodes[1].Name, f.Nodes[1].Addresses[1], f.Nodes[1].Done())
	tpprocess.Eventually(t, "the restarted node has generation 2 from a peer", func() bool {
		s, err := tphistory.Status(t.Context(), f.Nodes[1].Addresses[1])
		return err == nil && s.InForce == 2
	})
	f.Platform.SetFaults(t, tpplatformfake.Faults{})
	if result, status := o.apply("after", 3); status != tpcommand.ExitOK {
		t.Errorf("apply after the outage: got status %d and %+v", status, result)
	}
	verifyRollout(t, f, r, o)
}

// Guards against an apply command that reports a failure although its write
// took effect, because the platform's answer was lost.
func TestRolloutLostAnswers(t *testing.T) {
	f, o, r := startRecordedFleet(t, 2)
	for i := range 4 {
		f.Platform.SetFaults(t, tpplatformfake.Faults{LoseWriteAnswers: 1 + i})
		result, status := o.apply(fmt.Sprintf("operator-%d", i), float64(i+1))
		f.Platform.SetFaults(t, tpplatformfake.Faults{})
		if status != tpcommand.ExitOK || result.Generation != uint64(i+2) {
			t.Errorf("apply with %d lost answers: got status %d and %+v, want generation %d", 1+i, status, result, i+2)
		}
	}
	verifyRollout(t, f, r, o)
}
