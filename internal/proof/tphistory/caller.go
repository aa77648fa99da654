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

// Outcome is the result of a request as far as its caller knows it.
type Outcome string

// Values of Operation.Outcome.
const (
	OutcomeOK      Outcome = "ok"      // the caller received the whole answer
	OutcomeRefused Outcome = "refused" // the caller received a refusal or an error event
	OutcomeUnknown Outcome = "unknown" // the caller received neither
)

// Operation is one request as its caller observed it.
type Operation struct {
	Caller     int // number of the caller
	RequestID  string
	Key        string // idempotency key; empty for a language request
	Invoked    time.Time
	Returned   time.Time
	Outcome    Outcome
	Answer     string              // text received so far
	ChunkCount int                 // number of received chunks
	LastChunk  int                 // number of the last received chunk, or of the one to resume after; -1 means none
	Refusal    tpfront.RefusalBody // set if Outcome is OutcomeRefused
	// Violation describes a chunk that does not decode or is not the next one
	// of this request's answer. It is empty if there is none.
	Violation string
}

// Caller sends requests to a node over its own connections.
type Caller struct {
	Number int    // identifies the caller in a history
	Token  string // bearer token
	Client *http.Client
	// OnChunk is called with the number of each received chunk if it is not
	// nil.
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

// Stream sends a language request to the node at the host:port node and reads
// the answer. If last is negative, the answer starts at chunk 0, otherwise
// after chunk last.
func (c *Caller) Stream(ctx context.Context, node, path, id string, body tpfront.LanguageBody, last int) Operation {
	data, err := json.Marshal(body)
	if err != nil {
		return Operation{Outcome: OutcomeUnknown}
	}
	header := http.Header{}
	header.Set(tpfront.HeaderRequestID, id)
	if last >= 0 {
		header.Set(tpfront.HeaderLastEventID, strconv.Itoa(last))
	}
	op := Operation{Caller: c.Number, RequestID: id, Invoked: time.Now(), Outcome: OutcomeUnknown, LastChunk: last}
	resp, err := c.post(ctx, node, path, header, string(data))
	if err == nil {
		op.readStream(resp, c.OnChunk)
	}
	op.Returned = time.Now()
	return op
}

// Call sends a call for a plain service, with an idempotency key, to the node
// at the host:port node and reads the answer.
func (c *Caller) Call(ctx context.Context, node, path, key, body string) Operation {
	// Each call has its own request ID, which distinguishes the service's runs
	// for this call from those for other calls with the same key.
	id := uuid.NewString()
	header := http.Header{}
	header.Set(tpfront.HeaderKey, key)
	header.Set(tpfront.HeaderRequestID, id)
	op := Operation{Caller: c.Number, RequestID: id, Key: key, Invoked: time.Now(), Outcome: OutcomeUnknown}
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
	// Without GetBody, the HTTP client cannot repeat the request by itself.
	req.GetBody = nil
	return c.Client.Do(req)
}

func (op *Operation) readCall(resp *http.Response) {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	if resp.StatusCode == http.StatusOK {
		op.Outcome = OutcomeOK
		op.Answer = string(body)
		return
	}
	op.setRefusal(body)
}

// readStream reads the server-sent events of an answer until its end event, an
// error event or a violation.
func (op *Operation) readStream(resp *http.Response, onChunk func(int)) {
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, err := io.ReadAll(resp.Body)
		if err == nil {
			op.setRefusal(body)
		}
		return
	}
	var answer strings.Builder
	eventType := ""
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		line := scanner.Text()
		if k, ok := strings.CutPrefix(line, "event: "); ok {
			eventType = k
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if eventType == "error" {
			op.setRefusal([]byte(data))
			break
		}
		if err := op.addChunk([]byte(data), &answer); err != nil {
			op.Violation = err.Error()
			break
		}
		if onChunk != nil {
			onChunk(op.LastChunk)
		}
		if eventType == "end" {
			op.Outcome = OutcomeOK
			break
		}
	}
	op.Answer = answer.String()
}

var errOutOfOrder = errors.New("chunk out of order")

func (op *Operation) addChunk(data []byte, answer *strings.Builder) error {
	var c tpfront.ChunkData
	if err := json.Unmarshal(data, &c); err != nil {
		return err
	}
	if c.RequestID != op.RequestID || c.Number != op.LastChunk+1 {
		return fmt.Errorf("%w: got %s/%d after %s/%d", errOutOfOrder, c.RequestID, c.Number, op.RequestID, op.LastChunk)
	}
	op.LastChunk = c.Number
	op.ChunkCount++
	answer.WriteString(c.Text)
	return nil
}

func (op *Operation) setRefusal(body []byte) {
	if json.Unmarshal(body, &op.Refusal) == nil {
		op.Outcome = OutcomeRefused
	}
}
