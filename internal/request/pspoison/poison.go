// Package pspoison holds back requests that crash the servers that run them.
//
// It answers this load pattern: now and then one request crashes each server that runs it,
// and its caller sends it again, to any VM. A crash is counted against every request that
// the server had then; a whole answer clears a request. VMs tell each other their counts.
package pspoison

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

const (
	// crashes is the number of crashes, over all VMs, after which a request is held back.
	crashes = 3
	// span is how long a crash counts.
	span = 90 * time.Second
	// maxEntries bounds the remembered requests.
	maxEntries = 256
)

// Fingerprint identifies a request by its workspace, method, target and body.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(workspace, method, target string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, v := range []string{workspace, method, target} {
		_, _ = d.WriteString(v)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// entry is what is known of one request.
type entry struct {
	// own are this VM's crashes, and others those that other VMs count.
	own    int
	others map[string]int
	at     time.Time
}

// Set is what a VM knows of such requests. The zero value is empty.
type Set struct {
	mutex   sync.Mutex
	entries map[Fingerprint]*entry
}

// Held reports whether a request must not be sent to any server.
func (s *Set) Held(f Fingerprint, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e, found := s.entries[f]
	return found && now.Sub(e.at) < span && e.own+lo.Sum(lo.Values(e.others)) >= crashes
}

// Crashed counts a crash that this VM saw. It returns the number over all VMs.
func (s *Set) Crashed(f Fingerprint, now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e := s.entry(f, now)
	e.own++
	e.at = now
	return e.own + lo.Sum(lo.Values(e.others))
}

// Learned takes in another VM's count.
func (s *Set) Learned(vm string, f Fingerprint, count int, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e := s.entry(f, now)
	if e.others[vm] != count {
		e.others[vm] = count
		e.at = now
	}
}

// Answered clears a request that got its whole answer.
func (s *Set) Answered(f Fingerprint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.entries, f)
}

// Own returns this VM's counts, for the other VMs.
func (s *Set) Own(now time.Time) map[Fingerprint]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := make(map[Fingerprint]int)
	for f, e := range s.entries {
		if e.own > 0 && now.Sub(e.at) < span {
			counts[f] = e.own
		}
	}
	return counts
}

func (s *Set) entry(f Fingerprint, now time.Time) *entry {
	if s.entries == nil {
		s.entries = make(map[Fingerprint]*entry)
	}
	e, found := s.entries[f]
	if !found || now.Sub(e.at) >= span {
		s.makeRoom()
		e = &entry{others: make(map[string]int), at: now}
		s.entries[f] = e
	}
	return e
}

// makeRoom forgets the entry that changed first.
func (s *Set) makeRoom() {
	if len(s.entries) < maxEntries {
		return
	}
	oldest := lo.MinBy(lo.Entries(s.entries), func(a, b lo.Entry[Fingerprint, *entry]) bool { return a.Value.at.Before(b.Value.at) })
	delete(s.entries, oldest.Key)
}
