package tptarget_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tptarget"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// newQuerier returns a querier of one pool with one service at an address.
func newQuerier(address string) *tptarget.CallQuerier {
	return tptarget.NewCallQuerier(func(string) (tpmessage.Pool, bool) {
		return tpmessage.Pool{Name: "booking", Targets: []tpmessage.Target{{Name: "a", Address: address}}}, true
	})
}

// keyAnswer is the answer of a service that ran a key with the result, or that
// did not run it if the result is empty.
func keyAnswer(t *testing.T, key, result string) string {
	t.Helper()
	if result == "" {
		return "HTTP/1.1 404 Not Found\r\nContent-Length: 7\r\n\r\nnot run"
	}
	body, err := json.Marshal(tptarget.CallResult{Key: key, Status: http.StatusOK, Result: result})
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Guards against a copy of the answer to an earlier query that counts as the answer to the next one.
func TestCopyOfAnEarlierAnswerTellsNothingOfAKey(t *testing.T) {
	const first, second = "first", "second"
	for name, c := range map[string]struct {
		keys, results [2]string // of two queries, one after the other
	}{
		"another key ran":                  {keys: [2]string{first, second}, results: [2]string{"booked", ""}},
		"another key did not run":          {keys: [2]string{first, second}, results: [2]string{"", "booked"}},
		"both keys ran":                    {keys: [2]string{first, second}, results: [2]string{"booked", "booked later"}},
		"the key ran after the first time": {keys: [2]string{first, first}, results: [2]string{"", "booked"}},
	} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} { // from the arrival of a query to the copy
			t.Run(fmt.Sprintf("%s, %v", name, delay), func(t *testing.T) {
				t.Parallel()
				var mu sync.Mutex
				results := make(map[string]string)
				q := newQuerier(serveConns(t, func(conn net.Conn) {
					copied := ""
					for r := bufio.NewReader(conn); ; {
						req, err := readRequest(r)
						if err != nil {
							return
						}
						time.Sleep(delay)
						_, _ = io.WriteString(conn, copied)
						key := strings.TrimPrefix(req.URL.Path, tptarget.PathCalls+"/")
						mu.Lock()
						copied = keyAnswer(t, key, results[key])
						mu.Unlock()
						_, _ = io.WriteString(conn, copied)
					}
				}))
				for i, key := range c.keys {
					mu.Lock()
					results[key] = c.results[i]
					mu.Unlock()
					ran, _, result, err := q.QueryCall(t.Context(), "booking", key)
					if err != nil || ran != (c.results[i] != "") || string(result) != c.results[i] {
						t.Errorf("query %d for %s: got ran %v, result %q, error %v, want the result %q", i, key, ran, result, err, c.results[i])
					}
				}
			})
		}
	}
}

// Guards against the result of another call, which would be recorded for the key.
func TestResultOfAnotherKeyIsNoResult(t *testing.T) {
	for _, answer := range []string{
		keyAnswer(t, "another", "booked"),
		keyAnswer(t, "", "booked"),
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nbooked",
	} {
		q := newQuerier(serveConns(t, func(c net.Conn) {
			if _, err := readRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, answer)
			}
		}))
		if ran, status, result, err := q.QueryCall(t.Context(), "booking", "key"); ran || err == nil {
			t.Errorf("answer %q: got ran %v, status %d, result %q, want an error", answer, ran, status, result)
		}
	}
}
