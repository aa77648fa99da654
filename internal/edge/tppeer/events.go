package tppeer

import (
	"context"
	"net/http"
	"time"

	"github.com/alitto/pond/v2"

	"teaselpin.example/teaselpin/internal/edge/tpwire"
	"teaselpin.example/teaselpin/internal/frame/tpevent"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// GatherTimeout is the time limit for reading the events of all processes.
const GatherTimeout = 5 * time.Second

// maxConcurrentFetches is the number of processes that are read concurrently.
const maxConcurrentFetches = 64

func eventToWire(e *tpmessage.Event) *tpwire.Event {
	return &tpwire.Event{
		Time:         timeToWire(e.Time),
		Process:      e.Process,
		Sequence:     e.Sequence,
		Kind:         e.Kind,
		Request:      e.Request,
		Target:       e.Target,
		Organisation: e.Organisation,
		Lease:        e.Lease,
		Order:        e.Order,
		Generation:   e.Generation,
		Detail:       e.Detail,
	}
}

func eventFromWire(e *tpwire.Event) tpmessage.Event {
	return tpmessage.Event{
		Time:         timeFromWire(e.GetTime()),
		Process:      e.GetProcess(),
		Sequence:     e.GetSequence(),
		Kind:         e.GetKind(),
		Request:      e.GetRequest(),
		Target:       e.GetTarget(),
		Organisation: e.GetOrganisation(),
		Lease:        e.GetLease(),
		Order:        e.GetOrder(),
		Generation:   e.GetGeneration(),
		Detail:       e.GetDetail(),
	}
}

// ServeEvents returns the answer to the Events method of the Operations
// service, which holds all events of rec.
func ServeEvents(rec *tpevent.Recorder, req *tpwire.EventsRequest) *tpwire.EventsResponse {
	rec.Observe(timeFromWire(req.GetTime()))
	events := rec.Events()
	resp := &tpwire.EventsResponse{Events: make([]*tpwire.Event, len(events))}
	for i := range events {
		resp.Events[i] = eventToWire(&events[i])
	}
	resp.Time = timeToWire(rec.Now())
	return resp
}

// ProcessEvents holds the events of one process, or the error of reading them.
type ProcessEvents struct {
	Address string
	Events  []tpmessage.Event
	Err     error
}

// GatherEvents reads the events of several processes concurrently. The results
// are in the order of the addresses. Err is set for a process that does not
// answer within GatherTimeout.
func GatherEvents(ctx context.Context, addresses []string) []ProcessEvents {
	ctx, cancel := context.WithTimeout(ctx, GatherTimeout)
	defer cancel()
	results := make([]ProcessEvents, len(addresses))
	pool := pond.NewPool(maxConcurrentFetches)
	for i, address := range addresses {
		pool.Submit(func() {
			events, err := fetchEvents(ctx, address)
			results[i] = ProcessEvents{Address: address, Events: events, Err: err}
		})
	}
	pool.StopAndWait()
	return results
}

func fetchEvents(ctx context.Context, address string) ([]tpmessage.Event, error) {
	client := tpwire.NewOperationsProtobufClient("http://"+address, http.DefaultClient)
	resp, err := client.Events(ctx, &tpwire.EventsRequest{})
	if err != nil {
		return nil, Error.New("events of %s: %w", address, err)
	}
	events := make([]tpmessage.Event, len(resp.GetEvents()))
	for i, e := range resp.GetEvents() {
		events[i] = eventFromWire(e)
	}
	return events, nil
}
