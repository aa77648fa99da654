package tprelaynode

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/membership/tpcontact"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// contactObjectPrefix is the prefix of the name of the object with the contacts
// of a region. The name of the region follows.
const contactObjectPrefix = "contacts/"

// storedContacts is what the platform stores. Err is the error of the read.
type storedContacts struct {
	list    []tpcontact.Contact
	version uint64 // of the object; 0 if there is none
	err     error
}

// contactFilter holds the ring of the filter that makes the calls for the
// contacts of the region. An input without contacts is the request to read them:
//
//	membership -> contacts ring -> contacts -> members ring (what is stored)
type contactFilter struct {
	node *Node
	ctx  context.Context // done when the node stops
	in   *tpring.Ring[storedContacts]
}

func newContactFilter(n *Node) *contactFilter {
	f := &contactFilter{node: n, in: tpring.New[storedContacts](tpring.Settings{Capacity: 2})}
	n.deps.Rings.Add("contacts", f.in)
	return f
}

func (n *Node) startContacts() error {
	ctx, cancel := context.WithCancel(context.Background())
	n.contacts.ctx = ctx
	if err := startFilter(n, "contacts", n.contacts.in, n.contacts.handle); err != nil {
		cancel()
		return err
	}
	n.onStop(cancel)
	return nil
}

func (f *contactFilter) handle(in storedContacts) {
	name := contactObjectPrefix + f.node.cfg.Region
	if len(in.list) == 0 {
		_ = f.node.members.in.Put(memberInput{kind: memberContacts, contacts: f.read(name)})
		return
	}
	data, err := json.Marshal(in.list)
	if err == nil {
		_, err = f.node.deps.Store.Put(f.ctx, name, data, in.version)
	}
	// The next read shows what is stored, so nothing is repeated here.
	if err != nil && !errors.Is(err, tpobject.ErrConflict) && f.ctx.Err() == nil {
		f.node.log.Warn().Str("event", "contactsNotStored").Err(err).Send()
	}
}

func (f *contactFilter) read(name string) storedContacts {
	o, err := f.node.deps.Store.Get(f.ctx, name)
	if errors.Is(err, tpobject.ErrNotFound) {
		return storedContacts{}
	}
	if err != nil {
		if f.ctx.Err() == nil {
			f.node.log.Warn().Str("event", "contactsNotRead").Err(err).Send()
		}
		return storedContacts{err: err}
	}
	stored := storedContacts{version: o.Version}
	if err := json.Unmarshal(o.Value, &stored.list); err != nil {
		// The next write replaces it.
		f.node.log.Warn().Str("event", "contactsUnreadable").Uint64("version", o.Version).Err(err).Send()
		stored.list = nil
	}
	return stored
}

// readContacts has the contacts read if that is due.
func (m *members) readContacts(now time.Time) {
	v := m.contactView()
	if m.finder.Due(now, &v) && m.node.contacts.in.TryPut(storedContacts{}) != nil {
		m.finder.Failed()
	}
}

// receiveContacts contacts the stored nodes that are no members, and has the
// contacts of this part stored if they differ.
func (m *members) receiveContacts(now time.Time, stored storedContacts) {
	if stored.err != nil {
		m.finder.Failed()
		return
	}
	v := m.contactView()
	step := m.finder.Read(now, &v, stored.list)
	m.introduce(now, step.Addresses)
	if len(step.Write) > 0 {
		m.node.log.Info().Str("event", "contacts").Int("members", len(v.Members)).Int("before", len(stored.list)).
			Int("stored", len(step.Write)).Send()
		_ = m.node.contacts.in.TryPut(storedContacts{list: step.Write, version: stored.version})
	}
}

// introduce sends a heartbeat that shows all members to the nodes at addresses.
func (m *members) introduce(now time.Time, addresses []string) {
	strangers := m.table.Strangers(addresses)
	if len(strangers) == 0 {
		return
	}
	m.node.log.Info().Str("event", "introduction").Strs("addresses", strangers).Send()
	hb := m.completeHeartbeat(m.table.Introduce(now), m.ownLoad)
	for _, address := range strangers {
		m.send(address, hb)
	}
}

func (m *members) contactView() tpcontact.View {
	live := m.table.Members()
	isServed := m.node.objects.serving.Load()
	rivals := slices.ContainsFunc(live[1:], func(other tpmessage.Member) bool {
		return other.Watching && tpcontact.Ranks(&other, &live[0])
	})
	return tpcontact.View{Members: live, First: isServed && !rivals}
}

// setSeeds replaces the seeds and contacts those that are no members.
func (m *members) setSeeds(now time.Time, seeds []string) {
	m.table.SetSeeds(seeds)
	m.introduce(now, seeds)
}

// SetSeeds replaces the seeds of the settings while the node runs.
func (n *Node) SetSeeds(seeds []string) {
	n.log.Info().Str("event", "seeds").Strs("seeds", seeds).Send()
	_ = n.members.in.Put(memberInput{kind: memberSeeds, seeds: seeds}) // the ring is closed only after the node has stopped
}
