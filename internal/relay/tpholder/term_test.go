package tpholder_test

import (
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/tpholder"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Guards against a call beside the holder before, and against one that ends after the term.
func TestTermLimitsCalls(t *testing.T) {
	const guard, term = 3 * time.Second, 3 * time.Second
	start := time.Unix(1000, 0)
	grant := func(at time.Time, fencing uint64) tpmessage.Authority {
		return tpmessage.Authority{Held: true, Fencing: fencing, Until: at.Add(term)}
	}
	held := tpholder.Term{}.Next(start, grant(start, 7), guard)
	renewedAt := start.Add(2500 * time.Millisecond)
	renewed := held.Next(renewedAt, grant(renewedAt, 7), guard)
	regranted := renewed.Next(renewedAt, grant(renewedAt, 8), guard)
	lost := renewed.Next(renewedAt, tpmessage.Authority{Fencing: 8}, guard)
	for _, test := range []struct {
		name string
		term tpholder.Term
		at   time.Duration
		want bool
	}{
		{"never held", tpholder.Term{}, guard, false},
		{"before the guard ends", renewed, guard - time.Millisecond, false},
		{"after the guard", renewed, guard, true},
		{"shortly before the end", renewed, 2500*time.Millisecond + term - tpholder.CallTimeout, false},
		{"a new number", regranted, guard, false},
		{"lost", lost, guard, false},
	} {
		if got := test.term.MayCall(start.Add(test.at)); got != test.want {
			t.Errorf("%s: may call: got %v, want %v", test.name, got, test.want)
		}
	}
}
