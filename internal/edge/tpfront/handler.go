package tpfront

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"teaselpin.example/teaselpin/internal/request/stage1/tpintake"
	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const (
	// MaxBodyBytes is the maximum size of a request body. A larger body is
	// refused with status 413.
	MaxBodyBytes = 4 << 20
	// StreamCapacity is the number of chunks of one request that are buffered
	// for a slow caller.
	StreamCapacity = 64
	// WriteTimeout is the time limit for writing one event to a caller.
	WriteTimeout = 30 * time.Second
	// BodyTimeout is the maximum time for a caller to send a request body.
	BodyTimeout = 30 * time.Second
)

// HTTP headers of the caller API.
const (
	HeaderKey         = "Idempotency-Key"
	HeaderRequestID   = "Request-Id"
	HeaderSite        = "Site"
	HeaderLastEventID = "Last-Event-ID"
	HeaderTimeout     = "Request-Timeout" // Go duration, such as 30s
)

// LanguageBody is the JSON body of a language request, which is a request to a
// pool of engines.
type LanguageBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"maxTokens"`
	Seed      int64  `json:"seed"`
	Adapter   string `json:"adapter"`
	Priority  int    `json:"priority"`
}

// ChunkData is the JSON data of a server-sent event that carries a chunk. The
// data of an error event is a RefusalBody.
type ChunkData struct {
	RequestID string `json:"requestId"`
	Number    int    `json:"number"`
	Text      string `json:"text"`
	Tokens    int    `json:"tokens"`
}

// Handler accepts requests from callers and writes the answers.
type Handler struct {
	// Clock provides the arrival times of requests.
	Clock tpclock.Clock
	// InForce returns the configuration in force, or nil if there is none yet.
	InForce func() *tpmessage.Snapshot
	// Submit passes work to admission. It returns a refusal if the work is not
	// passed on.
	Submit func(tpmessage.Work) *tpmessage.Refusal
}

// ServeHTTP implements http.Handler. It validates the request, submits it to
// admission and writes the answer. It answers with status 503 if no
// configuration is in force.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	snapshot := h.InForce()
	if snapshot == nil {
		writeRefusal(w, "", &tpmessage.Refusal{
			Code: tpmessage.RefusalNotRun, Reason: "this node has no configuration yet", RetryAfter: time.Second, NotRun: true,
		})
		return
	}
	p, ref := decode(w, r, &snapshot.Config)
	if ref != nil {
		writeRefusal(w, "", ref)
		return
	}
	req, ref := tpintake.Validate(h.Clock.Now(), &snapshot.Config, &p)
	if ref != nil {
		writeRefusal(w, req.ID, ref)
		return
	}
	work := tpmessage.Work{
		Request: req,
		Chunks:  tpring.New[tpmessage.Chunk](tpring.Settings{Capacity: StreamCapacity}),
		Ctx:     r.Context(),
	}
	// Closing the ring ends the stream task if the caller disconnects.
	defer work.Chunks.Close()
	if ref := h.Submit(work); ref != nil {
		writeRefusal(w, req.ID, ref)
		return
	}
	w.Header().Set(HeaderRequestID, req.ID)
	if req.Kind == tpmessage.KindServiceCall {
		writeCall(w, &work)
		return
	}
	writeStream(w, &work)
}

// decode reads a caller's request. It refuses a body that is larger than
// MaxBodyBytes or takes longer than BodyTimeout.
func decode(w http.ResponseWriter, r *http.Request, cfg *tpmessage.Config) (tpintake.UncheckedRequest, *tpmessage.Refusal) {
	p := tpintake.UncheckedRequest{
		Path:      r.URL.Path,
		Token:     strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "),
		Site:      r.Header.Get(HeaderSite),
		RequestID: r.Header.Get(HeaderRequestID),
		Key:       r.Header.Get(HeaderKey),
		LastChunk: -1,
	}
	if r.Method != http.MethodPost {
		return p, badRequest("the method is %s, want POST", r.Method)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	// The deadline ends with the body: the server keeps reading from the
	// connection to detect that the caller disconnects.
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		ref := badRequest("the body is over %d bytes", MaxBodyBytes)
		ref.Code = tpmessage.RefusalTooLarge
		return p, ref
	}
	if err != nil {
		return p, badRequest("the body could not be read: %v", err)
	}
	p.Body = body
	if ref := decodeHeaders(r, &p); ref != nil {
		return p, ref
	}
	// Intake refuses an unknown route and names it in the reason.
	route, known := cfg.RouteByPath(p.Path)
	pool, _ := cfg.PoolByName(route.Pool)
	if !known || pool.Kind == tpmessage.PoolService {
		return p, nil
	}
	return p, decodeLanguage(body, &p)
}

func decodeHeaders(r *http.Request, p *tpintake.UncheckedRequest) *tpmessage.Refusal {
	if lastID := r.Header.Get(HeaderLastEventID); lastID != "" {
		n, err := strconv.Atoi(lastID)
		if err != nil || n < 0 || p.RequestID == "" {
			return badRequest("%s %q needs a number and a %s", HeaderLastEventID, lastID, HeaderRequestID)
		}
		p.LastChunk = n
	}
	if timeout := r.Header.Get(HeaderTimeout); timeout != "" {
		d, err := time.ParseDuration(timeout)
		if err != nil || d <= 0 {
			return badRequest("%s %q is not a duration", HeaderTimeout, timeout)
		}
		p.Timeout = d
	}
	return nil
}

func decodeLanguage(body []byte, p *tpintake.UncheckedRequest) *tpmessage.Refusal {
	var b LanguageBody
	if err := json.Unmarshal(body, &b); err != nil {
		return badRequest("the body is not a language request: %v", err)
	}
	p.Prompt = b.Prompt
	p.MaxTokens = b.MaxTokens
	p.Seed = b.Seed
	p.Adapter = b.Adapter
	p.Priority = b.Priority
	return nil
}

// writeCall writes the answer to a call, which is the service's complete answer
// in one chunk, or a refusal.
func writeCall(w http.ResponseWriter, work *tpmessage.Work) {
	c, err := work.Chunks.Take()
	if err != nil {
		writeRefusal(w, work.Request.ID, streamClosedRefusal(work, false))
		return
	}
	if c.Refusal != nil {
		writeRefusal(w, work.Request.ID, c.Refusal)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(c.Status)
	_, _ = io.WriteString(w, c.Text)
}

// writeStream writes the answer to a language request as server-sent events. A
// refusal before the first event becomes a plain response with its own status.
func writeStream(w http.ResponseWriter, work *tpmessage.Work) {
	rc := http.NewResponseController(w)
	started := false
	nextNumber := work.Request.ResumeFrom
	for {
		c, err := work.Chunks.Take()
		if err != nil {
			c = tpmessage.Chunk{Number: nextNumber, Refusal: streamClosedRefusal(work, started)}
		}
		nextNumber = c.Number + 1
		if c.Refusal != nil && !started {
			writeRefusal(w, work.Request.ID, c.Refusal)
			return
		}
		if !started {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Cache-Control", "no-store")
			started = true
		}
		_ = rc.SetWriteDeadline(time.Now().Add(WriteTimeout))
		if err := writeEvent(w, work.Request.ID, &c); err != nil {
			return
		}
		if err := rc.Flush(); err != nil || c.Last() {
			return
		}
	}
}

// writeEvent writes a chunk as a chunk or end event, or a refusal as an error
// event.
func writeEvent(w io.Writer, id string, c *tpmessage.Chunk) error {
	if c.Refusal != nil {
		return writeSSE(w, "error", c.Number, newRefusalBody(id, c.Refusal))
	}
	event := "chunk"
	if c.End {
		event = "end"
	}
	return writeSSE(w, event, c.Number, ChunkData{
		RequestID: c.RequestID, Number: c.Number, Text: c.Text, Tokens: c.Tokens,
	})
}

func writeSSE(w io.Writer, event string, number int, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "id: %d\nevent: %s\ndata: %s\n\n", number, event, encoded)
	return err
}

// streamClosedRefusal returns the refusal for a request whose stream was closed
// before its last chunk, for example because the caller did not read the answer
// before the deadline. The code is RefusalIncomplete if the answer has started,
// and RefusalUnknown otherwise.
func streamClosedRefusal(work *tpmessage.Work, started bool) *tpmessage.Refusal {
	code := tpmessage.RefusalUnknown
	if started {
		code = tpmessage.RefusalIncomplete
	}
	return &tpmessage.Refusal{
		Code:   code,
		Reason: "the answer to request " + work.Request.ID + " was not taken before its deadline",
	}
}

func badRequest(format string, args ...any) *tpmessage.Refusal {
	return &tpmessage.Refusal{
		Code:   tpmessage.RefusalBadRequest,
		Reason: fmt.Sprintf(format, args...),
		NotRun: true,
	}
}
