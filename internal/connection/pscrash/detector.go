// Package pscrash looks whether a backend server that lost a request crashed.
//
// A server that crashed takes no connections. Looks at one server are spaced, and several
// requests that are lost together share the outcome of one look.
package pscrash

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// interval is the least time between two looks at a server.
	interval = 300 * time.Millisecond
	// timeout bounds a look.
	timeout = 300 * time.Millisecond
)

// Looks remembers when servers were looked at. The zero value is empty. It is safe for
// concurrent use.
type Looks struct {
	mutex sync.Mutex
	last  map[string]time.Time
	down  map[string]time.Time
}

// Finding is the outcome of a look.
type Finding uint8

const (
	// Up servers take connections, or were looked at too lately to tell.
	Up Finding = iota
	// Down servers take no connections.
	Down
	// FoundDown servers take none, and this look is the first to find it.
	FoundDown
)

// Look looks at a server, unless that was done lately.
func (l *Looks) Look(id string, at netip.AddrPort, now func() time.Time) Finding {
	if begun := now(); !l.due(id, begun) {
		return l.lately(id, begun)
	}
	probe, err := net.DialTimeout("tcp", at.String(), timeout)
	if err == nil {
		_ = probe.Close()
		return Up
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.down[id] = now()
	return FoundDown
}

// due reports whether a server may be looked at now.
func (l *Looks) due(id string, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.last == nil {
		l.last = make(map[string]time.Time)
		l.down = make(map[string]time.Time)
	}
	if now.Sub(l.last[id]) < interval {
		return false
	}
	l.last[id] = now
	return true
}

// lately returns what the last look found.
func (l *Looks) lately(id string, now time.Time) Finding {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Sub(l.down[id]) < interval {
		return Down
	}
	return Up
}
