// Package psstandin is a small stand-in for the platform: a transactional table, an object
// store and a VM list in memory, reached over the protocol of psplatform.
//
// It exists for development and tests. A fault table makes it slow, makes it refuse calls,
// loses answers after a write took effect, or serves stale reads.
package psstandin

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"persimmonstep/internal/process/psplatform"
)

// Store is the table and the objects. Its zero value is empty and ready.
type Store struct {
	mutex    sync.Mutex
	rows     map[string]psplatform.Row
	frozen   map[string]psplatform.Row
	objects  map[string][]byte
	machines map[string]psplatform.MachineState
	revision uint64
	commits  uint64
	reads    uint64
}

// Freeze keeps the rows as they are now for stale reads.
func (s *Store) Freeze() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.frozen = maps.Clone(s.rows)
}

// view returns the rows, or the frozen ones. The mutex is held.
func (s *Store) view(stale bool) map[string]psplatform.Row {
	if stale {
		return s.frozen
	}
	return s.rows
}

// Read returns rows by key.
func (s *Store) Read(keys []string) []psplatform.Row {
	return s.read(keys, false)
}

func (s *Store) read(keys []string, stale bool) []psplatform.Row {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads++
	rows := s.view(stale)
	out := make([]psplatform.Row, len(keys))
	for i, k := range keys {
		out[i] = rows[k]
		out[i].Key = k
	}
	return out
}

// Scan returns rows by prefix in key order.
func (s *Store) Scan(prefix, after string, limit int) []psplatform.Row {
	return s.scan(prefix, after, limit, false)
}

func (s *Store) scan(prefix, after string, limit int, stale bool) []psplatform.Row {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads++
	rows := s.view(stale)
	var keys []string
	for k := range rows {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	if limit > 0 && len(keys) > limit {
		keys = keys[:limit]
	}
	out := make([]psplatform.Row, len(keys))
	for i, k := range keys {
		out[i] = rows[k]
	}
	return out
}

// Commit carries out a transaction, or returns the row that failed a condition.
func (s *Store) Commit(t psplatform.Transaction) (uint64, *psplatform.Row) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.commits++
	for _, c := range t.Conditions {
		r := s.rows[c.Key]
		if r.Revision != c.Revision {
			r.Key = c.Key
			return 0, &r
		}
	}
	s.revision++
	if s.rows == nil {
		s.rows = make(map[string]psplatform.Row)
	}
	for _, w := range t.Writes {
		if w.Delete {
			delete(s.rows, w.Key)
			continue
		}
		s.rows[w.Key] = psplatform.Row{Key: w.Key, Value: w.Value, Revision: s.revision}
	}
	return s.revision, nil
}

// Put stores an object; an object that exists stays as it is.
func (s *Store) Put(name string, content []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.objects == nil {
		s.objects = make(map[string][]byte)
	}
	if _, found := s.objects[name]; !found {
		s.objects[name] = content
	}
}

// Get returns an object.
func (s *Store) Get(name string) ([]byte, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	content, found := s.objects[name]
	return content, found
}

// SetMachine enters a machine into the platform's list.
func (s *Store) SetMachine(name string, state psplatform.MachineState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.machines == nil {
		s.machines = make(map[string]psplatform.MachineState)
	}
	s.machines[name] = state
}

// Machines returns the platform's list.
func (s *Store) Machines() []psplatform.Machine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	out := make([]psplatform.Machine, 0, len(s.machines))
	for n, m := range s.machines {
		out = append(out, psplatform.Machine{Name: n, State: m})
	}
	slices.SortFunc(out, func(a, b psplatform.Machine) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Commits returns the number of commit calls so far.
func (s *Store) Commits() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.commits
}

// Reads returns the number of read and scan calls so far.
func (s *Store) Reads() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reads
}
