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
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes = 4 << 20
	// StreamCapacity is the number of chunks that wait for a slow caller.
	StreamCapacity = 64
	// WriteTimeout bounds the time that a caller may take to read one chunk.
	WriteTimeout = 30 * time.Second
	// BodyTimeout bounds the time that a caller may take to send its body.
	BodyTimeout = 30 * time.Second
)

// Headers of the callers' interface.
const (
	HeaderKey         = "Idempotency-Key"
	HeaderRequestID   = "Request-Id"
	HeaderSite        = "Site"
	HeaderLastEventID = "Last-Event-ID"
	HeaderTimeout     = "Request-Timeout" // Go duration, as 30s
)

// LanguageBody is the body of a language request.
type LanguageBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"maxTokens"`
	Seed      int64  `json:"seed"`
	Adapter   string `json:"adapter"`
	Priority  int    `json:"priority"`
}

// ChunkData is the data of one server-sent event.
type ChunkData struct {
	RequestID string `json:"requestId"`
	Number    int    `json:"number"`
	Text      string `json:"text"`
	Tokens    int    `json:"tokens"`
}

// Handler serves callers.
type Handler struct {
	// Clock stamps arrivals.
	Clock tpclock.Clock
	// InForce returns the configuration in force, or nil if there is none yet.
	InForce func() *tpmessage.Snapshot
	// Submit passes work to admission, or returns a refusal.
	Submit func(tpmessage.Work) *tpmessage.Refusal
}

// ServeHTTP implements http.Handler.
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
	req, ref := tpintake.Accept(h.Clock.Now(), &snapshot.Config, &p)
	if ref != nil {
		writeRefusal(w, req.ID, ref)
		return
	}
	work := tpmessage.Work{
		Request: req,
		Chunks:  tpring.New[tpmessage.Chunk](tpring.Settings{Capacity: StreamCapacity}),
		Ctx:     r.Context(),
	}
	// A closed ring ends the stream task of a caller that has gone.
	defer work.Chunks.Close()
	if ref := h.Submit(work); ref != nil {
		writeRefusal(w, req.ID, ref)
		return
	}
	w.Header().Set(HeaderRequestID, req.ID)
	if req.Kind == tpmessage.KindCall {
		writeCall(w, &work)
		return
	}
	writeStream(w, &work)
}

// decode reads a caller's request within the input limits.
func decode(w http.ResponseWriter, r *http.Request, cfg *tpmessage.Config) (tpintake.Proposal, *tpmessage.Refusal) {
	p := tpintake.Proposal{
		Path:      r.URL.Path,
		Token:     strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "),
		Site:      r.Header.Get(HeaderSite),
		RequestID: r.Header.Get(HeaderRequestID),
		Key:       r.Header.Get(HeaderKey),
		LastChunk: -1,
	}
	if r.Method != http.MethodPost {
		return p, refuse("the method is %s, want POST", r.Method)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	// The server goes on reading, to see whether the caller leaves.
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		ref := refuse("the body is over %d bytes", MaxBodyBytes)
		ref.Code = tpmessage.RefusalTooLarge
		return p, ref
	}
	if err != nil {
		return p, refuse("the body could not be read: %v", err)
	}
	p.Body = body
	if ref := decodeHeaders(r, &p); ref != nil {
		return p, ref
	}
	// An unknown route is refused by the intake, which names it.
	route, known := cfg.RouteAt(p.Path)
	pool, _ := cfg.PoolNamed(route.Pool)
	if !known || pool.Kind == tpmessage.PoolService {
		return p, nil
	}
	return p, decodeLanguage(body, &p)
}

func decodeHeaders(r *http.Request, p *tpintake.Proposal) *tpmessage.Refusal {
	if last := r.Header.Get(HeaderLastEventID); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil || n < 0 || p.RequestID == "" {
			return refuse("%s %q needs a number and a %s", HeaderLastEventID, last, HeaderRequestID)
		}
		p.LastChunk = n
	}
	if limit := r.Header.Get(HeaderTimeout); limit != "" {
		d, err := time.ParseDuration(limit)
		if err != nil || d <= 0 {
			return refuse("%s %q is not a duration", HeaderTimeout, limit)
		}
		p.Timeout = d
	}
	return nil
}

func decodeLanguage(body []byte, p *tpintake.Proposal) *tpmessage.Refusal {
	var b LanguageBody
	if err := json.Unmarshal(body, &b); err != nil {
		return refuse("the body is not a language request: %v", err)
	}
	p.Prompt = b.Prompt
	p.MaxTokens = b.MaxTokens
	p.Seed = b.Seed
	p.Adapter = b.Adapter
	p.Priority = b.Priority
	return nil
}

// writeCall answers a call with the service's whole answer or a refusal.
func writeCall(w http.ResponseWriter, work *tpmessage.Work) {
	c, err := work.Chunks.Take()
	if err != nil {
		writeRefusal(w, work.Request.ID, lostAnswer(work, false))
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

// writeStream answers a language request with server-sent events.
func writeStream(w http.ResponseWriter, work *tpmessage.Work) {
	rc := http.NewResponseController(w)
	started := false
	next := work.Request.Resume
	for {
		c, err := work.Chunks.Take()
		if err != nil {
			c = tpmessage.Chunk{Number: next, Refusal: lostAnswer(work, started)}
		}
		next = c.Number + 1
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

// writeEvent writes one chunk, or the explicit error at the end.
func writeEvent(w io.Writer, id string, c *tpmessage.Chunk) error {
	if c.Refusal != nil {
		return writeSSE(w, "error", c.Number, refusalBody(id, c.Refusal))
	}
	kind := "chunk"
	if c.End {
		kind = "end"
	}
	return writeSSE(w, kind, c.Number, ChunkData{
		RequestID: c.RequestID, Number: c.Number, Text: c.Text, Tokens: c.Tokens,
	})
}

func writeSSE(w io.Writer, kind string, number int, data any) error {
	text, err := json.Marshal(data)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "id: %d\nevent: %s\ndata: %s\n\n", number, kind, text)
	return err
}

// lostAnswer ends a request whose stream ended without a last chunk, as that
// of a caller which has not read the answer by the deadline.
func lostAnswer(work *tpmessage.Work, started bool) *tpmessage.Refusal {
	code := tpmessage.RefusalUnknown
	if started {
		code = tpmessage.RefusalIncomplete
	}
	return &tpmessage.Refusal{
		Code:   code,
		Reason: "the answer to request " + work.Request.ID + " was not taken before its deadline",
	}
}

func refuse(format string, args ...any) *tpmessage.Refusal {
	return &tpmessage.Refusal{
		Code:   tpmessage.RefusalBadRequest,
		Reason: fmt.Sprintf(format, args...),
		NotRun: true,
	}
}
