package tpscale_test

import (
	"fmt"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/model/tpscalemodel"
	"teaselpin.example/teaselpin/internal/relay/tpscale"
)

func modelScaler[P tpscale.Policy](cfg tpscale.Settings, policy P) func() tpscalemodel.Scaler {
	return func() tpscalemodel.Scaler {
		s := tpscale.New(cfg, policy)
		s.SetConfig(tpscalemodel.Start, tpscalemodel.NewConfig(nil))
		return s
	}
}

// Guards against a number of targets that costs as much as no scaling at all, and
// against one that leaves more callers unserved than it. A naive policy follows
// the demand of the moment.
func TestPoliciesOnModel(t *testing.T) {
	naive := modelScaler(tpscale.Settings{
		PeakHold: 1, KnownAfter: 1, RaiseBelow: 0.999, LowerAbove: 1.001, MaxLowering: 1, LowerInterval: 1,
	}, tpscale.TargetUtilisation{Utilisation: 0.8})
	results := make(map[string]tpscalemodel.Result)
	for _, test := range []struct {
		name      string
		newScaler func() tpscalemodel.Scaler
	}{
		{"none", modelScaler(tpscale.Settings{}, tpscale.None{})},
		{"target utilisation 0.35", modelScaler(tpscale.Settings{}, tpscale.TargetUtilisation{})},
		{"forecast 0.35", modelScaler(tpscale.Settings{}, tpscale.Forecast{})},
		{"forecast 0.3", modelScaler(tpscale.Settings{}, tpscale.Forecast{Utilisation: 0.3})},
		{"forecast 0.4", modelScaler(tpscale.Settings{}, tpscale.Forecast{Utilisation: 0.4})},
		{"forecast 0.5", modelScaler(tpscale.Settings{}, tpscale.Forecast{Utilisation: 0.5})},
		{"forecast 0.7", modelScaler(tpscale.Settings{}, tpscale.Forecast{Utilisation: 0.7})},
		{"forecast 0.35, spot share 0.7", modelScaler(tpscale.Settings{SpotShare: 0.7}, tpscale.Forecast{})},
		{"forecast 0.35, spot share 1", modelScaler(tpscale.Settings{SpotShare: 1}, tpscale.Forecast{})},
		{"forecast 0.35, peak held 6 s", modelScaler(tpscale.Settings{PeakHold: 6 * time.Second}, tpscale.Forecast{})},
		{"forecast 0.35, peak held 20 s", modelScaler(tpscale.Settings{PeakHold: 20 * time.Second}, tpscale.Forecast{})},
		{"demand of the moment 0.8", naive},
	} {
		r := tpscalemodel.Days(test.newScaler)
		results[test.name] = r
		t.Log(r.Row(test.name))
	}
	before := results["none"]
	// fault says what is wrong with a policy, or nothing.
	fault := func(r tpscalemodel.Result) string {
		switch unserved, late := 1-r.Served/r.Requests, r.Late/r.Requests; {
		case r.Charged() > 0.45*before.Charged():
			return fmt.Sprintf("cost %.0f, want at most 0.45 of %.0f", r.Charged(), before.Charged())
		case unserved > 1-before.Served/before.Requests+0.001, late > 0.01:
			return fmt.Sprintf("unserved %.4f, late %.4f, want at most 0.001 more than none and 0.01", unserved, late)
		}
		return ""
	}
	if got := fault(results["forecast 0.35"]); got != "" {
		t.Error(got)
	}
	if fault(results["demand of the moment 0.8"]) == "" {
		t.Error("the naive variant passes")
	}
}
