package tpguestfake

import (
	"context"
	"time"
)

// SilencePoint is the point of an answer at which a Server falls silent.
type SilencePoint uint8

// The points of an answer. A point that an answer does not have is skipped.
const (
	SilenceNone             SilencePoint = iota
	SilenceBeforeBody                    // the server does not read the body of the request
	SilenceBeforeHead                    // also delays the answer to a prefill request
	SilenceBeforeFirstEvent              // after the head of a stream
	SilenceBetweenEvents
	SilenceInEvent // in the middle of an event
	SilenceInBody  // in the middle of an answer that is not a stream
	SilenceBeforeEnd
	numSilencePoints
)

// SilencePoints is the number of points, including SilenceNone.
const SilencePoints = int(numSilencePoints)

// Silence is a pause in one answer. The server keeps the connection open and
// then continues the answer.
type Silence struct {
	Point    SilencePoint
	Duration time.Duration
}

// QueueSilences queues silences. Each of the next requests takes one.
func (s *Server) QueueSilences(silences ...Silence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silences = append(s.silences, silences...)
}

// Silence makes the server fall silent on all connections for a time: it sends
// nothing, and then continues all answers.
func (s *Server) Silence(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentUntil = time.Now().Add(d)
}

// takeSilence returns the silence of the next request.
func (s *Server) takeSilence() Silence {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.silences) == 0 {
		return Silence{}
	}
	next := s.silences[0]
	s.silences = s.silences[1:]
	return next
}

// pause waits at a point of an answer: for the silence of the request, if it is
// at this point, and while the whole server is silent. It returns earlier if the
// caller has closed the connection.
func (s *Server) pause(ctx context.Context, point SilencePoint, silence Silence) {
	if silence.Point == point {
		wait(ctx, silence.Duration)
	}
	for {
		s.mu.Lock()
		left := time.Until(s.silentUntil)
		s.mu.Unlock()
		if left <= 0 || ctx.Err() != nil {
			return
		}
		wait(ctx, left)
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
