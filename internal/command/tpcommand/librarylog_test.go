package tpcommand

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// lineWriter passes each line on.
type lineWriter chan string

func (w lineWriter) Write(line []byte) (int, error) {
	w <- string(line)
	return len(line), nil
}

// Guards against keys in the line that the HTTP library logs about a second copy
// of a response of the store.
func TestLibraryLogQuotesNoResponse(t *testing.T) {
	lines := make(lineWriter, 4)
	defer log.SetOutput(log.Writer())
	log.SetOutput(libraryLog{lines})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		for range 2 {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecret")
			time.Sleep(50 * time.Millisecond) // the client takes the first copy in that time
		}
	}()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	res, err := (&http.Client{Transport: transport}).Get("http://" + l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	res.Body.Close()
	select {
	case got := <-lines:
		if !strings.Contains(got, "Unsolicited response") || strings.Contains(got, "secret") {
			t.Errorf("line of the library: got %q, want one without the response", got)
		}
	case <-time.After(5 * time.Second):
		t.Error("the library logs no line about the second copy")
	}
}
