// Package pspoison blocks poison requests: requests that crash the servers that run them.
//
// It answers this failure pattern: occasionally one request crashes each server that runs it,
// and its caller retries it, at any VM. A crash is counted against every request that the server had
// in flight; a complete response clears a request. VMs exchange their counts.
package psblocklist

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

const (
	// crashLimit is the number of crashes, over all VMs, from which on a request is blocked.
	crashLimit = 3
	// crashWindow is how long crashes count after the latest change of a request's counts.
	crashWindow = 90 * time.Second
	// maxEntries bounds the number of requests with counts.
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

// entry holds the crash counts of one request.
type entry struct {
	// local is the number of crashes that this VM counted, and peers holds the counts of other VMs.
	local int
	peers map[string]int
	at    time.Time
}

// Set holds a VM's crash counts by request. The zero value is empty.
type List struct {
	mutex   sync.Mutex
	entries map[Fingerprint]*entry
}

// Blocked reports whether a request must not be sent to any server.
func (s *List) Blocked(f Fingerprint, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e, found := s.entries[f]
	return found && now.Sub(e.at) < crashWindow && e.local+lo.Sum(lo.Values(e.peers)) >= crashLimit
}

// AddCrash counts a crash that this VM detected. It returns the number over all VMs.
func (s *List) AddCrash(f Fingerprint, now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e := s.entry(f, now)
	e.local++
	e.at = now
	return e.local + lo.Sum(lo.Values(e.peers))
}

// SetPeerCount records another VM's count.
func (s *List) SetPeerCount(vm string, f Fingerprint, count int, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e := s.entry(f, now)
	if e.peers[vm] != count {
		e.peers[vm] = count
		e.at = now
	}
}

// Clear removes a request that got a complete response.
func (s *List) Clear(f Fingerprint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.entries, f)
}

// LocalCounts returns the counts of this VM, to be sent to the other VMs.
func (s *List) LocalCounts(now time.Time) map[Fingerprint]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := make(map[Fingerprint]int)
	for f, e := range s.entries {
		if e.local > 0 && now.Sub(e.at) < crashWindow {
			counts[f] = e.local
		}
	}
	return counts
}

func (s *List) entry(f Fingerprint, now time.Time) *entry {
	if s.entries == nil {
		s.entries = make(map[Fingerprint]*entry)
	}
	e, found := s.entries[f]
	if !found || now.Sub(e.at) >= crashWindow {
		s.evict()
		e = &entry{peers: make(map[string]int), at: now}
		s.entries[f] = e
	}
	return e
}

// evict removes the entry that has not changed for the longest time if the set is full.
func (s *List) evict() {
	if len(s.entries) < maxEntries {
		return
	}
	oldest := lo.MinBy(lo.Entries(s.entries), func(a, b lo.Entry[Fingerprint, *entry]) bool { return a.Value.at.Before(b.Value.at) })
	delete(s.entries, oldest.Key)
}
