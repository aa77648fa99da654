package tphistory

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"teaselpin.example/teaselpin/internal/edge/tpfront"
)

// Outcome is what a caller learned of a request.
type Outcome string

// Outcomes.
const (
	OK      Outcome = "ok"      // the whole answer came
	Refused Outcome = "refused" // an explicit refusal or error event came
	Unknown Outcome = "unknown" // the connection ended without either
)

// Operation is one request as its caller saw it.
type Operation struct {
	Caller    int
	RequestID string
	Key       string
	Invoked   time.Time
	Returned  time.Time
	Outcome   Outcome
	Answer    string
	Chunks    int // received
	LastChunk int // number of the last chunk, -1 for none
	Refusal   tpfront.RefusalBody
	// Violation tells of a chunk that is not the next one of this request's
	// answer, or is empty.
	Violation string
}

// Caller sends requests to a node with connections of its own.
type Caller struct {
	Number int
	Token  string
	Client *http.Client
	// OnChunk, if set, is called with the number of each received chunk.
	OnChunk func(number int)
}

// NewCaller returns a caller that opens a connection for each request.
func NewCaller(number int, token string) *Caller {
	return &Caller{
		Number: number,
		Token:  token,
		Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// Stream sends a language request to a node, from after the chunk numbered
// last, or from the start if last is -1.
func (c *Caller) Stream(ctx context.Context, node, path, id string, body tpfront.LanguageBody, last int) Operation {
	data, err := json.Marshal(body)
	if err != nil {
		return Operation{Outcome: Unknown}
	}
	header := http.Header{}
	header.Set(tpfront.HeaderRequestID, id)
	if last >= 0 {
		header.Set(tpfront.HeaderLastEventID, strconv.Itoa(last))
	}
	op := Operation{Caller: c.Number, RequestID: id, Invoked: time.Now(), Outcome: Unknown, LastChunk: last}
	resp, err := c.post(ctx, node, path, header, string(data))
	if err == nil {
		op.read(resp, c.OnChunk)
	}
	op.Returned = time.Now()
	return op
}

// Call sends a call to a plain service with an idempotency key.
func (c *Caller) Call(ctx context.Context, node, path, key, body string) Operation {
	// A request identity of its own tells a service's runs for this call from
	// those for other calls with the key.
	id := uuid.NewString()
	header := http.Header{}
	header.Set(tpfront.HeaderKey, key)
	header.Set(tpfront.HeaderRequestID, id)
	op := Operation{Caller: c.Number, RequestID: id, Key: key, Invoked: time.Now(), Outcome: Unknown}
	resp, err := c.post(ctx, node, path, header, body)
	if err == nil {
		op.readCall(resp)
	}
	op.Returned = time.Now()
	return op
}

func (c *Caller) post(ctx context.Context, node, path string, header http.Header, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = header
	req.Header.Set("Authorization", "Bearer "+c.Token)
	// The caller's client must not send the request again by itself.
	req.GetBody = nil
	return c.Client.Do(req)
}

func (op *Operation) readCall(resp *http.Response) {
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	if resp.StatusCode == http.StatusOK {
		op.Outcome = OK
		op.Answer = string(text)
		return
	}
	op.refuse(text)
}

// read collects the server-sent events of an answer.
func (op *Operation) read(resp *http.Response, onChunk func(int)) {
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, err := io.ReadAll(resp.Body)
		if err == nil {
			op.refuse(text)
		}
		return
	}
	var answer strings.Builder
	kind := ""
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		line := scanner.Text()
		if k, ok := strings.CutPrefix(line, "event: "); ok {
			kind = k
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if kind == "error" {
			op.refuse([]byte(data))
			break
		}
		if err := op.chunk([]byte(data), &answer); err != nil {
			op.Violation = err.Error()
			break
		}
		if onChunk != nil {
			onChunk(op.LastChunk)
		}
		if kind == "end" {
			op.Outcome = OK
			break
		}
	}
	op.Answer = answer.String()
}

var errOutOfOrder = errors.New("chunk out of order")

func (op *Operation) chunk(data []byte, answer *strings.Builder) error {
	var c tpfront.ChunkData
	if err := json.Unmarshal(data, &c); err != nil {
		return err
	}
	if c.RequestID != op.RequestID || c.Number != op.LastChunk+1 {
		return fmt.Errorf("%w: got %s/%d after %s/%d", errOutOfOrder, c.RequestID, c.Number, op.RequestID, op.LastChunk)
	}
	op.LastChunk = c.Number
	op.Chunks++
	answer.WriteString(c.Text)
	return nil
}

func (op *Operation) refuse(text []byte) {
	if json.Unmarshal(text, &op.Refusal) == nil {
		op.Outcome = Refused
	}
}
