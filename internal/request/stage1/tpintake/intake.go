package tpintake

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// DefaultTimeout is the time limit of a request whose route sets none.
	DefaultTimeout = 2 * time.Minute
	// DefaultMaxTokens is the limit of answer tokens for a request that states
	// none.
	DefaultMaxTokens = 1024
	// MaxTokens is the largest limit of answer tokens that a request may
	// state.
	MaxTokens = 1 << 20
	// BytesPerToken is the assumed number of prompt bytes per token. It serves
	// to estimate the length of a prompt in tokens.
	BytesPerToken = 4
	// PrefixBytes is the maximum length of the start of a prompt whose hash
	// identifies a shared prefix. It is the estimated length of one piece of
	// work, 4,096 tokens.
	PrefixBytes = tpmessage.PieceTokens * BytesPerToken
)

// UncheckedRequest is a caller's request after decoding and before the checks
// of Validate.
type UncheckedRequest struct {
	Path        string
	Token       string // bearer token
	Site        string // caller's site; empty if the caller set none
	RequestID   string // empty if the caller set none
	Key         string // idempotency key
	Prompt      string
	MaxTokens   int
	Seed        int64
	Adapter     string
	Priority    int
	LastChunk   int           // number of the last chunk that the caller received, -1 for none
	Timeout     time.Duration // not positive if the caller set none
	Body        []byte        // body of a call to a plain service
	RemoteClock tpmessage.HybridTime
}

// Validate checks p against cfg and returns it as a request, or returns a
// refusal. A refused request has not run. The deadline counts from now.
func Validate(now time.Time, cfg *tpmessage.Config, p *UncheckedRequest) (tpmessage.Request, *tpmessage.Refusal) {
	var req tpmessage.Request
	route, ok := cfg.RouteByPath(p.Path)
	if !ok {
		return req, badRequest("no route at %q", p.Path)
	}
	pool, ok := cfg.PoolByName(route.Pool)
	if !ok {
		return req, badRequest("route %q has no pool", p.Path)
	}
	org, ok := organisationByToken(cfg, p.Token)
	if !ok {
		return req, badRequest("the bearer token belongs to no organisation")
	}
	id, refusal := resolveRequestID(p.RequestID)
	if refusal != nil {
		return req, refusal
	}
	req = tpmessage.Request{
		ID:           id,
		Organisation: org.Name,
		Site:         p.Site,
		Route:        route.Path,
		Pool:         pool.Name,
		Model:        pool.Model,
		Adapter:      p.Adapter,
		Idempotent:   route.Idempotent,
		Key:          p.Key,
		Priority:     p.Priority,
		ResumeFrom:   p.LastChunk + 1,
		Arrived:      now,
		Deadline:     now.Add(effectiveTimeout(route.Timeout, p.Timeout)),
	}
	if pool.Kind == tpmessage.PoolService {
		return acceptCall(req, p)
	}
	return acceptLanguage(req, p)
}

func acceptLanguage(req tpmessage.Request, p *UncheckedRequest) (tpmessage.Request, *tpmessage.Refusal) {
	if p.Prompt == "" {
		return req, badRequest("the prompt is empty")
	}
	if p.MaxTokens < 0 || p.MaxTokens > MaxTokens {
		return req, badRequest("maxTokens %d is not between 0 and %d", p.MaxTokens, MaxTokens)
	}
	req.Kind = tpmessage.KindLanguage
	req.Idempotent = true
	req.MaxTokens = p.MaxTokens
	if req.MaxTokens == 0 {
		req.MaxTokens = DefaultMaxTokens
	}
	req.Seed = p.Seed
	req.PromptTokens = (len(p.Prompt) + BytesPerToken - 1) / BytesPerToken
	req.PrefixHash = xxh3.HashString(p.Prompt[:min(len(p.Prompt), PrefixBytes)])
	req.Fingerprint = fingerprint(&req, []byte(p.Prompt))
	req.Body = []byte(p.Prompt)
	return req, nil
}

func acceptCall(req tpmessage.Request, p *UncheckedRequest) (tpmessage.Request, *tpmessage.Refusal) {
	req.Kind = tpmessage.KindServiceCall
	req.Body = p.Body
	req.Fingerprint = fingerprint(&req, p.Body)
	if req.Idempotent {
		return req, nil
	}
	key, err := uuid.Parse(p.Key)
	if err != nil || key.Version() != 7 {
		return req, badRequest("a non-idempotent call needs an Idempotency-Key that is a UUID version 7, got %q", p.Key)
	}
	req.Key = key.String()
	return req, nil
}

// fingerprint returns a hash of what makes two requests the same: their
// organisation, their route and their content.
func fingerprint(req *tpmessage.Request, content []byte) uint64 {
	return xxh3.HashSeed(content, xxh3.HashString(strconv.Quote(req.Organisation)+strconv.Quote(req.Route)))
}

// resolveRequestID returns the caller's request ID in canonical form, or a new
// ID if id is empty. It refuses an ID that is not a UUID.
func resolveRequestID(id string) (string, *tpmessage.Refusal) {
	if id == "" {
		generated, err := uuid.NewV7()
		if err != nil {
			return "", badRequest("no request identity: %v", err)
		}
		return generated.String(), nil
	}
	parsed, err := uuid.Parse(id)
	if err != nil {
		return "", badRequest("request identity %q is not a UUID", id)
	}
	return parsed.String(), nil
}

// TokenHash returns the hexadecimal SHA-256 of a bearer token, as the
// configuration stores it.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func organisationByToken(cfg *tpmessage.Config, token string) (tpmessage.Organisation, bool) {
	if token == "" {
		return tpmessage.Organisation{}, false
	}
	hash := TokenHash(token)
	for _, o := range cfg.Organisations {
		if o.TokenHash == hash {
			return o, true
		}
	}
	return tpmessage.Organisation{}, false
}

// effectiveTimeout returns the shorter of the route's and the caller's time
// limits. A limit that is not positive is unset; DefaultTimeout replaces an
// unset limit of the route.
func effectiveTimeout(route, caller time.Duration) time.Duration {
	if route <= 0 {
		route = DefaultTimeout
	}
	if caller <= 0 {
		return route
	}
	return min(route, caller)
}

func badRequest(format string, args ...any) *tpmessage.Refusal {
	return &tpmessage.Refusal{
		Code:   tpmessage.RefusalBadRequest,
		Reason: fmt.Sprintf(format, args...),
		NotRun: true,
	}
}
