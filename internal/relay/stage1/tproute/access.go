package tproute

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// maxConfirmedAge is the age up to which the node's copy of the configuration
// counts as confirmed. It is below the 3 s after which a configuration must be in
// force everywhere, so that a key which this node does not know is not a key of
// such a configuration.
const maxConfirmedAge = 2 * time.Second

// CopyAge is what a node knows of the age of its copy of the configuration. The
// zero value is a copy that was never confirmed.
type CopyAge struct {
	Confirmed bool
	Age       time.Duration // of the last confirmation, if Confirmed
}

// exceeds reports whether the copy may miss a change that is older than limit.
func (a CopyAge) exceeds(limit time.Duration) bool { return !a.Confirmed || a.Age > limit }

// AccessSettings configures what keys a node accepts. With StrictRevoke it
// accepts none once its copy of the configuration has been unconfirmed for longer
// than RevokeAfter.
type AccessSettings struct {
	StrictRevoke bool
	RevokeAfter  time.Duration
}

// Access is the answer to whether a request may use its route.
type Access uint8

// Answers of Table.Admit.
const (
	AccessGranted     Access = iota
	AccessNoKey              // the request has no key
	AccessManyKeys           // the request has more than one key
	AccessUnknownKey         // no organisation has the key
	AccessUnconfirmed        // an organisation that the node does not know yet may have the key, or its key may have been removed
)

// Authenticate returns the organisation that holds the only key of a credential.
// It returns false if there is none.
func (t *Table) Authenticate(c tpmessage.Credential) (*tpmessage.RelayOrganisation, bool) {
	if c.Keys != 1 {
		return nil, false
	}
	org, known := t.holders[c.Hash]
	return org, known
}

// Admit decides whether a request with a credential may use a route, and for
// which organisation, which is nil without one. A public route is open to all
// requests. The name of its caller's organisation is left out if the key may have
// been removed.
func (t *Table) Admit(route *tpmessage.RelayRoute, c tpmessage.Credential, age CopyAge, cfg AccessSettings) (*tpmessage.RelayOrganisation, Access) {
	if !t.Config.HasOrganisations {
		return nil, AccessGranted
	}
	org, known := t.Authenticate(c)
	mayBeRevoked := cfg.StrictRevoke && age.exceeds(cfg.RevokeAfter)
	switch {
	case route.Public && mayBeRevoked:
		return nil, AccessGranted
	case route.Public, known && !mayBeRevoked:
		return org, AccessGranted
	case c.Keys == 0:
		return nil, AccessNoKey
	case c.Keys > 1:
		return nil, AccessManyKeys
	case mayBeRevoked, age.exceeds(maxConfirmedAge):
		return nil, AccessUnconfirmed
	}
	return nil, AccessUnknownKey
}

// holdersOf returns the organisations by the hashes of their keys.
func holdersOf(cfg *tpmessage.RelayConfig) map[tpmessage.KeyHash]*tpmessage.RelayOrganisation {
	count := 0
	for i := range cfg.Organisations {
		count += len(cfg.Organisations[i].Keys)
	}
	holders := make(map[tpmessage.KeyHash]*tpmessage.RelayOrganisation, count)
	for i := range cfg.Organisations {
		org := &cfg.Organisations[i]
		for _, hash := range org.Keys {
			holders[hash] = org
		}
	}
	return holders
}
