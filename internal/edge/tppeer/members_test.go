package tppeer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"teaselpin.example/teaselpin/internal/edge/tpwire"
	"teaselpin.example/teaselpin/internal/membership/tpmember"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// fullHeartbeat returns the heartbeat of a node in a region with the given
// number of members. It holds the node's load at busyTargets targets and the
// versions of two views.
func fullHeartbeat(members, busyTargets int) tpmessage.Heartbeat {
	rng := rand.New(rand.NewPCG(1, 1))
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	hb := tpmessage.Heartbeat{Generation: 400}
	for i := range members {
		m := tpmessage.Member{Incarnation: tpmember.Incarnation(start, rng), Generation: 400, Watching: i < 4}
		if i == 0 {
			m.Name, m.Address, m.Zone = "front-cz-central-a-1", "10.1.0.38:8144", "cz-central-a"
		}
		hb.Members = append(hb.Members, tpmessage.MemberState{Member: m, Beat: 1000})
	}
	load := tpmessage.NodeLoad{Node: "front-cz-central-a-1", PrefillDemand: 1.1, DecodeDemand: 0.3}
	for i := range busyTargets {
		load.Loads = append(load.Loads, tpmessage.TargetLoad{
			Target: fmt.Sprintf("i-%010x", i), Prefill: [tpmessage.NumPriorities]int{2: 9000, 4: 3000}, Runs: 3, Tokens: 51000,
		})
		load.Prefixes = append(load.Prefixes, tpmessage.CachedPrefix{Prefix: uint64(i), Target: fmt.Sprintf("i-%010x", i)})
	}
	hb.Loads = []tpmessage.NodeLoad{load}
	for _, kind := range []string{"config", "servers"} {
		hb.Views = append(hb.Views, tpmessage.ViewVersion{Kind: kind, Version: 3000, Digest: 1 << 60})
	}
	return hb
}

// Guards against a field of a heartbeat that is lost in its encoding.
func TestHeartbeatRoundTrip(t *testing.T) {
	want := fullHeartbeat(3, 4)
	want.Brief = true
	want.Loads[0].Nodes, want.Loads[0].Report = 3, true
	want.Loads[0].Changing = []string{"i-1"}
	want.Views[0].Disturbed, want.Views[0].DisturbedAge = true, 1500*time.Millisecond
	want.Views[0].Era = 2
	want.Views[0].Confirmed, want.Views[0].ConfirmedAge = true, 700*time.Millisecond
	want.Loads[0].Limits = []tpmessage.TargetLimit{{
		Target: "i-1", StartedMs: 1 << 41, Statement: tpmessage.LimitNamed, PerSecond: 2.2, Age: 300 * time.Millisecond, Demand: 0.7, Room: 2,
	}}
	want.Loads[0].Speeds = []tpmessage.TargetSpeed{{Process: 1 << 31, ReadMs: 1200, Streams: 2.25, StreamSpeeds: 1.5}, {Process: 7, ReadMs: 3}}
	want.Loads[0].SpeedWitnesses = 2
	want.Allowances = []tpmessage.Allowance{{Target: "i-1", StartedMs: 1 << 41, Granted: 2, Left: 1400 * time.Millisecond, Returned: 1, Used: 3}}
	want.Suspects = []tpmessage.SuspectRequest{{Fingerprint: 7, Targets: []string{"a"}}}
	want.Leaving = []tpmessage.LeavingTarget{{Name: "a", Age: time.Second}}
	want.Usage = []tpmessage.Usage{{Node: "n", Organisation: "o", PrefillPieces: 1, DecodePieces: 2}}
	got := heartbeatFromWire(heartbeatToWire(want))
	if got, want := fmt.Sprintf("%+v", got), fmt.Sprintf("%+v", want); got != want {
		t.Errorf("heartbeat: got\n%s\nwant\n%s", got, want)
	}
}

// Guards against figures of a peer that placement would calculate with.
func TestImpossibleLimitOfAPeerSaysNothing(t *testing.T) {
	for _, v := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		got := limitFromWire(&tpwire.TargetLimit{Target: "i-1", Statement: 1, PerSecond: v, Demand: v})
		if want := (tpmessage.TargetLimit{Target: "i-1", Statement: tpmessage.LimitUnstated}); got != want {
			t.Errorf("limit %v: got %+v, want %+v", v, got, want)
		}
	}
	if got := limitFromWire(&tpwire.TargetLimit{Statement: 300}).Statement; got != tpmessage.LimitUnstated {
		t.Errorf("unknown statement: got %v, want %v", got, tpmessage.LimitUnstated)
	}
}

// Guards against a panic for speeds that no node sends.
func TestSpeedsThatDoNotFitSayNothing(t *testing.T) {
	for _, m := range []*tpwire.SpeedSums{nil, {}, {Processes: []uint32{1}}, {Sums: []uint32{1, 2, 3}}, {Processes: []uint32{1, 2}, Sums: []uint32{1, 2, 3}}} {
		if got := speedsFromWire(m); got != nil {
			t.Errorf("%v: got %+v, want none", m, got)
		}
	}
}

// BenchmarkHeartbeat measures the encoded size of a heartbeat in bytes and the
// time to encode it.
func BenchmarkHeartbeat(b *testing.B) {
	for _, members := range []int{8, 24, 75, 370} {
		for _, brief := range []bool{false, true} {
			b.Run(fmt.Sprintf("members=%d/brief=%v", members, brief), func(b *testing.B) {
				hb := fullHeartbeat(members, 6)
				if brief {
					hb.Members = hb.Members[:1]
				}
				size := 0
				for b.Loop() {
					data, err := proto.Marshal(heartbeatToWire(hb))
					if err != nil {
						b.Fatal(err)
					}
					size = len(data)
				}
				b.ReportMetric(float64(size), "bytes")
			})
		}
	}
}

// BenchmarkSpeeds measures the size, in bytes, that the speeds of targets add to a
// heartbeat, and the time to encode and decode them. The sums are those of a region
// of 58 nodes.
func BenchmarkSpeeds(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, targets := range []int{30, 90, 1333} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			hb := fullHeartbeat(1, 6)
			before, err := proto.Marshal(heartbeatToWire(hb))
			if err != nil {
				b.Fatal(err)
			}
			for range targets {
				s := tpmessage.TargetSpeed{Process: rng.Uint32()}
				if rng.IntN(3) == 0 {
					s.Streams, s.StreamSpeeds = 80*rng.Float64(), 80*rng.Float64()
				} else {
					s.ReadMs = 7000 * rng.Float64()
				}
				hb.Loads[0].Speeds = append(hb.Loads[0].Speeds, s)
			}
			size := 0
			for b.Loop() {
				data, err := proto.Marshal(heartbeatToWire(hb))
				if err != nil {
					b.Fatal(err)
				}
				size = len(data) - len(before)
				var m tpwire.HeartbeatMessage
				if err := proto.Unmarshal(data, &m); err != nil {
					b.Fatal(err)
				}
				heartbeatFromWire(&m)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
