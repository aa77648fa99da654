package tprelaynode

import (
	"context"
	"sync"
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage1/tproute"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// keyUses holds the keys of the requests in progress that end when their key is
// removed. It is empty without StrictRevoke. Handlers of requests and the follow
// filter use it. The zero value is ready to use.
type keyUses struct {
	mu   sync.Mutex
	uses map[tpmessage.KeyHash]*keyUse
}

// keyUse is the use of one key.
type keyUse struct {
	authority context.Context // of the requests
	revoke    context.CancelFunc
	requests  int
	revokeAt  time.Time // zero while the key is in the configuration
}

// useKey gives a request that is admitted by its key the authority that ends with
// the key. The end of the request's handler ends the use.
func (n *Node) useKey(work *tpmessage.RelayWork) {
	u := &n.keyUses
	hash := work.Request.Credential.Hash
	u.mu.Lock()
	defer u.mu.Unlock()
	use := u.uses[hash]
	if use == nil {
		use = &keyUse{}
		use.authority, use.revoke = context.WithCancel(context.Background())
		if u.uses == nil {
			u.uses = make(map[tpmessage.KeyHash]*keyUse)
		}
		u.uses[hash] = use
		// The key may have been removed since the request was admitted.
		use.update(n.table.Load(), hash, n.leaseClock.Now().Add(n.cfg.RevokeAfter))
	}
	use.requests++
	work.Authority = use.authority
	context.AfterFunc(work.Ctx, func() { u.end(hash, use) })
}

// end records the end of a request.
func (u *keyUses) end(hash tpmessage.KeyHash, use *keyUse) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if use.requests--; use.requests > 0 {
		return
	}
	use.revoke()
	if u.uses[hash] == use {
		delete(u.uses, hash)
	}
}

// updateKeyUses applies the configuration in force to the keys in use.
func (n *Node) updateKeyUses() {
	u := &n.keyUses
	u.mu.Lock()
	defer u.mu.Unlock()
	for hash, use := range u.uses {
		use.update(n.table.Load(), hash, n.leaseClock.Now().Add(n.cfg.RevokeAfter))
	}
}

// update sets the time at which the use ends if the key has been removed, or
// resets it if the key is present.
func (u *keyUse) update(t *tproute.Table, hash tpmessage.KeyHash, revokeAt time.Time) {
	_, known := t.Authenticate(tpmessage.Credential{Keys: 1, Hash: hash})
	switch {
	case known || !t.Config.HasOrganisations:
		u.revokeAt = time.Time{}
	case u.revokeAt.IsZero():
		u.revokeAt = revokeAt
	}
}

// expire ends the requests whose key was removed some time ago.
func (u *keyUses) expire(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for hash, use := range u.uses {
		if !use.revokeAt.IsZero() && !now.Before(use.revokeAt) {
			use.revoke()
			delete(u.uses, hash)
		}
	}
}
