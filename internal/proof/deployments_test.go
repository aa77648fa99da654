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

// deployment is one of the two examples at its real size.
type deployment struct {
	name, token, call string
	nodes             int
	engineArgs        []string // a state that differs from the wanted one
}

var deployments = []deployment{
	{"consorzio", "example-token-agenzia-bergamo", "/v1/booking", 8, []string{"--model", "counsellor", "--model-version", "3", "--checks-fencing"}},
	{"naberacka", "", "/v1/swap", 7, []string{"--model", "rota", "--model-version", "4", "--order-read-timeout", "2s"}},
}

// Guards against a path that holds only for the small fleets of the other
// tests: both examples run at their real size, with the files that operators
// apply, 18 engines, 3 services and 7 or 8 nodes as separate processes.
func TestDeployments(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) { d.run(t) })
	}
}

func (d *deployment) run(t *testing.T) {
	f := &tpprocess.Fleet{Platform: tpprocess.Start(t, "platform", tpprocess.Standin, "platform")}
	base := filepath.Join("..", "..", "examples", d.name, "base.yaml")
	overlay := d.startTargets(t, f)
	apply := exec.Command(tpprocess.Path(t, tpprocess.Teaselpin), "apply", "--base", base, "--overlay", overlay,
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
	d.ask(t, f)
	d.book(t, f)
	d.seeOrder(t, f)
	for _, n := range f.Nodes {
		if err := n.Stop(t, tpprocess.StartTimeout); err != nil {
			t.Errorf("planned stop of %s: got %v, want status 0", n.Name, err)
		}
	}
}

// startTargets starts the targets of the example and returns its overlay with
// their addresses.
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
		d.token = regexp.MustCompile(`SHA-256 of "([^"]+)"`).FindStringSubmatch(readText(t, filepath.Join(folder, "base.yaml")))[1]
	}
	path := filepath.Join(t.TempDir(), "site.yaml")
	if err := os.WriteFile(path, []byte(overlay), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func readText(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// ask streams one answer through each node.
func (d *deployment) ask(t *testing.T, f *tpprocess.Fleet) {
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
		if op.Outcome != tphistory.OK || op.Answer != want {
			t.Errorf("%s: got %s %q (%+v), want ok %q", n.Name, op.Outcome, op.Answer, op.Refusal, want)
		}
	}
}

// book makes one call through every node with one key; it runs once.
func (d *deployment) book(t *testing.T, f *tpprocess.Fleet) {
	t.Helper()
	c := tphistory.NewCaller(0, d.token)
	key := uuid.Must(uuid.NewV7()).String()
	for _, n := range f.Nodes {
		tpprocess.Eventually(t, "a call through "+n.Name, func() bool {
			return c.Call(t.Context(), n.Addresses[0], d.call, key, `{"slot":1}`).Outcome == tphistory.OK
		})
	}
	runs := 0
	for _, s := range f.Services {
		runs += len(serviceRuns(t, s))
	}
	if want := 1; runs != want {
		t.Errorf("runs of one key through %d nodes: got %d, want %d", len(f.Nodes), runs, want)
	}
}

// seeOrder waits for a settled order on the merged timeline.
func (d *deployment) seeOrder(t *testing.T, f *tpprocess.Fleet) {
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
