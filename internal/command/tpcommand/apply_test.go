package tpcommand_test

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"teaselpin.example/teaselpin/internal/command/tpcommand"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/rollout/tprollout"
	"teaselpin.example/teaselpin/internal/standin/tpplatformfake"
)

const (
	exampleBase = "../../../examples/consorzio/base.yaml"
	exampleSite = "../../../examples/consorzio/site.yaml"
)

// teaselpin runs a command and returns its exit status, standard output and
// standard error.
func teaselpin(args ...string) (status int, stdout, stderr string) {
	var out, errs bytes.Buffer
	env := tpcommand.Env{Stdout: &out, Stderr: &errs, Log: zerolog.Nop(), Stop: make(chan os.Signal)}
	status = tpcommand.RunTeaselpin(env, args)
	return status, out.String(), errs.String()
}

// Guards against faulty files, a wrong expected generation or a dry run that
// changes the accepted configuration, and against exit statuses by which a
// script cannot distinguish these cases.
func TestApplyStatuses(t *testing.T) {
	var platform tpplatformfake.Platform
	srv := httptest.NewServer(platform.Handler())
	t.Cleanup(srv.Close)
	base, err := os.ReadFile(exampleBase)
	if err != nil {
		t.Fatal(err)
	}
	write := func(name, old, replacement string) string {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, []byte(strings.Replace(string(base), old, replacement, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	faulty := write("faulty.yaml", "share: 0.25", "share: a quarter")
	changed := write("changed.yaml", "timeout: 30s", "timeout: 31s")
	for _, c := range []struct {
		name       string
		args       []string
		status     int
		generation uint64 // accepted afterwards
		want       string // in either output
	}{
		{"dry run", []string{"--base", exampleBase, "--dry-run"}, tpcommand.ExitOK, 0, "generation 0 stays accepted"},
		{"first", []string{"--base", exampleBase}, tpcommand.ExitOK, 1, "accepted as generation 1"},
		{"unchanged", []string{"--base", exampleBase}, tpcommand.ExitOK, 1, "no change; generation 1 stays accepted"},
		{"faulty", []string{"--base", faulty}, tpcommand.ExitInvalid, 1, "faulty.yaml:88:12: organisations[0].share: want a number"},
		{"no file", []string{"--base", "nowhere.yaml"}, tpcommand.ExitError, 1, "nowhere.yaml"},
		{"changed", []string{"--base", changed, "--expect", "1"}, tpcommand.ExitOK, 2, "~ routes[/v1/language].timeout: 30s -> 31s"},
		{"race", []string{"--base", exampleBase, "--expect", "1"}, tpcommand.ExitRace, 2, "changed by others, now generation 2:\n~ routes[/v1/language].timeout: 30s -> 31s"},
		{"race in a dry run", []string{"--base", exampleBase, "--expect", "1", "--dry-run"}, tpcommand.ExitRace, 2, "expected generation 1, found 2"},
		{"unknown option", []string{"--base", exampleBase, "--force"}, tpcommand.ExitUsage, 2, "force"},
		{"platform away", []string{"--base", changed, "--platform", "http://" + tpprocess.FreeAddress(t)}, tpcommand.ExitUnavailable, 2, "nothing was changed"},
	} {
		args := append([]string{"apply", "--overlay", exampleSite, "--platform", srv.URL}, c.args...)
		status, stdout, stderr := teaselpin(args...)
		if status != c.status || !strings.Contains(stdout+stderr, c.want) {
			t.Errorf("%s: got status %d and\n%s%s\nwant status %d and %q", c.name, status, stdout, stderr, c.status, c.want)
		}
		head, _, err := tprollout.ReadHead(t.Context(), &platform.Store)
		if err != nil || head.Generation != c.generation {
			t.Errorf("%s: accepted generation: got %d and %v, want %d", c.name, head.Generation, err, c.generation)
		}
	}
}

// Guards against a failed command that prints no JSON result.
func TestApplyJSON(t *testing.T) {
	status, stdout, _ := teaselpin("apply", "--base", exampleBase, "--overlay", exampleSite,
		"--platform", "http://"+tpprocess.FreeAddress(t), "--output", "json")
	var got tpcommand.ApplyResult
	if err := json.Unmarshal([]byte(stdout), &got); err != nil {
		t.Fatalf("output %q: %v", stdout, err)
	}
	if status != tpcommand.ExitUnavailable || got.Result != "unavailable" || got.Error == "" {
		t.Errorf("got status %d and %+v, want %d and unavailable with an error", status, got, tpcommand.ExitUnavailable)
	}
}

// Guards against an unreachable node or a port in use that is reported in more
// than one line, or not at all.
func TestOneClearError(t *testing.T) {
	status, _, stderr := teaselpin("status", "--node", tpprocess.FreeAddress(t))
	if status != tpcommand.ExitUnavailable || strings.Count(stderr, "\n") != 1 {
		t.Errorf("status of no node: got status %d and %q, want %d and one line", status, stderr, tpcommand.ExitUnavailable)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	path := filepath.Join(t.TempDir(), "node.yaml")
	settings := "name: a\ncallerAddress: 127.0.0.1:0\npeerAddress: " + l.Addr().String() + "\n"
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	status, _, stderr = teaselpin("serve", "--settings", path)
	if status != tpcommand.ExitError || strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, "address already in use") {
		t.Errorf("port in use: got status %d and %q, want %d and one line", status, stderr, tpcommand.ExitError)
	}
}

// Guards against a node that starts with invalid settings, and against a fault
// that is reported without its position or the expected form.
func TestServeFaultySettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	for settings, want := range map[string]string{
		"name: a\nstopGrace: 2\nspeed: 1\n": path + ":2:12: stopGrace: want a duration with a unit (ns, us, ms, s, m, h) such as 30s, found \"2\"\n" +
			path + ":3:1: unknown field \"speed\"\n",
		"callerAddress: here\nplatform: 10.0.0.1\n": "name: a value is required\ncallerAddress: want host:port, found \"here\"\n" +
			"peerAddress: want host:port, found \"\"\nplatform: want a URL such as http://10.0.0.1:7000, found \"10.0.0.1\"\n",
	} {
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			t.Fatal(err)
		}
		status, _, stderr := teaselpin("serve", "--settings", path)
		if status != tpcommand.ExitInvalid || !strings.HasSuffix(stderr, want) {
			t.Errorf("got status %d and\n%s\nwant status %d and\n%s", status, stderr, tpcommand.ExitInvalid, want)
		}
	}
}

// Guards against a relay node that starts with invalid settings.
func TestRelayFaultySettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "relay.yaml")
	for settings, want := range map[string]string{
		"name: a\nbudget:\n  window: 10\nspeed: 1\n": path + ":3:11: budget.window: want a duration with a unit (ns, us, ms, s, m, h) such as 30s, found \"10\"\n" +
			path + ":4:1: unknown field \"speed\"\n",
		"front: here\nready: 10.0.0.1:1\npeers: 10.0.0.1:2\nstore: 10.0.0.1:3\nseeds: [b]\nprefillPart: 2\nbudget:\n  ratio: -1\n": "name: a value is required\n" +
			"front: want host:port, found \"here\"\nseeds[0]: want host:port, found \"b\"\n" +
			"budget: ratio and slack must not be negative\nprefillPart: want 0 to 1, found 2\n",
	} {
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			t.Fatal(err)
		}
		status, _, stderr := teaselpin("relay", "--settings", path)
		if status != tpcommand.ExitInvalid || !strings.HasSuffix(stderr, want) {
			t.Errorf("got status %d and\n%s\nwant status %d and\n%s", status, stderr, tpcommand.ExitInvalid, want)
		}
	}
}
