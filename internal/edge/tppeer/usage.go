package tppeer

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"teaselpin.example/teaselpin/internal/edge/tpwire"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// UsageTimeout is the time limit of a request for counts.
const UsageTimeout = 500 * time.Millisecond

// Usage implements tpwire.Members.
func (s *MembersServer) Usage(_ context.Context, m *tpwire.UsageRequest) (*tpwire.UsageMessage, error) {
	if s.AnswerUsage == nil {
		return nil, twirp.NotFoundError("this node counts nothing")
	}
	answer, err := s.AnswerUsage(usageRequestFromWire(m))
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	out := &tpwire.UsageMessage{ClosedWindow: answer.Closed, TimeMs: answer.TimeMs}
	for i := range answer.Statements {
		out.Statements = append(out.Statements, statementToWire(&answer.Statements[i]))
	}
	return out, nil
}

// Usage asks a peer for its counts, or leaves the final statement of this node
// with it.
func (c *Client) Usage(ctx context.Context, address string, req tpmessage.UsageRequest) (tpmessage.UsageAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, UsageTimeout)
	defer cancel()
	m, err := tpwire.NewMembersProtobufClient("http://"+address, c.HTTP).Usage(ctx, usageRequestToWire(&req))
	if err != nil {
		return tpmessage.UsageAnswer{}, Error.New("usage of %s: %w", address, err)
	}
	answer := tpmessage.UsageAnswer{Closed: m.GetClosedWindow(), TimeMs: m.GetTimeMs()}
	for _, s := range m.GetStatements() {
		answer.Statements = append(answer.Statements, statementFromWire(s))
	}
	return answer, nil
}

func usageRequestToWire(req *tpmessage.UsageRequest) *tpwire.UsageRequest {
	m := &tpwire.UsageRequest{
		FirstWindow: req.First, LastWindow: req.Last, Holder: req.Holder,
		Source: req.Source, OffsetMs: req.Offset.Milliseconds(),
	}
	if req.Left != nil {
		m.Left = statementToWire(req.Left)
	}
	return m
}

func usageRequestFromWire(m *tpwire.UsageRequest) tpmessage.UsageRequest {
	req := tpmessage.UsageRequest{
		First: m.GetFirstWindow(), Last: m.GetLastWindow(), Holder: m.GetHolder(),
		Source: m.GetSource(), Offset: time.Duration(m.GetOffsetMs()) * time.Millisecond,
	}
	if m.GetLeft() != nil {
		left := statementFromWire(m.GetLeft())
		req.Left = &left
	}
	return req
}

func statementToWire(s *tpmessage.UsageStatement) *tpwire.UsageStatement {
	out := &tpwire.UsageStatement{Source: s.Source, Final: s.Final}
	for _, w := range s.Windows {
		counts := &tpwire.WindowCounts{Window: w.Window}
		for _, n := range w.Counts {
			counts.Counts = append(counts.Counts, &tpwire.OrganisationCount{Organisation: n.Organisation, Requests: n.Requests})
		}
		out.Windows = append(out.Windows, counts)
	}
	return out
}

func statementFromWire(s *tpwire.UsageStatement) tpmessage.UsageStatement {
	out := tpmessage.UsageStatement{Source: s.GetSource(), Final: s.GetFinal()}
	for _, w := range s.GetWindows() {
		counts := tpmessage.UsageReport{Window: w.GetWindow()}
		for _, n := range w.GetCounts() {
			counts.Counts = append(counts.Counts, tpmessage.OrganisationCount{Organisation: n.GetOrganisation(), Requests: n.GetRequests()})
		}
		out.Windows = append(out.Windows, counts)
	}
	return out
}
