// Package pswithdrawal keeps the set of withdrawn keys.
//
// The set only grows, so a withdrawal needs no agreement: a VM honours it at once and
// passes it on over any path that is left. A key is never taken out again, because a VM
// that restarts on an older configuration would trust it anew.
package pswithdrawal

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"persimmonstep/internal/version/psdoc"
)

// Set is a grow-only set of key ids. Its zero value is empty.
type Set struct {
	mutex sync.Mutex
	keys  atomic.Pointer[map[psdoc.Name]struct{}]
	// digest does not depend on the order in which keys were added.
	digest atomic.Uint64
}

// Has reports whether the key is withdrawn.
func (s *Set) Has(id psdoc.Name) bool {
	m := s.keys.Load()
	if m == nil {
		return false
	}
	_, found := (*m)[id]
	return found
}

// Add enters keys and returns those that are new.
func (s *Set) Add(ids ...psdoc.Name) []psdoc.Name {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	next := make(map[psdoc.Name]struct{})
	if m := s.keys.Load(); m != nil {
		for k := range *m {
			next[k] = struct{}{}
		}
	}
	var fresh []psdoc.Name
	for _, k := range ids {
		if _, found := next[k]; !found {
			fresh = append(fresh, k)
			next[k] = struct{}{}
			s.digest.Store(s.digest.Load() ^ xxhash.Sum64String(string(k)))
		}
	}
	if len(fresh) > 0 {
		s.keys.Store(&next)
	}
	return fresh
}

// All lists the withdrawn keys in no particular order.
func (s *Set) All() []psdoc.Name {
	m := s.keys.Load()
	if m == nil {
		return nil
	}
	out := make([]psdoc.Name, 0, len(*m))
	for k := range *m {
		out = append(out, k)
	}
	return out
}

// Summary returns the number of keys and a digest of them, which is the same for equal sets.
func (s *Set) Summary() (count int, digest uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if m := s.keys.Load(); m != nil {
		count = len(*m)
	}
	return count, s.digest.Load()
}
