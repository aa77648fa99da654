package proof_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/proof/tpprocess"
)

const (
	crowdConns    = 40
	crowdMemoryMB = 48
	crowdMaxFDs   = 400
	// crowdBody is the limit of a body in these tests, in bytes.
	crowdBody = 1 << 20
	// crowdTime limits the time for which a client of the crowd sends.
	crowdTime = 12 * time.Second
)

// crowdKind is one kind of client that does not complete its request.
type crowdKind struct {
	name  string
	write func(c net.Conn) error // the body, after the fields that are common to all
}

func writeAnnounced(length, piece, pieces int, pause time.Duration) func(net.Conn) error {
	return func(c net.Conn) error {
		if _, err := fmt.Fprintf(c, "Content-Length: %d\r\n\r\n", length); err != nil {
			return err
		}
		data := bytes.Repeat([]byte("x"), piece)
		for range pieces {
			if _, err := c.Write(data); err != nil {
				return err
			}
			time.Sleep(pause) // a client that sends in pieces
		}
		return nil
	}
}

func writeChunked(chunk, total int) func(net.Conn) error {
	return func(c net.Conn) error {
		if _, err := io.WriteString(c, "Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
		n := max(1, 32<<10/len(one))
		data := []byte(strings.Repeat(one, n))
		for sent := 0; sent+n*chunk < total; sent += n * chunk {
			if _, err := c.Write(data); err != nil {
				return err
			}
		}
		return nil
	}
}

var crowdKinds = []crowdKind{
	{"whole", writeAnnounced(crowdBody, crowdBody-1, 1, 0)},
	{"pieces", writeAnnounced(crowdBody, crowdBody/16-1, 16, 20*time.Millisecond)},
	{"largeChunks", writeChunked(64<<10, crowdBody)},
	{"smallChunks", writeChunked(1, crowdBody)},
	{"farOverAnnounced", writeAnnounced(64*crowdBody, crowdBody, 64, 0)},
	{"farOverSent", writeChunked(64<<10, 64*crowdBody)},
}

// crowd opens connections whose requests stop short of their end, and returns once
// each has been sent, refused or cut. The connections stay open until the test ends.
func crowd(t *testing.T, n *relayNode, kinds []crowdKind) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range crowdConns {
		kind := kinds[i%len(kinds)]
		c, err := net.Dial("tcp", n.frontAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		wg.Go(func() {
			_ = c.SetWriteDeadline(time.Now().Add(crowdTime))
			if _, err := fmt.Fprintf(c, "POST /swap/x HTTP/1.1\r\nHost: one.example\r\nX-Teaselpin-Request-Id: crowd-%d\r\n", i); err == nil {
				_ = kind.write(c) // the node may refuse the request or close the connection
			}
		})
	}
	wg.Wait()
}

// Guards against a node that ends, hangs or takes more than its memory or its
// descriptors because of clients that do not complete their requests.
func TestRelayStaysWithinItsMemoryUnderACrowd(t *testing.T) {
	for _, kind := range append(crowdKinds, crowdKind{name: "all"}) {
		t.Run(kind.name, func(t *testing.T) {
			kinds := []crowdKind{kind}
			if kind.name == "all" {
				kinds = crowdKinds
			}
			f := newRelayPlatform(t, func(address string) string { return address })
			n := f.startNode(t, 0, []string{tpprocess.FreeAddress(t)}, f.address)
			appendSettings(t, n, fmt.Sprintf("memoryMB: %d\nmaxFDs: %d\nwindow: 40\n", crowdMemoryMB, crowdMaxFDs))
			tpprocess.Eventually(t, "the node is ready", n.isReady)
			crowd(t, n, kinds)
			tpprocess.Eventually(t, "an ordinary request is answered", func() bool {
				c := n.call("ordinary", "view", 0)
				return c.err == nil && c.status == 200 && c.complete()
			})
			u := n.process.Usage(t)
			t.Logf("peak of resident memory %.1f MB, %d descriptors", float64(u.PeakResidentBytes)/(1<<20), u.Descriptors)
			if got, want := u.PeakResidentBytes, int64(crowdMemoryMB<<20); got > want {
				t.Errorf("peak of resident memory: got %d bytes, want at most %d", got, want)
			}
			if got, want := u.Descriptors, crowdMaxFDs; got > want {
				t.Errorf("descriptors: got %d, want at most %d", got, want)
			}
		})
	}
}

// appendSettings adds lines to the settings of a node and starts it again.
func appendSettings(t *testing.T, n *relayNode, lines string) {
	t.Helper()
	data, err := os.ReadFile(n.settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(n.settings, append(data, lines...), 0o600); err != nil {
		t.Fatal(err)
	}
	n.process.Kill()
	n.restart(t)
}

// Guards against a bound that refuses a body at the limit, whole or in pieces, or a
// slow client, while nobody else is there.
func TestRelayServesABodyAtTheLimitInCalm(t *testing.T) {
	f := newRelayPlatform(t, func(address string) string { return address })
	n := f.startNode(t, 0, []string{tpprocess.FreeAddress(t)}, f.address)
	appendSettings(t, n, fmt.Sprintf("memoryMB: %d\nmaxFDs: %d\n", crowdMemoryMB, crowdMaxFDs))
	tpprocess.Eventually(t, "the node is ready", n.isReady)
	for _, kind := range []crowdKind{
		{"whole", writeAnnounced(crowdBody, crowdBody, 1, 0)},
		{"pieces", writeAnnounced(crowdBody, crowdBody/16, 16, 20*time.Millisecond)},
		{"chunks", func(c net.Conn) error {
			if err := writeChunked(1<<10, crowdBody-1)(c); err != nil {
				return err
			}
			_, err := io.WriteString(c, "0\r\n\r\n")
			return err
		}},
		{"slow", writeAnnounced(40, 1, 40, 50*time.Millisecond)},
	} {
		c, err := net.Dial("tcp", n.frontAddress)
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		_, _ = fmt.Fprintf(c, "POST /swap/x HTTP/1.1\r\nHost: one.example\r\nConnection: close\r\nX-Teaselpin-Request-Id: %s\r\n", kind.name)
		if err := kind.write(c); err != nil {
			t.Errorf("%s: %v", kind.name, err)
		}
		answer, err := io.ReadAll(c)
		if got, want := string(answer), "HTTP/1.1 200 "; err != nil || !strings.HasPrefix(got, want) {
			t.Errorf("%s: got %q (%v), want %q", kind.name, got, err, want)
		}
		t.Logf("%s: %v", kind.name, time.Since(start))
		c.Close()
	}
}
