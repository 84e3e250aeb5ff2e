// Package psblocklist blocks requests that crash the backend servers that run them.
//
// It answers this failure pattern: occasionally one request, also known as a poison request or query of death,
// crashes each server that runs it, and its caller retries it, at any VM. A crash is counted against every
// request that the server had in flight; a complete response clears a request. VMs exchange their counts.
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
	// local is the number of crashes that this VM counted, and peers holds the counts of other VMs. suspected is the
	// number of those that may be due to this VM's own links instead.
	local     int
	suspected int
	peers     map[string]int
	changedAt time.Time
}

// List holds a VM's crash counts by request. The zero value is empty.
type List struct {
	mutex   sync.Mutex
	entries map[Fingerprint]*entry
}

// Blocked reports whether a request must not be sent to any server.
func (l *List) Blocked(f Fingerprint, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e, found := l.entries[f]
	return found && now.Sub(e.changedAt) < crashWindow && e.total() >= crashLimit
}

// total returns the number of crashes over all VMs.
func (e *entry) total() int { return e.local + e.suspected + lo.Sum(lo.Values(e.peers)) }

// AddCrash counts a crash that this VM detected. It returns the number over all VMs.
func (l *List) AddCrash(f Fingerprint, now time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e := l.entry(f, now)
	e.local++
	e.changedAt = now
	return e.total()
}

// AddSuspected counts a crash as long as it is unknown whether this VM's links are the cause instead. Other VMs aren't
// told of it. It returns the number over all VMs.
func (l *List) AddSuspected(f Fingerprint, now time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e := l.entry(f, now)
	e.suspected++
	e.changedAt = now
	return e.total()
}

// Confirm turns a suspected crash of a request into one that this VM detected.
func (l *List) Confirm(f Fingerprint) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if e, found := l.entries[f]; found && e.suspected > 0 {
		e.suspected--
		e.local++
	}
}

// ForgetSuspected removes all suspected crashes, because this VM's links are the cause.
func (l *List) ForgetSuspected() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, e := range l.entries {
		e.suspected = 0
	}
}

// SetPeerCount records another VM's count.
func (l *List) SetPeerCount(vm string, f Fingerprint, count int, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e := l.entry(f, now)
	if e.peers[vm] != count {
		e.peers[vm] = count
		e.changedAt = now
	}
}

// Clear removes a request that got a complete response.
func (l *List) Clear(f Fingerprint) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.entries, f)
}

// LocalCounts returns the counts of this VM, to be sent to the other VMs.
func (l *List) LocalCounts(now time.Time) map[Fingerprint]int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counts := make(map[Fingerprint]int)
	for f, e := range l.entries {
		if e.local > 0 && now.Sub(e.changedAt) < crashWindow {
			counts[f] = e.local
		}
	}
	return counts
}

// Crashes is [List.LocalCounts] in the form of reports.
func (l *List) Crashes(now time.Time) map[uint64]int {
	return lo.MapKeys(l.LocalCounts(now), func(_ int, f Fingerprint) uint64 { return uint64(f) })
}

// RecordPeerCrashes records the counts in the report of another VM.
func (l *List) RecordPeerCrashes(vm string, crashes map[uint64]int, now time.Time) {
	for f, count := range crashes {
		l.SetPeerCount(vm, Fingerprint(f), count, now)
	}
}

func (l *List) entry(f Fingerprint, now time.Time) *entry {
	if l.entries == nil {
		l.entries = make(map[Fingerprint]*entry)
	}
	e, found := l.entries[f]
	if !found || now.Sub(e.changedAt) >= crashWindow {
		l.evict()
		e = &entry{peers: make(map[string]int), changedAt: now}
		l.entries[f] = e
	}
	return e
}

// evict removes the entry that has not changed for the longest time if the list is full.
func (l *List) evict() {
	if len(l.entries) < maxEntries {
		return
	}
	oldest := lo.MinBy(lo.Entries(l.entries), func(a, b lo.Entry[Fingerprint, *entry]) bool { return a.Value.changedAt.Before(b.Value.changedAt) })
	delete(l.entries, oldest.Key)
}
