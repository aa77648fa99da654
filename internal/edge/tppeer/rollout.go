package tppeer

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/twitchtv/twirp"

	"teaselpin.example/teaselpin/internal/edge/tpwire"
	"teaselpin.example/teaselpin/internal/frame/tpevent"
	"teaselpin.example/teaselpin/internal/rollout/tprollout"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

// RolloutPath is the path prefix of the Rollout service.
const RolloutPath = tpwire.RolloutPathPrefix

// RolloutServer serves the Rollout service.
type RolloutServer struct {
	Events *tpevent.Recorder
	// Held returns the head and parts of the configuration in force, with
	// generation 0 if there is none.
	Held func() tprollout.Held
}

// Handler returns the HTTP handler of the service.
func (s *RolloutServer) Handler() http.Handler { return tpwire.NewRolloutServer(s) }

// Parts implements tpwire.Rollout. It answers with the head and the parts that
// changed since the generation of the request.
func (s *RolloutServer) Parts(_ context.Context, m *tpwire.PartsRequest) (*tpwire.PartsResponse, error) {
	s.Events.Observe(timeFromWire(m.GetTime()))
	current := s.Held()
	if current.Head.Generation == 0 {
		return nil, twirp.NotFoundError("no configuration is in force")
	}
	changed := tprollout.ChangedSince(current, m.GetGeneration())
	head, err := json.Marshal(changed.Head)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	out := &tpwire.PartsResponse{Time: timeToWire(s.Events.Now()), Parts: make(map[string][]byte, len(changed.Parts))}
	if out.Head, err = compress(head); err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	for part, data := range changed.Parts {
		if out.Parts[part], err = compress(data); err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
	}
	return out, nil
}

// Parts implements tprollout.Peers. It returns the head of the node at address
// and the parts that changed since generation.
func (c *Client) Parts(ctx context.Context, address string, generation uint64) (tprollout.Held, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	m := &tpwire.PartsRequest{Time: timeToWire(c.Events.Now()), Generation: generation}
	answer, err := tpwire.NewRolloutProtobufClient("http://"+address, c.HTTP).Parts(ctx, m)
	if err != nil {
		return tprollout.Held{}, Error.New("parts from %s: %w", address, err)
	}
	c.Events.Observe(timeFromWire(answer.GetTime()))
	fetched := tprollout.Held{Parts: make(map[string][]byte, len(answer.GetParts()))}
	head, err := decompress(answer.GetHead())
	if err != nil {
		return tprollout.Held{}, Error.New("head from %s: %w", address, err)
	}
	if err := json.Unmarshal(head, &fetched.Head); err != nil {
		return tprollout.Held{}, Error.New("head from %s: %w", address, err)
	}
	for part, data := range answer.GetParts() {
		if fetched.Parts[part], err = decompress(data); err != nil {
			return tprollout.Held{}, Error.New("part %q from %s: %w", part, address, err)
		}
	}
	return fetched, nil
}

func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(data); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return out.Bytes(), nil
}

// decompress returns an error if the result exceeds tpobject.MaxValueBytes,
// since no part is larger than a stored object.
func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	out, err := io.ReadAll(io.LimitReader(r, tpobject.MaxValueBytes+1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(out) > tpobject.MaxValueBytes {
		return nil, Error.New("more than %d bytes", tpobject.MaxValueBytes)
	}
	return out, nil
}
