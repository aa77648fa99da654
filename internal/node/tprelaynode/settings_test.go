package tprelaynode_test

import (
	"testing"

	"teaselpin.example/teaselpin/internal/node/tprelaynode"
	"teaselpin.example/teaselpin/pkg/tpconfig"
)

// FuzzSettings guards against input that panics instead of being rejected, and
// against settings that are accepted without a name or an address.
func FuzzSettings(f *testing.F) {
	f.Add([]byte("name: a\nfront: \"1:1\"\nready: \"1:2\"\npeers: \"1:3\"\nstore: \"1:4\"\nstopGrace: 8s\n"))
	f.Add([]byte("budget: {ratio: -1}"))
	f.Add([]byte("prefillPart: 7\nseeds: [a]"))
	f.Add([]byte("name: [\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var cfg tprelaynode.Settings
		if err := tpconfig.Decode(tpconfig.File{Name: "node.yaml", Data: data}, &cfg); err != nil {
			return
		}
		if err := cfg.Check(); err == nil && (cfg.Name == "" || cfg.Front == "" || cfg.Store == "") {
			t.Errorf("accepted settings without a name, a front or a store: %+v", cfg)
		}
	})
}
