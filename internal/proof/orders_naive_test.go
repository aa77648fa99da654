package proof_test

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/rs/zerolog"

	"teaselpin.example/teaselpin/internal/node/tpnode"
)

// naiveNode is the argument that makes the test program run a node with the
// policy tplease.Naive, under which a holder acts after its lease term until it
// reads that it lost the lease. The product therefore needs no setting for the
// policy.
const naiveNode = "naive-node"

func init() {
	if len(os.Args) != 3 || os.Args[1] != naiveNode {
		return
	}
	if err := runNaiveNode(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

func runNaiveNode(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var cfg tpnode.Settings
	if err := yaml.Unmarshal(data, &cfg); err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	n, cleanup, err := tpnode.New(cfg, tpnode.Deps{Log: &log, NaiveLease: true})
	if err != nil {
		return err
	}
	fmt.Println("listening", n.CallerAddress(), n.PeerAddress())
	<-stop
	cleanup()
	return nil
}

// naiveCommand returns the command that runs a node with the naive lease
// policy.
func naiveCommand(t *testing.T) []string {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return []string{program, naiveNode}
}
