package proof_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// peerMesh passes the calls between nodes through a link for each pair and
// direction. A node announces the address at which it listens, so each link
// replaces the addresses in what it passes on by those that the reader uses. All
// addresses have the same length, so the encoding of a message stays valid.
type peerMesh struct {
	links  [][]*peerLink // by calling and called node; nil for a node itself
	client *http.Client
}

// peerLink passes the calls of one node to another.
type peerLink struct {
	address  string // that the calling node uses
	backend  string // at which the called node listens
	mesh     *peerMesh
	calls    atomic.Int64
	request  *strings.Replacer
	response *strings.Replacer

	mu  sync.Mutex
	cut chan struct{} // closed at the end of the cut; nil while there is none
	// stalls is true if calls get no answer in a cut, and false if they fail.
	stalls bool
}

// newPeerMesh returns a mesh for nodes that listen at the given addresses.
func newPeerMesh(t *testing.T, addresses []string) *peerMesh {
	t.Helper()
	m := &peerMesh{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
	for i := range addresses {
		m.links = append(m.links, make([]*peerLink, len(addresses)))
		for j, backend := range addresses {
			if i == j {
				continue
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			link := &peerLink{address: l.Addr().String(), backend: backend, mesh: m}
			if len(link.address) != len(backend) {
				t.Fatalf("addresses of different lengths: %s and %s", link.address, backend)
			}
			m.links[i][j] = link
			server := &http.Server{Handler: link, ReadHeaderTimeout: time.Minute}
			go func() { _ = server.Serve(l) }() // ends with the test
			t.Cleanup(func() { _ = server.Close() })
		}
	}
	for i := range addresses {
		for j := range addresses {
			if i == j {
				continue
			}
			var request, response []string
			for k := range addresses {
				request = append(request, m.address(i, k, addresses), m.address(j, k, addresses))
				response = append(response, m.address(j, k, addresses), m.address(i, k, addresses))
			}
			m.links[i][j].request, m.links[i][j].response = strings.NewReplacer(request...), strings.NewReplacer(response...)
		}
	}
	return m
}

// address returns the address of a node as another one uses it.
func (m *peerMesh) address(user, node int, addresses []string) string {
	if user == node {
		return addresses[node]
	}
	return m.links[user][node].address
}

// cut cuts the links from and to a node, and returns a function that ends that.
func (m *peerMesh) cut(node int, from, to, stalls bool) func() {
	end := make(chan struct{})
	var links []*peerLink
	for other := range m.links {
		if other == node {
			continue
		}
		if from {
			links = append(links, m.links[node][other])
		}
		if to {
			links = append(links, m.links[other][node])
		}
	}
	for _, l := range links {
		l.setCut(end, stalls)
	}
	return func() {
		for _, l := range links {
			l.mu.Lock()
			if l.cut == end {
				l.cut = nil
			}
			l.mu.Unlock()
		}
		close(end)
	}
}

func (l *peerLink) setCut(end chan struct{}, stalls bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.stalls = end, stalls
}

// wait waits while the link stalls. It panics if the link fails calls, which
// closes the connection.
func (l *peerLink) wait(r *http.Request) {
	l.mu.Lock()
	cut, stalls := l.cut, l.stalls
	l.mu.Unlock()
	if cut == nil {
		return
	}
	if stalls {
		select {
		case <-cut:
			return
		case <-r.Context().Done():
		}
	}
	panic(http.ErrAbortHandler)
}

// ServeHTTP implements http.Handler.
func (l *peerLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.calls.Add(1)
	l.wait(r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+l.backend+r.URL.RequestURI(),
		bytes.NewReader([]byte(l.request.Replace(string(body)))))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	out.Header = r.Header.Clone()
	out.Header.Del("Accept-Encoding") // addresses in compressed answers could not be replaced
	res, err := l.mesh.client.Do(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	l.wait(r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	answer = []byte(l.response.Replace(string(answer)))
	for name, values := range res.Header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(res.StatusCode)
	_, _ = w.Write(answer)
}
