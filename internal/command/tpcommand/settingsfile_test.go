package tpcommand

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Guards against seeds that change in the settings file, with or without a signal, and are not used.
func TestSettingsFileIsFollowed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	write := func(seeds string) {
		t.Helper()
		text := "name: n\nfront: 127.0.0.1:1\nready: 127.0.0.1:2\npeers: 127.0.0.1:3\nstore: 127.0.0.1:4\nseeds: [" + seeds + "]\n"
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var got [][]string
	f := &settingsFile{path: path, seeds: []string{"127.0.0.1:5"}, setSeeds: func(seeds []string) { got = append(got, seeds) }}
	write(`"127.0.0.1:5"`)
	steps := []struct {
		name, seeds string
		signal      bool
		want        []string // seeds put in force, nil for none
		isInvalid   bool
	}{
		{"as at the start", `"127.0.0.1:5"`, false, nil, false},
		{"without a signal", `"127.0.0.1:6"`, false, []string{"127.0.0.1:6"}, false},
		{"no change", `"127.0.0.1:6"`, false, nil, false},
		{"with a signal", `"127.0.0.1:7", "127.0.0.1:8"`, true, []string{"127.0.0.1:7", "127.0.0.1:8"}, false},
		{"after a signal", `"127.0.0.1:7", "127.0.0.1:8"`, false, nil, false},
		{"not an address", `"seven"`, false, nil, true},
		{"valid again", `"127.0.0.1:9"`, false, []string{"127.0.0.1:9"}, false},
	}
	for _, step := range steps {
		write(step.seeds)
		got = nil
		var err error
		if step.signal {
			err = f.reload()
		} else {
			_, err = f.reloadIfChanged()
		}
		if (err != nil) != step.isInvalid {
			t.Errorf("%s: got error %v, want one: %t", step.name, err, step.isInvalid)
		}
		if step.want == nil && len(got) != 0 || step.want != nil && (len(got) != 1 || !slices.Equal(got[0], step.want)) {
			t.Errorf("%s: seeds put in force: got %v, want %s", step.name, got, strings.Join(step.want, ", "))
		}
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if changed, err := f.reloadIfChanged(); err != nil || changed {
		t.Errorf("file that is gone: got %v, changed %t, want no change", err, changed)
	}
}
