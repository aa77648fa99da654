package tpfront

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// RefusalBody is the JSON form of a refusal, in responses and in error events.
type RefusalBody struct {
	Code         tpmessage.RefusalCode `json:"code"`
	Reason       string                `json:"reason"`
	NotRun       bool                  `json:"notRun"`
	RetryAfterMS int64                 `json:"retryAfterMs,omitempty"`
	RequestID    string                `json:"requestId,omitempty"`
}

func newRefusalBody(id string, ref *tpmessage.Refusal) RefusalBody {
	return RefusalBody{
		Code:         ref.Code,
		Reason:       ref.Reason,
		NotRun:       ref.NotRun,
		RetryAfterMS: ref.RetryAfter.Milliseconds(),
		RequestID:    id,
	}
}

// HTTPStatus returns the HTTP status for a refusal code. It returns 400 for
// RefusalBadRequest and unknown codes.
func HTTPStatus(code tpmessage.RefusalCode) int {
	switch code {
	case tpmessage.RefusalNotRun, tpmessage.RefusalDraining:
		return http.StatusServiceUnavailable
	case tpmessage.RefusalUnknown:
		return http.StatusGatewayTimeout
	case tpmessage.RefusalTooLarge:
		return http.StatusRequestEntityTooLarge
	case tpmessage.RefusalQuarantined:
		return http.StatusUnprocessableEntity
	case tpmessage.RefusalOverShare:
		return http.StatusTooManyRequests
	case tpmessage.RefusalExpired:
		return http.StatusConflict
	case tpmessage.RefusalIncomplete:
		return http.StatusBadGateway
	default:
		return http.StatusBadRequest
	}
}

func writeRefusal(w http.ResponseWriter, id string, ref *tpmessage.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	if ref.RetryAfter > 0 {
		seconds := (ref.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(HTTPStatus(ref.Code))
	_ = json.NewEncoder(w).Encode(newRefusalBody(id, ref))
}
