package tptarget

import "teaselpin.example/teaselpin/pkg/tpmessage"

// URL paths of the engine and service APIs.
const (
	PathGenerate = "/generate" // POST of a GenerateRequest, answered with one GenerateLine of JSON a line
	PathLoad     = "/load"     // GET, answered with a tpmessage.LoadReport
	PathCache    = "/cache"    // GET with the query after=N, answered with a list of tpmessage.CacheEvent
	PathState    = "/state"    // GET, answered with an EngineStatus
	PathOrders   = "/orders"   // POST of a tpmessage.Order
	PathCalls    = "/calls"    // POST to a plain service; GET /calls/KEY returns the CallResult of a key that ran
)

// HTTP headers of the engine and service APIs.
const (
	HeaderKey = "Idempotency-Key"
	// HeaderRequestID names the request. An engine gives it back in its answer.
	HeaderRequestID = "Request-Id"
	// HeaderNotRun is set by a target on the answer to a request of which it
	// ran nothing.
	HeaderNotRun = "Not-Run"
	// HeaderLeaving is set by a target that is about to stop.
	HeaderLeaving = "Leaving"
)

// GenerateRequest is the JSON body of a language request to an engine.
type GenerateRequest struct {
	RequestID    string `json:"requestId"`
	Organisation string `json:"organisation"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter,omitempty"`
	Prompt       string `json:"prompt"`
	PrefixHash   uint64 `json:"prefixHash"`
	PromptTokens int    `json:"promptTokens"`
	MaxTokens    int    `json:"maxTokens"`
	Seed         int64  `json:"seed"`
	Priority     int    `json:"priority"`
	FirstChunk   int    `json:"from"` // number of the first chunk to send
}

// GenerateLine is one line of an engine's answer: a chunk, an error, or the
// last chunk with the cost of the request and a load report.
type GenerateLine struct {
	RequestID     string                `json:"requestId"`
	Number        int                   `json:"number"`
	Text          string                `json:"text"`
	Tokens        int                   `json:"tokens"`
	End           bool                  `json:"end,omitempty"`
	Error         string                `json:"error,omitempty"`
	PrefillPieces float64               `json:"prefillPieces,omitempty"` // on the last line
	DecodePieces  float64               `json:"decodePieces,omitempty"`  // on the last line
	Load          *tpmessage.LoadReport `json:"load,omitempty"`          // on the last line
}

// EngineStatus is an engine's answer to PathState.
type EngineStatus struct {
	State   tpmessage.EngineState `json:"state"`
	Number  uint64                `json:"number"`  // of the last order that the engine accepted
	Fencing uint64                `json:"fencing"` // fencing number of that order
	Busy    bool                  `json:"busy"`    // the engine is still executing the order
	Leaving bool                  `json:"leaving"`
}
