package tpconfig_test

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"teaselpin.example/teaselpin/pkg/tpconfig"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

func loadExample(t testing.TB, deployment string) tpmessage.Config {
	t.Helper()
	var files []tpconfig.File
	for _, name := range []string{"base.yaml", "site.yaml"} {
		f, err := tpconfig.ReadFile(filepath.Join("..", "..", "examples", deployment, name))
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, f)
	}
	cfg, err := tpconfig.Load(files[0], files[1])
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// Guards against example configurations that do not load or do not have the
// real numbers of zones and targets, and against an overlay that is not merged
// into the entries of nested lists.
func TestExamples(t *testing.T) {
	for deployment, want := range map[string]tpmessage.Zone{
		"consorzio": {Name: "milano-a", OneWayLatency: 1500 * time.Microsecond},
		"naberacka": {Name: "cz-central-a", OneWayLatency: time.Millisecond},
	} {
		cfg := loadExample(t, deployment)
		if got := len(cfg.Zones); got != 3 {
			t.Errorf("%s: got %d zones, want 3", deployment, got)
		}
		if got := cfg.Zones[0]; got != want {
			t.Errorf("%s: got first zone %+v, want %+v", deployment, got, want)
		}
		if got := []int{len(cfg.Pools[0].Targets), len(cfg.Pools[1].Targets)}; !slices.Equal(got, []int{18, 3}) {
			t.Errorf("%s: got %v targets, want 18 and 3", deployment, got)
		}
		for _, target := range cfg.Pools[0].Targets {
			if target.Address == "" || target.Zone == "" {
				t.Errorf("%s: target %+v has no address or no zone, which base and overlay set", deployment, target)
			}
		}
	}
}

// validConfig is a small configuration without faults. TestFaults replaces
// parts of it and expects faults at fixed lines and columns.
const validConfig = `deployment: test
region: nord-ovest
zones:
  - name: milano-a
    oneWayLatency: 1ms
models:
  - name: counsel
    version: "1"
engineTypes:
  - name: fenced
    checksFencing: true
  - name: loose
pools:
  - name: language
    kind: engine
    engineType: fenced
    model: counsel
    roles: {prefill: 1}
    targets:
      - name: engine-1
        address: 127.0.0.1:7101
        zone: milano-a
  - name: booking
    kind: service
    targets:
      - name: booking-1
        address: 127.0.0.1:7102
        zone: milano-a
routes:
  - path: /v1/language
    pool: language
    idempotent: true
    timeout: 30s
organisations:
  - name: bergamo
    share: 0.5
    tokenHash: 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b
  - name: verona
    share: 0.5
    tokenHash: 6ca13d52ca70c883e0f0bb101e425a89e8624de51db2d2392593af6a84118090
drains: [engine-1]
`

// Guards against a fault that is not reported, and against a message with a
// wrong position.
func TestFaults(t *testing.T) {
	cases := []struct{ name, old, replacement, want string }{
		{"unknown field", "    model: counsel\n", "    mdl: counsel\n", `base.yaml:17:5: unknown field "pools[0].mdl"`},
		{"missing unit", "timeout: 30s", "timeout: 30", `base.yaml:33:14: routes[0].timeout: want a duration with a unit (ns, us, ms, s, m, h) such as 30s, found "30"`},
		{"wrong unit", "timeout: 30s", "timeout: 30 seconds", `base.yaml:33:14: routes[0].timeout: want a duration with a unit (ns, us, ms, s, m, h) such as 30s, found "30 seconds"`},
		{"wrong type", "idempotent: true", "idempotent: 3", `base.yaml:32:17: routes[0].idempotent: want true or false, found "3"`},
		{"shares", "share: 0.5\n    tokenHash: 2", "share: 0.4\n    tokenHash: 2", `base.yaml:35:3: organisations: the shares add up to 0.9, want 1`},
		{"unknown pool", "pool: language", "pool: langage", `base.yaml:31:11: routes[0].pool: unknown pool "langage"`},
		{"unknown target", "drains: [engine-1]", "drains: [engine-2]", `base.yaml:41:10: drains[0]: unknown target "engine-2"`},
		{"unknown zone", "7101\n        zone: milano-a", "7101\n        zone: milano-b", `base.yaml:22:15: pools[0].targets[0].zone: unknown availability zone "milano-b"`},
		{"unknown engine type", "engineType: fenced", "engineType: fence", `base.yaml:16:17: pools[0].engineType: unknown engine type "fence"`},
		{"unknown model", "model: counsel", "model: counsl", `base.yaml:17:12: pools[0].model: unknown model "counsl"`},
		{"unsafe roles", "engineType: fenced", "engineType: loose", `base.yaml:18:12: pools[0].roles: needs an engine type that declares checksFencing or orderReadTimeout; otherwise an order from a former lease holder could still take effect`},
		{"unsafe automatic orders", "    engineType: fenced\n    model: counsel\n    roles: {prefill: 1}\n", "    automaticRoles: true\n", `base.yaml:16:21: pools[0].automaticRoles: needs an engine type that declares checksFencing or orderReadTimeout; otherwise an order from a former lease holder could still take effect`},
		{"duplicate in a list", "- name: verona", "- name: bergamo", `base.yaml:38:5: "bergamo" is already defined in line 35`},
		{"duplicate target", "- name: booking-1", "- name: engine-1", `base.yaml:26:15: pools[1].targets[0].name: "engine-1" is already used by pools[0].targets[0].name`},
		{"duplicate field", "region: nord-ovest", "region: a\nregion: b", `base.yaml:3:1: `},
		{"missing address", "        address: 127.0.0.1:7102\n", "", `base.yaml:26:9: pools[1].targets[0].address: a value is required`},
		{"bad address", "127.0.0.1:7102", "127.0.0.1", `base.yaml:27:18: pools[1].targets[0].address: want host:port, found "127.0.0.1"`},
		{"syntax", "zones:\n", "zones: [\n", `base.yaml:`},
		{"alias", "deployment: test", "deployment: &a test", `base.yaml:1:13: anchors, aliases, tags and merge keys are not supported`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(validConfig, c.old, c.replacement, 1)
			if text == validConfig {
				t.Fatalf("%q is not in the configuration", c.old)
			}
			_, err := tpconfig.Load(tpconfig.File{Name: "base.yaml", Data: []byte(text)})
			var faults tpconfig.Faults
			if !errors.As(err, &faults) {
				t.Fatalf("got %v, want faults", err)
			}
			if !slices.ContainsFunc(faults, func(f tpconfig.Fault) bool { return strings.HasPrefix(f.String(), c.want) }) {
				t.Errorf("got\n%v\nwant\n%s", err, c.want)
			}
		})
	}
	if _, err := tpconfig.Load(tpconfig.File{Name: "base.yaml", Data: []byte(validConfig)}); err != nil {
		t.Errorf("without a fault: got %v", err)
	}
}

// Guards against a check that stops at the first fault or file, and against an
// overlay that hides a fault of the base.
func TestAllFaultsAtOnce(t *testing.T) {
	base := strings.Replace(validConfig, "timeout: 30s", "timeout: 30", 1)
	base = strings.Replace(base, "region: nord-ovest", "regin: nord-ovest", 1)
	overlay := "routes:\n  - path: /v1/language\n    pool: nowhere\n    timeout: 10s\nspeed: 3\n"
	_, err := tpconfig.Load(tpconfig.File{Name: "base.yaml", Data: []byte(base)}, tpconfig.File{Name: "site.yaml", Data: []byte(overlay)})
	want := strings.Join([]string{
		"base.yaml:1:1: region: a value is required",
		`base.yaml:2:1: unknown field "regin"`,
		`base.yaml:33:14: routes[0].timeout: want a duration with a unit (ns, us, ms, s, m, h) such as 30s, found "30"`,
		`site.yaml:3:11: routes[0].pool: unknown pool "nowhere"`,
		`site.yaml:5:1: unknown field "speed"`,
	}, "\n")
	if err == nil || err.Error() != want {
		t.Errorf("got\n%v\nwant\n%s", err, want)
	}
}

// Guards against a change that Diff omits, or that it shows with the index of
// an entry instead of its name.
func TestDiff(t *testing.T) {
	from := loadExample(t, "consorzio")
	to := loadExample(t, "consorzio")
	to.Pools[0].Targets[2].Address = "10.0.0.3:80"
	to.Organisations[0].Share = 0.3
	to.Routes = to.Routes[1:]
	to.Drains = append(to.Drains, "language-01")
	to.Pools[0].Roles = map[tpmessage.Role]int{tpmessage.RolePrefill: 7}
	to.Policy.DrainTimeout = time.Minute
	slices.Reverse(to.Zones)
	want := []string{
		`~ pools[counsel].targets[language-03].address: "127.0.0.1:7103" -> "10.0.0.3:80"`,
		`~ pools[counsel].roles[prefill]: 6 -> 7`,
		`- pools[counsel].roles[decode]: 6`,
		`- routes[/v1/language]: pool "counsel", idempotent true, timeout 30s`,
		`~ organisations[agenzia-bergamo].share: 0.25 -> 0.3`,
		`~ policy.drainTimeout: 30s -> 1m0s`,
		`+ drains[language-01]`,
	}
	if got := tpconfig.Diff(&from, &to); !slices.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if got := tpconfig.Diff(&from, &from); len(got) != 0 {
		t.Errorf("no change: got %q", got)
	}
}

// Guards against input on which Load panics or does not return, and against
// malformed input that it accepts.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(validConfig), []byte(""))
	for _, deployment := range []string{"consorzio", "naberacka"} {
		for _, name := range []string{"base.yaml", "site.yaml"} {
			data, err := os.ReadFile(filepath.Join("..", "..", "examples", deployment, name))
			if err != nil {
				f.Fatal(err)
			}
			f.Add(data, []byte(validConfig))
		}
	}
	f.Add([]byte("a: &a\n  b: *a\n"), []byte("- 1\n- {name: x}\n---\nz: 1\n"))
	f.Fuzz(func(t *testing.T, base, overlay []byte) {
		cfg, err := tpconfig.Load(tpconfig.File{Name: "base", Data: base}, tpconfig.File{Name: "overlay", Data: overlay})
		var faults tpconfig.Faults
		if err != nil && (!errors.As(err, &faults) || len(faults) == 0) {
			t.Fatalf("got error %v, want faults", err)
		}
		for _, fault := range faults {
			if fault.File == "" || fault.Line < 1 || fault.Column < 1 || fault.Message == "" {
				t.Errorf("fault without a position: %+v", fault)
			}
		}
		if err == nil && len(cfg.Organisations) == 0 {
			t.Error("a configuration without organisations was accepted")
		}
	})
}
