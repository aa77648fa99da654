package tpobject

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"sync"
)

// Memory is a Store in the memory of the process. The zero value is empty and
// ready to use. Its methods may be called concurrently.
type Memory struct {
	mu        sync.Mutex
	version   uint64
	objects   map[string]Object
	deletions map[string]uint64 // version of the deletion by object name, for watches
	changed   chan struct{}     // closed at the next write; nil if no watch waits
}

// Get implements Store.
func (m *Memory) Get(_ context.Context, name string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[name]
	if !ok {
		return Object{}, ErrNotFound
	}
	return clone(o), nil
}

// Put implements Store.
func (m *Memory) Put(_ context.Context, name string, value []byte, version uint64) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[name].Version != version {
		return 0, ErrConflict
	}
	if m.objects == nil {
		m.objects = make(map[string]Object)
	}
	m.version++
	m.objects[name] = Object{Name: name, Value: bytes.Clone(value), Version: m.version}
	delete(m.deletions, name)
	m.notifyWatches()
	return m.version, nil
}

// Delete implements Store.
func (m *Memory) Delete(_ context.Context, name string, version uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[name]
	if !ok {
		return ErrNotFound
	}
	if o.Version != version {
		return ErrConflict
	}
	m.version++
	delete(m.objects, name)
	if m.deletions == nil {
		m.deletions = make(map[string]uint64)
	}
	m.deletions[name] = m.version
	m.notifyWatches()
	return nil
}

// List implements Store.
func (m *Memory) List(_ context.Context, prefix string) ([]Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Object
	for name, o := range m.objects {
		if strings.HasPrefix(name, prefix) {
			list = append(list, clone(o))
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, nil
}

// Watch implements Store. It returns no changes and no error if ctx is done
// first.
func (m *Memory) Watch(ctx context.Context, prefix string, after uint64) ([]Change, error) {
	for {
		m.mu.Lock()
		changes := m.changesAfter(prefix, after)
		if m.changed == nil {
			m.changed = make(chan struct{})
		}
		changed := m.changed
		m.mu.Unlock()
		if len(changes) > 0 {
			return changes, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// changesAfter returns the changes with a version above after, in the order of
// their versions. The caller must hold mu.
func (m *Memory) changesAfter(prefix string, after uint64) []Change {
	var changes []Change
	for name, o := range m.objects {
		if o.Version > after && strings.HasPrefix(name, prefix) {
			changes = append(changes, Change{Object: clone(o)})
		}
	}
	for name, version := range m.deletions {
		if version > after && strings.HasPrefix(name, prefix) {
			changes = append(changes, Change{Object: Object{Name: name, Version: version}, Deleted: true})
		}
	}
	sort.Slice(changes, func(i, j int) bool {
		return changes[i].Object.Version < changes[j].Object.Version
	})
	return changes
}

// notifyWatches wakes all waiting watches. The caller must hold mu.
func (m *Memory) notifyWatches() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

func clone(o Object) Object {
	o.Value = bytes.Clone(o.Value)
	return o
}
