package proof_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/google/uuid"

	"teaselpin.example/teaselpin/internal/edge/tpfront"
	"teaselpin.example/teaselpin/internal/edge/tppeer"
	"teaselpin.example/teaselpin/internal/order/stage3/tporder"
	"teaselpin.example/teaselpin/internal/proof/tphistory"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/standin/tpenginefake"
	"teaselpin.example/teaselpin/pkg/tpconfig"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// deployment is an example in the folder examples, with its full number of
// nodes.
type deployment struct {
	name, token, callPath string
	nodes                 int
	engineArgs            []string // for an initial state that differs from the configured one
}

var deployments = []deployment{
	{"consorzio", "example-token-agenzia-bergamo", "/v1/booking", 8, []string{"--model", "counsellor", "--model-version", "3", "--checks-fencing"}},
	{"naberacka", "", "/v1/swap", 7, []string{"--model", "rota", "--model-version", "4", "--order-read-timeout", "2s"}},
}

// Guards against a fault that shows only in fleets larger than those of the
// other tests, or with the configuration files that operators apply. Both
// examples run at full size: 18 engines, 3 services and 7 or 8 nodes as
// separate processes.
func TestDeployments(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) { d.run(t) })
	}
}

func (d *deployment) run(t *testing.T) {
	f := &tpprocess.Fleet{Platform: tpprocess.Start(t, "platform", tpprocess.Standin, "platform")}
	base := filepath.Join("..", "..", "examples", d.name, "base.yaml")
	overlay := d.startTargets(t, f)
	apply := exec.Command(tpprocess.ProgramPath(t, tpprocess.Teaselpin), "apply", "--base", base, "--overlay", overlay,
		"--platform", "http://"+f.Platform.Addresses[0])
	if out, err := apply.CombinedOutput(); err != nil {
		t.Fatalf("apply: %v\n%s", err, out)
	}
	for i := range d.nodes {
		f.Nodes = append(f.Nodes, f.StartNode(t, fmt.Sprintf("node-%d", i)))
	}
	for _, n := range f.Nodes {
		tpprocess.WaitReady(t, n)
	}
	d.streamThroughAllNodes(t, f)
	d.checkCallRunsOnce(t, f)
	d.waitOrderSettled(t, f)
	for _, n := range f.Nodes {
		if err := n.Stop(t, tpprocess.StartTimeout); err != nil {
			t.Errorf("planned stop of %s: got %v, want status 0", n.Name, err)
		}
	}
}

// startTargets starts the targets of the example. It returns the path of a copy
// of the example's overlay that holds the addresses of these targets.
func (d *deployment) startTargets(t *testing.T, f *tpprocess.Fleet) string {
	t.Helper()
	folder := filepath.Join("..", "..", "examples", d.name)
	base, err := tpconfig.ReadFile(filepath.Join(folder, "base.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	site, err := tpconfig.ReadFile(filepath.Join(folder, "site.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := tpconfig.Load(base, site)
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join(folder, "site.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	overlay := string(data)
	for _, p := range cfg.Pools {
		for _, target := range p.Targets {
			args := append([]string{"engine", "--name", target.Name}, d.engineArgs...)
			if p.Kind == tpmessage.PoolService {
				args = []string{"service", "--name", target.Name}
			}
			proc := tpprocess.Start(t, target.Name, tpprocess.Standin, args...)
			if p.Kind == tpmessage.PoolService {
				f.Services = append(f.Services, proc)
			} else {
				f.Engines = append(f.Engines, proc)
			}
			address := regexp.MustCompile(`(name: ` + target.Name + `\n\s+address: )\S+`)
			overlay = address.ReplaceAllString(overlay, "${1}"+proc.Addresses[0])
		}
	}
	if got, want := fmt.Sprint(len(f.Engines), "+", len(f.Services)), "18+3"; strings.ReplaceAll(got, " ", "") != want {
		t.Fatalf("targets: got %s, want %s", got, want)
	}
	if d.token == "" {
		d.token = regexp.MustCompile(`SHA-256 of "([^"]+)"`).FindStringSubmatch(readFile(t, filepath.Join(folder, "base.yaml")))[1]
	}
	path := filepath.Join(t.TempDir(), "site.yaml")
	if err := os.WriteFile(path, []byte(overlay), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// streamThroughAllNodes checks that each node streams a complete answer.
func (d *deployment) streamThroughAllNodes(t *testing.T, f *tpprocess.Fleet) {
	t.Helper()
	c := tphistory.NewCaller(0, d.token)
	for _, n := range f.Nodes {
		id := uuid.Must(uuid.NewV7()).String()
		body := tpfront.LanguageBody{Prompt: "check one week", MaxTokens: 20, Seed: 3}
		op := c.Stream(t.Context(), n.Addresses[0], "/v1/language", id, body, -1)
		want := ""
		for number := range 5 {
			want += tpenginefake.ChunkText(id, 3, number)
		}
		if op.Outcome != tphistory.OutcomeOK || op.Answer != want {
			t.Errorf("%s: got %s %q (%+v), want ok %q", n.Name, op.Outcome, op.Answer, op.Refusal, want)
		}
	}
}

// checkCallRunsOnce makes a call with the same key through every node and
// checks that the services run it once.
func (d *deployment) checkCallRunsOnce(t *testing.T, f *tpprocess.Fleet) {
	t.Helper()
	c := tphistory.NewCaller(0, d.token)
	key := uuid.Must(uuid.NewV7()).String()
	for _, n := range f.Nodes {
		tpprocess.Eventually(t, "a successful call through "+n.Name, func() bool {
			return c.Call(t.Context(), n.Addresses[0], d.callPath, key, `{"slot":1}`).Outcome == tphistory.OutcomeOK
		})
	}
	runs := 0
	for _, s := range f.Services {
		runs += len(serviceRuns(t, s))
	}
	if want := 1; runs != want {
		t.Errorf("runs of a call with one key through %d nodes: got %d, want %d", len(f.Nodes), runs, want)
	}
}

// waitOrderSettled waits until the event timeline of a node shows an order that
// an engine has carried out.
func (d *deployment) waitOrderSettled(t *testing.T, f *tpprocess.Fleet) {
	t.Helper()
	var addresses []string
	for _, n := range f.Nodes {
		addresses = append(addresses, n.Addresses[1])
	}
	tpprocess.Eventually(t, "an engine has carried out an order", func() bool {
		for _, g := range tppeer.GatherEvents(t.Context(), addresses) {
			for _, e := range g.Events {
				if e.Kind == tporder.EventSettled {
					return true
				}
			}
		}
		return false
	})
}
