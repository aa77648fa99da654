package tproute_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage1/tproute"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// admitFunc is the decision under test.
type admitFunc func(*tproute.Table, *tpmessage.RelayRoute, tpmessage.Credential, tproute.CopyAge, tproute.AccessSettings) (*tpmessage.RelayOrganisation, tproute.Access)

// admitNaively takes the node's copy of the configuration for the newest one.
func admitNaively(t *tproute.Table, route *tpmessage.RelayRoute, c tpmessage.Credential, _ tproute.CopyAge, _ tproute.AccessSettings) (*tpmessage.RelayOrganisation, tproute.Access) {
	return t.Admit(route, c, tproute.CopyAge{Confirmed: true}, tproute.AccessSettings{})
}

func oneKey(b byte) tpmessage.Credential {
	return tpmessage.Credential{Keys: 1, Hash: tpmessage.KeyHash{b}}
}

// checkAdmit returns the faults of a decision.
func checkAdmit(admit admitFunc) []string {
	orgs := []tpmessage.RelayOrganisation{{Name: "tern", Keys: []tpmessage.KeyHash{{1}, {2}}}, {Name: "dunlin"}}
	closed, open := &tpmessage.RelayRoute{}, &tpmessage.RelayRoute{Public: true}
	fresh, old, unknownAge := tproute.CopyAge{Confirmed: true, Age: time.Second}, tproute.CopyAge{Confirmed: true, Age: 6 * time.Second}, tproute.CopyAge{}
	lenient, strict := tproute.AccessSettings{RevokeAfter: 5 * time.Second}, tproute.AccessSettings{StrictRevoke: true, RevokeAfter: 5 * time.Second}
	var faults []string
	for _, test := range []struct {
		name       string
		has        bool
		route      *tpmessage.RelayRoute
		credential tpmessage.Credential
		age        tproute.CopyAge
		cfg        tproute.AccessSettings
		wantName   string
		want       tproute.Access
	}{
		{"no organisations", false, closed, tpmessage.Credential{}, unknownAge, strict, "", tproute.AccessGranted},
		{"known key", true, closed, oneKey(2), fresh, lenient, "tern", tproute.AccessGranted},
		{"known key, old copy", true, closed, oneKey(2), old, lenient, "tern", tproute.AccessGranted},
		{"known key, old copy, strict", true, closed, oneKey(2), old, strict, "", tproute.AccessUnconfirmed},
		{"known key, copy of unknown age, strict", true, closed, oneKey(2), unknownAge, strict, "", tproute.AccessUnconfirmed},
		{"known key, copy below the limit, strict", true, closed, oneKey(2), fresh, strict, "tern", tproute.AccessGranted},
		{"unknown key", true, closed, oneKey(3), fresh, lenient, "", tproute.AccessUnknownKey},
		{"unknown key, old copy", true, closed, oneKey(3), old, lenient, "", tproute.AccessUnconfirmed},
		{"unknown key, copy of unknown age", true, closed, oneKey(3), unknownAge, lenient, "", tproute.AccessUnconfirmed},
		{"hash of no key", true, closed, tpmessage.Credential{}, fresh, lenient, "", tproute.AccessNoKey},
		{"two keys", true, closed, tpmessage.Credential{Keys: 2, Hash: tpmessage.KeyHash{1}}, fresh, lenient, "", tproute.AccessManyKeys},
		{"public, known key", true, open, oneKey(1), old, lenient, "tern", tproute.AccessGranted},
		{"public, unknown key", true, open, oneKey(3), old, lenient, "", tproute.AccessGranted},
		{"public, two keys", true, open, tpmessage.Credential{Keys: 2}, fresh, lenient, "", tproute.AccessGranted},
		{"public, key that may be revoked", true, open, oneKey(1), old, strict, "", tproute.AccessGranted},
	} {
		tb := tproute.NewTable(&tpmessage.RelayConfig{HasOrganisations: test.has, Organisations: orgs})
		org, got := admit(tb, test.route, test.credential, test.age, test.cfg)
		name := ""
		if org != nil {
			name = org.Name
		}
		if got != test.want || name != test.wantName {
			faults = append(faults, fmt.Sprintf("%s: got %v for %q, want %v for %q", test.name, got, name, test.want, test.wantName))
		}
	}
	return faults
}

// Guards against keys that are refused because the node does not know them yet,
// removed keys that stay in use, and requests that are served for another
// organisation. The naive variant must fail.
func TestAdmit(t *testing.T) {
	for _, fault := range checkAdmit((*tproute.Table).Admit) {
		t.Error(fault)
	}
	if got, want := len(checkAdmit(admitNaively)), 5; got != want {
		t.Errorf("faults of the naive variant: got %d, want %d", got, want)
	}
}

// BenchmarkAuthenticate measures the look-up of a key among those of 5,400
// organisations with two keys each, and the memory of the configuration and of
// the table that such a configuration adds.
func BenchmarkAuthenticate(b *testing.B) {
	const organisations = 5400
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	cfg := &tpmessage.RelayConfig{HasOrganisations: true, Organisations: make([]tpmessage.RelayOrganisation, organisations)}
	for i := range cfg.Organisations {
		keys := make([]tpmessage.KeyHash, 2)
		for j := range keys {
			binary.LittleEndian.PutUint64(keys[j][:], uint64(2*i+j)*0x9E3779B97F4A7C15)
		}
		cfg.Organisations[i] = tpmessage.RelayOrganisation{Name: fmt.Sprintf("organisation-%04d", i), Keys: keys}
	}
	tb := tproute.NewTable(cfg)
	after := heap()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		keys := cfg.Organisations[i*31%organisations].Keys
		if _, ok := tb.Authenticate(tpmessage.Credential{Keys: 1, Hash: keys[i&1]}); !ok {
			b.Fatal("a key is unknown")
		}
	}
	b.ReportMetric(float64(after-before)/1024, "KB")
}
