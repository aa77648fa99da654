package tpcrash

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Avoid returns the names of the targets that a request should reach only if no
// other can take it: those that have crashed at a key of the request since its
// last answer, and those that have started since, which may replace them. A
// sound request is answered elsewhere, which clears its keys. One that crashes
// targets shows with another one that no single faulty target is the cause.
func (g *Guard) Avoid(req *tpmessage.RelayRequest) []string {
	if len(g.entries) == 0 {
		return nil
	}
	crashed := make(map[string]bool)
	var since time.Time
	for _, key := range Keys(req) {
		e, known := g.entries[key]
		if !known || len(e.crashes) == 0 {
			continue
		}
		for _, id := range e.crashes {
			parsed := parseCrashID(id)
			crashed[parsed.target()] = true
		}
		if since.IsZero() || e.suspectedAt.Before(since) {
			since = e.suspectedAt
		}
	}
	if len(crashed) == 0 {
		return nil
	}
	var names []string
	for name, p := range g.processes {
		if crashed[name] || p.startedMs > since.UnixMilli() {
			names = append(names, name)
		}
	}
	return names
}
