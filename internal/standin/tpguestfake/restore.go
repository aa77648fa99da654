package tpguestfake

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Restore replaces the content of the store by a copy that is as old as age. The
// changes since then are lost, their revisions are assigned again, and the era
// rises by one. A watch from a revision that the store does not have ends with
// 410 Gone; another one goes on. SetRefusalStatus simulates an outage before it.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	copiedAt := time.Now().Add(-age)
	s.history = slices.DeleteFunc(s.history, func(e event) bool { return e.at.After(copiedAt) })
	s.revision = 1
	s.objects = make(map[string]map[string]*entry)
	for _, e := range s.history {
		s.revision = e.revision
		if e.removed {
			delete(s.objects[e.kind], e.entry.Name)
			continue
		}
		if s.objects[e.kind] == nil {
			s.objects[e.kind] = make(map[string]*entry)
		}
		restored := e.entry
		s.objects[e.kind][restored.Name] = &restored
	}
	s.compactedRevision = min(s.compactedRevision, s.revision)
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// nameEra sets the header of a response that names the era. The caller must hold
// mu.
func (s *Store) nameEra(w http.ResponseWriter) {
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
}
