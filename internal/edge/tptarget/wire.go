package tptarget

import "teaselpin.example/teaselpin/pkg/tpmessage"

// Paths of the engine and service interfaces.
const (
	PathGenerate = "/generate" // POST GenerateRequest, answered by lines of JSON
	PathLoad     = "/load"     // GET, answered by a tpmessage.LoadReport
	PathCache    = "/cache"    // GET with the query after=N, answered by a list of tpmessage.CacheEvent
	PathState    = "/state"    // GET, answered by an EngineStatus
	PathOrders   = "/orders"   // POST tpmessage.Order
	PathCalls    = "/calls"    // POST to a plain service; GET /calls/KEY asks about a key
)

// Headers of the engine and service interfaces.
const (
	HeaderKey       = "Idempotency-Key"
	HeaderRequestID = "Request-Id"
	// HeaderRefused is set by a target on an answer that says that nothing ran.
	HeaderRefused = "Not-Run"
	// HeaderLeaving is set by a target that is about to stop.
	HeaderLeaving = "Leaving"
)

// GenerateRequest asks an engine for a language answer.
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
	From         int    `json:"from"` // number of the first chunk that is wanted
}

// GenerateLine is one line of an engine's answer: a chunk or a load report.
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

// EngineStatus is what an engine tells of its orders.
type EngineStatus struct {
	State   tpmessage.EngineState `json:"state"`
	Number  uint64                `json:"number"`  // of the last order that it took up
	Fencing uint64                `json:"fencing"` // of that order
	Busy    bool                  `json:"busy"`    // the order is still being carried out
	Leaving bool                  `json:"leaving"`
}
