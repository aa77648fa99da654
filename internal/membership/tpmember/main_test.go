package tpmember_test

import (
	"os"
	"testing"

	"teaselpin.example/teaselpin/internal/proof/tpseed"
)

func TestMain(m *testing.M) { os.Exit(tpseed.Run(m, tpseed.Default)) }
