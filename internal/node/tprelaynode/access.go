package tprelaynode

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"teaselpin.example/teaselpin/internal/relay/stage1/tproute"
	"teaselpin.example/teaselpin/internal/relay/tpfollow"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// maxFaultLines limits the log lines for the faults of one configuration, so that
// they do not displace others from the log's ring.
const maxFaultLines = 100

// accessState holds what the node's requests need to know about the age of the
// configuration, and counts the requests that it refuses because of their keys.
// The zero value is ready to use.
type accessState struct {
	// confirmedAt is a time of the lease clock up to which the configuration in
	// force includes all changes, or nil. The follow filter writes it.
	confirmedAt    atomic.Pointer[time.Time]
	unknownKey     atomic.Uint64
	unconfirmedKey atomic.Uint64
}

// setConfirmedAt publishes the age of the configuration. It is called after the
// configuration has been put in force, so that a request which finds the age
// finds no older configuration.
func (s *accessState) setConfirmedAt(follower *tpfollow.Follower) {
	at, confirmed := follower.ConfirmedAt()
	if last := s.confirmedAt.Load(); confirmed && (last == nil || !at.Equal(*last)) {
		s.confirmedAt.Store(&at)
	}
}

// age returns the age of the configuration. It must be read before the
// configuration.
func (s *accessState) age(now time.Time) tproute.CopyAge {
	at := s.confirmedAt.Load()
	if at == nil {
		return tproute.CopyAge{}
	}
	return tproute.CopyAge{Confirmed: true, Age: now.Sub(*at)}
}

// admit sets the organisation of a request on a route and the priority that
// follows from it. It returns a refusal if the request may not use the route.
func (n *Node) admit(t *tproute.Table, route *tpmessage.RelayRoute, req *tpmessage.RelayRequest, age tproute.CopyAge) *tpmessage.RelayRefusal {
	if !t.Config.HasOrganisations {
		maps.Copy(req.Header, req.OrganisationHeader)
	}
	req.OrganisationHeader = nil
	if caller, known := t.Authenticate(req.Credential); known {
		req.Caller = caller.Name
	}
	org, access := t.Admit(route, req.Credential, age, tproute.AccessSettings{
		StrictRevoke: n.cfg.StrictRevoke, RevokeAfter: n.cfg.RevokeAfter,
	})
	switch access {
	case tproute.AccessNoKey:
		n.access.unknownKey.Add(1)
		return n.rejectRequest(req, tpmessage.StatusUnauthorized, "the request has no key")
	case tproute.AccessManyKeys:
		n.access.unknownKey.Add(1)
		return n.rejectRequest(req, tpmessage.StatusUnauthorized, "the request has more than one key")
	case tproute.AccessUnknownKey:
		n.access.unknownKey.Add(1)
		return n.rejectRequest(req, tpmessage.StatusUnauthorized, "the key is unknown")
	case tproute.AccessUnconfirmed:
		n.access.unconfirmedKey.Add(1)
		return n.rejectRequest(req, tpmessage.StatusUnavailable, "the configuration of the node may be too old for the key")
	case tproute.AccessGranted:
	}
	if org != nil {
		req.Organisation = org.Name
		if org.HasPriority {
			req.Route.Priority = org.Priority
		}
	}
	return nil
}

// addAccessCounters adds the counters of keys, unless no configuration with
// organisations is or was in force.
func (n *Node) addAccessCounters(counters map[string]uint64) {
	unknown, unconfirmed := n.access.unknownKey.Load(), n.access.unconfirmedKey.Load()
	if t := n.table.Load(); t != nil && t.Config.HasOrganisations || unknown+unconfirmed > 0 {
		counters["unknownKey"], counters["unconfirmedKey"] = unknown, unconfirmed
	}
}

// logOrganisations logs the entries that were left out of a configuration.
func (n *Node) logOrganisations(cfg *tpmessage.RelayConfig) {
	if !cfg.HasOrganisations {
		return
	}
	n.log.Info().Str("event", "organisations").Uint64("generation", cfg.Generation).
		Int("count", len(cfg.Organisations)).Int("faults", len(cfg.OrganisationFaults)).Send()
	for _, f := range cfg.OrganisationFaults[:min(len(cfg.OrganisationFaults), maxFaultLines)] {
		n.log.Warn().Str("event", "organisationOmitted").Uint64("generation", cfg.Generation).
			Str("organisation", f.Organisation).Int("position", f.Position).Str("field", f.Field).Str("reason", f.Reason).Send()
	}
}

// withOrganisation adds the organisation of a request to its log line.
func withOrganisation(e *zerolog.Event, req *tpmessage.RelayRequest) *zerolog.Event {
	if req.Organisation != "" {
		e = e.Str("organisation", req.Organisation)
	}
	return e
}
