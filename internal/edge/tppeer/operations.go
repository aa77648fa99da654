package tppeer

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/twitchtv/twirp"

	"teaselpin.example/teaselpin/internal/edge/tpwire"
)

// OperationsPath is the path prefix of the Operations service.
const OperationsPath = tpwire.OperationsPathPrefix

// OperationsServer serves the Operations service.
type OperationsServer struct {
	// StatusOf returns the node's status, which the server encodes as JSON.
	StatusOf func() any
	// EventsOf answers the Events method. If it is nil, the method returns the
	// error code unimplemented.
	EventsOf func(context.Context, *tpwire.EventsRequest) (*tpwire.EventsResponse, error)
}

// Handler returns the HTTP handler of the service.
func (s *OperationsServer) Handler() http.Handler { return tpwire.NewOperationsServer(s) }

// Status implements tpwire.Operations.
func (s *OperationsServer) Status(context.Context, *tpwire.StatusRequest) (*tpwire.StatusResponse, error) {
	data, err := json.Marshal(s.StatusOf())
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &tpwire.StatusResponse{Status: data}, nil
}

// Events implements tpwire.Operations.
func (s *OperationsServer) Events(ctx context.Context, m *tpwire.EventsRequest) (*tpwire.EventsResponse, error) {
	if s.EventsOf == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this process does not serve events")
	}
	return s.EventsOf(ctx, m)
}

// Status returns the status of the node at address, as JSON.
func (c *Client) Status(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	answer, err := tpwire.NewOperationsProtobufClient("http://"+address, c.HTTP).Status(ctx, &tpwire.StatusRequest{})
	if err != nil {
		return nil, Error.New("status of %s: %w", address, err)
	}
	return answer.GetStatus(), nil
}
