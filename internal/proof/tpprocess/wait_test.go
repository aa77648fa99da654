package tpprocess_test

import (
	"testing"

	"teaselpin.example/teaselpin/internal/proof/tpprocess"
)

// Guards against two nodes of a test that get the same port, because the first one does not listen yet.
func TestNoAddressIsReturnedTwice(t *testing.T) {
	seen := make(map[string]bool)
	for range 500 {
		address := tpprocess.FreeAddress(t)
		if seen[address] {
			t.Errorf("address %s: got it twice, want it once", address)
		}
		seen[address] = true
	}
}
