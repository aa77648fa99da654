package tpplatformfake_test

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tpplatform"
	"teaselpin.example/teaselpin/internal/standin/tpplatformfake"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

// Guards against faults that affect objects outside their prefix, that continue
// beyond their count or that have another effect than their name says, and
// against a rate limit that does not refuse calls.
func TestFaultsAndLimit(t *testing.T) {
	p := &tpplatformfake.Platform{}
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	c, cleanup := tpplatform.NewClient(srv.URL)
	defer cleanup()
	put := func(name string) error {
		_, err := c.Put(t.Context(), name, []byte("x"), 0)
		return err
	}
	p.SetFaults(tpplatformfake.Faults{DownCalls: 1, LoseWriteAnswers: 1, Prefix: "journal/"})
	for _, step := range []struct {
		name string
		want error
	}{
		{"config/a", nil},
		{"journal/a", tpobject.ErrUnavailable},
		{"journal/a", tpobject.ErrOutcomeUnknown},
		{"journal/a", tpobject.ErrConflict}, // the lost write took effect
		{"journal/b", nil},
	} {
		if got := put(step.name); !errors.Is(got, step.want) {
			t.Errorf("put %s: got %v, want %v", step.name, got, step.want)
		}
	}
	p.SetLimit(tpplatformfake.Limit{PerSecond: 0.001, Burst: 1})
	if got := put("journal/c"); got != nil {
		t.Errorf("within the rate: got %v, want no error", got)
	}
	if got := put("journal/d"); !errors.Is(got, tpobject.ErrUnavailable) {
		t.Errorf("over the rate: got %v, want %v", got, tpobject.ErrUnavailable)
	}
	if got := p.Counts(); got.Limited != 1 || got.Refused != 1 {
		t.Errorf("counts: got %+v, want 1 limited and 1 refused", got)
	}
}

// Guards against a list of VMs that is served before its lag has passed, or not
// at all.
func TestVMsLag(t *testing.T) {
	p := &tpplatformfake.Platform{}
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	c, cleanup := tpplatform.NewClient(srv.URL)
	defer cleanup()
	p.SetVMs([]tpplatform.VM{{Name: "a"}})
	p.SetVMListLag(time.Hour)
	for _, want := range []int{0, 1} {
		vms, err := c.VMs(t.Context())
		if err != nil || len(vms) != want {
			t.Errorf("list: got %v, %v, want %d VMs", vms, err, want)
		}
		p.SetVMListLag(0)
	}
}
