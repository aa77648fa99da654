package tppeer

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/twitchtv/twirp"

	"teaselpin.example/teaselpin/internal/edge/tpwire"
	"teaselpin.example/teaselpin/internal/frame/tpevent"
	"teaselpin.example/teaselpin/internal/rollout/tprollout"
)

// RolloutPath is the path prefix of the Rollout service.
const RolloutPath = tpwire.RolloutPathPrefix

// RolloutServer serves the Rollout service.
type RolloutServer struct {
	Events *tpevent.Recorder
	// Held returns the configuration in force.
	Held func() tprollout.Held
}

// Handler returns the HTTP handler of the service.
func (s *RolloutServer) Handler() http.Handler { return tpwire.NewRolloutServer(s) }

// Parts implements tpwire.Rollout.
func (s *RolloutServer) Parts(_ context.Context, m *tpwire.PartsRequest) (*tpwire.PartsResponse, error) {
	s.Events.Observe(timeFromWire(m.GetTime()))
	held := s.Held()
	if held.Head.Generation == 0 {
		return nil, twirp.NotFoundError("no configuration is in force")
	}
	changed := tprollout.ChangedSince(held, m.GetGeneration())
	head, err := json.Marshal(changed.Head)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &tpwire.PartsResponse{Time: timeToWire(s.Events.Now()), Head: head, Parts: changed.Parts}, nil
}

// Parts implements tprollout.Peers.
func (c *Client) Parts(ctx context.Context, address string, generation uint64) (tprollout.Held, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	m := &tpwire.PartsRequest{Time: timeToWire(c.Events.Now()), Generation: generation}
	answer, err := tpwire.NewRolloutProtobufClient("http://"+address, c.HTTP).Parts(ctx, m)
	if err != nil {
		return tprollout.Held{}, Error.New("parts from %s: %w", address, err)
	}
	c.Events.Observe(timeFromWire(answer.GetTime()))
	held := tprollout.Held{Parts: answer.GetParts()}
	if err := json.Unmarshal(answer.GetHead(), &held.Head); err != nil {
		return tprollout.Held{}, Error.New("head from %s: %w", address, err)
	}
	return held, nil
}
