package tpfront_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"teaselpin.example/teaselpin/internal/edge/tpfront"
	"teaselpin.example/teaselpin/internal/request/stage1/tpintake"
	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Guards against a malformed request that is submitted, that is refused with
// the wrong status or code, or whose refusal does not state that nothing ran.
func TestRefusals(t *testing.T) {
	snapshot := &tpmessage.Snapshot{Generation: 1, Config: tpmessage.Config{
		Pools: []tpmessage.Pool{
			{Name: "language", Kind: tpmessage.PoolEngine}, {Name: "booking", Kind: tpmessage.PoolService},
		},
		Routes:        []tpmessage.Route{{Path: "/language", Pool: "language"}, {Path: "/booking", Pool: "booking"}},
		Organisations: []tpmessage.Organisation{{Name: "bergamo", TokenHash: tpintake.TokenHash("secret")}},
	}}
	h := &tpfront.Handler{
		Clock:   tpclock.System{},
		InForce: func() *tpmessage.Snapshot { return snapshot },
		Submit: func(tpmessage.Work) *tpmessage.Refusal {
			t.Error("a malformed request was submitted")
			return &tpmessage.Refusal{Code: tpmessage.RefusalUnknown}
		},
	}
	const languageBody = `{"prompt":"which voucher?"}`
	for _, c := range []struct {
		name, path, body, token string
		header, value           string
		status                  int
		code                    tpmessage.RefusalCode
		reason                  string
	}{
		{"unknown route", "/nothing", "", "secret", "", "", 400, tpmessage.RefusalBadRequest, "no route"},
		{"unknown token", "/language", languageBody, "other", "", "", 400, tpmessage.RefusalBadRequest, "token"},
		{"not JSON", "/language", "{", "secret", "", "", 400, tpmessage.RefusalBadRequest, "language request"},
		{"no prompt", "/language", "{}", "secret", "", "", 400, tpmessage.RefusalBadRequest, "prompt"},
		{"bound on tokens", "/language", `{"prompt":"x","maxTokens":-1}`, "secret", "", "", 400, tpmessage.RefusalBadRequest, "maxTokens"},
		{"last chunk without identity", "/language", languageBody, "secret", "Last-Event-ID", "3", 400, tpmessage.RefusalBadRequest, "Request-Id"},
		{"time limit", "/language", languageBody, "secret", "Request-Timeout", "soon", 400, tpmessage.RefusalBadRequest, "duration"},
		{"no key", "/booking", "{}", "secret", "", "", 400, tpmessage.RefusalBadRequest, "Idempotency-Key"},
		{"key without a time", "/booking", "{}", "secret", "Idempotency-Key", "8c5a0f0e-6f3c-4f57-9d1c-1d1b7f1f6a11", 400, tpmessage.RefusalBadRequest, "version 7"},
		{"large body", "/booking", strings.Repeat("x", tpfront.MaxBodyBytes+1), "secret", "", "", 413, tpmessage.RefusalTooLarge, "bytes"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, c.path, strings.NewReader(c.body))
			r.Header.Set("Authorization", "Bearer "+c.token)
			if c.header != "" {
				r.Header.Set(c.header, c.value)
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			var got tpfront.RefusalBody
			if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
				t.Fatal(err)
			}
			if w.Code != c.status || got.Code != c.code || !got.NotRun || !strings.Contains(got.Reason, c.reason) {
				t.Errorf("got %d %+v, want %d %s with %q, not run", w.Code, got, c.status, c.code, c.reason)
			}
		})
	}
}
