package tpnode_test

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"teaselpin.example/teaselpin/internal/node/tpnode"
)

// Guards against a page of the pipelines whose rings or capacities differ from
// those of a running node.
func TestPipelinesPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/pipelines.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := make(map[string]int)
	for _, row := range regexp.MustCompile("(?m)^\\| `(\\w+)` \\| (\\d+) \\|").FindAllStringSubmatch(string(page), -1) {
		documented[row[1]], _ = strconv.Atoi(row[2])
	}
	n, cleanup, err := tpnode.New(tpnode.Settings{
		Name: "node-0", Region: "nord-ovest", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		Platform: "http://127.0.0.1:1",
	}, tpnode.Deps{})
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	rings := n.Rings()
	for name, s := range rings {
		if got, want := documented[name], s.Capacity; got != want {
			t.Errorf("capacity of ring %q on the page: got %d, want %d", name, got, want)
		}
	}
	for name := range documented {
		if _, ok := rings[name]; !ok {
			t.Errorf("ring %q is on the page, but the node has none", name)
		}
	}
}
