package tpguestfake

import (
	"net/http"
	"time"
)

// headerLimit names the requests a second that a server takes.
const headerLimit = "Server-Limit"

// LimitChange is a change of what a Server names in the Server-Limit header of
// its answers. Without values its answers have no such header.
type LimitChange struct {
	At     time.Time
	Values []string
}

// SetLimit sets the values of the Server-Limit header of all answers, in
// requests a second. The server goes on serving all requests.
func (s *Server) SetLimit(values ...string) { s.SetLimitOnSome(1, values...) }

// SetLimitOnSome is SetLimit for one answer in each period answers.
func (s *Server) SetLimitOnSome(period int, values ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit, s.limitPeriod, s.limitAnswers = values, period, 0
	s.limitChanges = append(s.limitChanges, LimitChange{At: time.Now(), Values: values})
}

// LimitChanges returns the calls of SetLimit and SetLimitOnSome, oldest first.
func (s *Server) LimitChanges() []LimitChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]LimitChange(nil), s.limitChanges...)
}

// FirstNamed returns the time of the first answer at or after a time that named
// a limit, or zero if there is none.
func (s *Server) FirstNamed(from time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.limitNamed {
		if !at.Before(from) {
			return at
		}
	}
	return time.Time{}
}

// addLimit adds the header of the limit to an answer.
func (s *Server) addLimit(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.limit) == 0 {
		return
	}
	if s.limitAnswers++; s.limitAnswers%s.limitPeriod != 0 {
		return
	}
	for _, v := range s.limit {
		h.Add(headerLimit, v)
	}
	s.limitNamed = append(s.limitNamed, time.Now())
}
