package tppeer

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/klauspost/compress/gzhttp"
	"github.com/klauspost/compress/gzip"
	"github.com/twitchtv/twirp"

	"teaselpin.example/teaselpin/internal/edge/tpwire"
	"teaselpin.example/teaselpin/internal/frame/tpevent"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

// MembersPath is the path prefix of the Members service.
const MembersPath = tpwire.MembersPathPrefix

// MembersServer serves the Members service.
type MembersServer struct {
	Events *tpevent.Recorder
	// Receive passes a heartbeat to the membership filter and returns the
	// answer. An error is sent to the peer as unavailable.
	Receive func(tpmessage.Heartbeat) (tpmessage.Heartbeat, error)
	// LookupView returns the node's view of an object kind, and false if it has
	// none. LookupView is nil on a node that watches no object kinds.
	LookupView func(kind string) (tpobject.View, bool)
	// AnswerUsage passes a request for counts to the filter that counts and
	// returns the answer. An error is sent to the peer as unavailable.
	// AnswerUsage is nil on a node that counts nothing.
	AnswerUsage func(tpmessage.UsageRequest) (tpmessage.UsageAnswer, error)
}

// minCompressBytes is the size from which answers are compressed. Views are
// larger and shrink to a fifth of their size. Most heartbeats are smaller.
const minCompressBytes = 4 << 10

// Handler returns the HTTP handler of the service.
func (s *MembersServer) Handler() http.Handler {
	compress, err := gzhttp.NewWrapper(gzhttp.MinSize(minCompressBytes), gzhttp.CompressionLevel(gzip.BestSpeed))
	if err != nil {
		panic(Error.New("compression options: %w", err)) // unreachable: the options are constants
	}
	return compress(tpwire.NewMembersServer(s))
}

// Heartbeat implements tpwire.Members.
func (s *MembersServer) Heartbeat(_ context.Context, m *tpwire.HeartbeatMessage) (*tpwire.HeartbeatMessage, error) {
	s.Events.Observe(timeFromWire(m.GetTime()))
	answer, err := s.Receive(heartbeatFromWire(m))
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	out := heartbeatToWire(answer)
	out.Time = timeToWire(s.Events.Now())
	return out, nil
}

// Heartbeat sends a heartbeat to a peer and returns the peer's answer.
func (c *Client) Heartbeat(ctx context.Context, address string, hb tpmessage.Heartbeat) (tpmessage.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, HeartbeatTimeout)
	defer cancel()
	m := heartbeatToWire(hb)
	m.Time = timeToWire(c.Events.Now())
	answer, err := tpwire.NewMembersProtobufClient("http://"+address, c.HTTP).Heartbeat(ctx, m)
	if err != nil {
		return tpmessage.Heartbeat{}, Error.New("heartbeat to %s: %w", address, err)
	}
	c.Events.Observe(timeFromWire(answer.GetTime()))
	return heartbeatFromWire(answer), nil
}

func heartbeatToWire(hb tpmessage.Heartbeat) *tpwire.HeartbeatMessage {
	m := &tpwire.HeartbeatMessage{Generation: hb.Generation, Brief: hb.Brief}
	for _, b := range hb.Members {
		m.Members = append(m.Members, &tpwire.Member{
			Name: b.Member.Name, Address: b.Member.Address, Zone: b.Member.Zone,
			Incarnation: b.Member.Incarnation, Beat: b.Beat,
			Leaving: b.Member.Leaving, Generation: b.Member.Generation, Watching: b.Member.Watching,
		})
	}
	for _, u := range hb.Usage {
		m.Usage = append(m.Usage, &tpwire.Usage{
			Node: u.Node, Organisation: u.Organisation,
			PrefillPieces: u.PrefillPieces, DecodePieces: u.DecodePieces,
		})
	}
	for _, s := range hb.Suspects {
		m.Suspects = append(m.Suspects, &tpwire.Suspect{
			Fingerprint: s.Fingerprint, Targets: s.Targets, Cleared: s.Cleared,
		})
	}
	for _, n := range hb.Loads {
		m.Loads = append(m.Loads, loadToWire(n))
	}
	for _, v := range hb.Views {
		m.Views = append(m.Views, &tpwire.ViewMark{
			Kind: v.Kind, Era: v.Era, Version: v.Version, Digest: v.Digest,
			Disturbed: v.Disturbed, DisturbedAgeMs: uint32(v.DisturbedAge.Milliseconds()),
			Confirmed: v.Confirmed, ConfirmedAgeMs: uint32(v.ConfirmedAge.Milliseconds()),
		})
	}
	for _, a := range hb.Allowances {
		m.Allowances = append(m.Allowances, &tpwire.Allowance{
			Target: a.Target, StartedMs: a.StartedMs, Granted: uint32(a.Granted),
			LeftMs: uint32(a.Left.Milliseconds()), Returned: uint32(a.Returned), Used: uint32(a.Used),
		})
	}
	for _, l := range hb.Leaving {
		m.LeavingTargets = append(m.LeavingTargets, &tpwire.LeavingTarget{Name: l.Name, AgeMs: l.Age.Milliseconds()})
	}
	return m
}

func heartbeatFromWire(m *tpwire.HeartbeatMessage) tpmessage.Heartbeat {
	hb := tpmessage.Heartbeat{Generation: m.GetGeneration(), Brief: m.GetBrief()}
	for _, b := range m.GetMembers() {
		hb.Members = append(hb.Members, tpmessage.MemberState{
			Member: tpmessage.Member{
				Name: b.GetName(), Address: b.GetAddress(), Zone: b.GetZone(),
				Incarnation: b.GetIncarnation(), Leaving: b.GetLeaving(), Generation: b.GetGeneration(),
				Watching: b.GetWatching(),
			},
			Beat: b.GetBeat(),
		})
	}
	for _, u := range m.GetUsage() {
		hb.Usage = append(hb.Usage, tpmessage.Usage{
			Node: u.GetNode(), Organisation: u.GetOrganisation(),
			PrefillPieces: u.GetPrefillPieces(), DecodePieces: u.GetDecodePieces(),
		})
	}
	for _, s := range m.GetSuspects() {
		hb.Suspects = append(hb.Suspects, tpmessage.SuspectRequest{
			Fingerprint: s.GetFingerprint(), Targets: s.GetTargets(), Cleared: s.GetCleared(),
		})
	}
	for _, n := range m.GetLoads() {
		hb.Loads = append(hb.Loads, loadFromWire(n))
	}
	for _, v := range m.GetViews() {
		hb.Views = append(hb.Views, tpmessage.ViewVersion{
			Kind: v.GetKind(), Era: v.GetEra(), Version: v.GetVersion(), Digest: v.GetDigest(),
			Disturbed: v.GetDisturbed(), DisturbedAge: time.Duration(v.GetDisturbedAgeMs()) * time.Millisecond,
			Confirmed: v.GetConfirmed(), ConfirmedAge: time.Duration(v.GetConfirmedAgeMs()) * time.Millisecond,
		})
	}
	for _, a := range m.GetAllowances() {
		hb.Allowances = append(hb.Allowances, tpmessage.Allowance{
			Target: a.GetTarget(), StartedMs: a.GetStartedMs(), Granted: int(a.GetGranted()),
			Left: time.Duration(a.GetLeftMs()) * time.Millisecond, Returned: int(a.GetReturned()), Used: int(a.GetUsed()),
		})
	}
	for _, l := range m.GetLeavingTargets() {
		hb.Leaving = append(hb.Leaving, tpmessage.LeavingTarget{
			Name: l.GetName(), Age: time.Duration(l.GetAgeMs()) * time.Millisecond,
		})
	}
	return hb
}

// View implements tpwire.Members.
func (s *MembersServer) View(_ context.Context, m *tpwire.ViewRequest) (*tpwire.ViewMessage, error) {
	if s.LookupView == nil {
		return nil, twirp.NotFoundError("this node watches no object kinds")
	}
	v, known := s.LookupView(m.GetKind())
	if !known {
		return nil, twirp.NotFoundError("no view of " + m.GetKind())
	}
	out := &tpwire.ViewMessage{Kind: v.Kind, Era: v.Era, Version: v.Version}
	for _, o := range v.Objects {
		out.Objects = append(out.Objects, &tpwire.ViewObject{Name: o.Name, Version: o.Version, Value: o.Value})
	}
	return out, nil
}

// View returns a peer's view of an object kind.
func (c *Client) View(ctx context.Context, address, kind string) (tpobject.View, error) {
	ctx, cancel := context.WithTimeout(ctx, HeartbeatTimeout)
	defer cancel()
	m, err := tpwire.NewMembersProtobufClient("http://"+address, c.HTTP).View(ctx, &tpwire.ViewRequest{Kind: kind})
	if err != nil {
		return tpobject.View{}, Error.New("view of %s from %s: %w", kind, address, err)
	}
	v := tpobject.View{Kind: m.GetKind(), Era: m.GetEra(), Version: m.GetVersion()}
	for _, o := range m.GetObjects() {
		v.Objects = append(v.Objects, tpobject.Object{Name: o.GetName(), Version: o.GetVersion(), Value: o.GetValue()})
	}
	return v, nil
}

func loadToWire(n tpmessage.NodeLoad) *tpwire.NodeLoad {
	out := &tpwire.NodeLoad{
		Node: n.Node, PrefillDemand: n.PrefillDemand, DecodeDemand: n.DecodeDemand, Changing: n.Changing,
		Nodes: uint32(n.Nodes), Report: n.Report, Speeds: speedsToWire(n.Speeds, n.SpeedWitnesses),
	}
	for _, p := range n.Prefixes {
		out.Prefixes = append(out.Prefixes, &tpwire.HeldPrefix{Prefix: p.Prefix, Target: p.Target})
	}
	for _, l := range n.Limits {
		out.Limits = append(out.Limits, &tpwire.TargetLimit{
			Target: l.Target, StartedMs: l.StartedMs, Statement: uint32(l.Statement), PerSecond: l.PerSecond,
			AgeMs: uint32(min(l.Age.Milliseconds(), math.MaxUint32)), Demand: l.Demand, Room: uint32(l.Room),
		})
	}
	for _, t := range n.Loads {
		out.Targets = append(out.Targets, &tpwire.TargetLoad{
			Target: t.Target, Prefill: prefillToWire(t.Prefill), Runs: uint32(t.Runs), Tokens: uint32(t.Tokens), Failing: t.Failing,
		})
	}
	return out
}

// prefillToWire omits trailing zeros. prefillFromWire restores them.
func prefillToWire(tokens [tpmessage.NumPriorities]int) []uint32 {
	n := len(tokens)
	for n > 0 && tokens[n-1] == 0 {
		n--
	}
	out := make([]uint32, n)
	for i := range out {
		out[i] = uint32(tokens[i])
	}
	return out
}

func prefillFromWire(tokens []uint32) (out [tpmessage.NumPriorities]int) {
	for i := range min(len(tokens), len(out)) {
		out[i] = int(tokens[i])
	}
	return out
}

// limitFromWire decodes a limit. Figures that no node sends say nothing.
func limitFromWire(l *tpwire.TargetLimit) tpmessage.TargetLimit {
	out := tpmessage.TargetLimit{
		Target: l.GetTarget(), StartedMs: l.GetStartedMs(), Statement: tpmessage.LimitStatement(min(l.GetStatement(), uint32(tpmessage.LimitUnstated))),
		PerSecond: l.GetPerSecond(), Age: time.Duration(l.GetAgeMs()) * time.Millisecond,
		Demand: l.GetDemand(), Room: int(l.GetRoom()),
	}
	if !isAmount(out.PerSecond) {
		out.Statement, out.PerSecond = tpmessage.LimitUnstated, 0
	}
	if !isAmount(out.Demand) {
		out.Demand = 0
	}
	return out
}

// isAmount reports whether v is neither negative nor infinite nor no number.
func isAmount(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

func loadFromWire(n *tpwire.NodeLoad) tpmessage.NodeLoad {
	out := tpmessage.NodeLoad{
		Node: n.GetNode(), PrefillDemand: n.GetPrefillDemand(), DecodeDemand: n.GetDecodeDemand(), Changing: n.GetChanging(),
		Nodes: int(n.GetNodes()), Report: n.GetReport(), Speeds: speedsFromWire(n.GetSpeeds()),
		SpeedWitnesses: int(n.GetSpeeds().GetWitnesses()),
	}
	for _, p := range n.GetPrefixes() {
		out.Prefixes = append(out.Prefixes, tpmessage.CachedPrefix{Prefix: p.GetPrefix(), Target: p.GetTarget()})
	}
	for _, l := range n.GetLimits() {
		out.Limits = append(out.Limits, limitFromWire(l))
	}
	for _, t := range n.GetTargets() {
		out.Loads = append(out.Loads, tpmessage.TargetLoad{
			Target: t.GetTarget(), Prefill: prefillFromWire(t.GetPrefill()), Runs: int(t.GetRuns()), Tokens: int(t.GetTokens()), Failing: t.GetFailing(),
		})
	}
	return out
}
