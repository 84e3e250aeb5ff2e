// Package pscrash detects crashed backend servers: it tries to connect to a server that lost a request, which means
// that a connection failed after the request was sent and before its response was complete.
//
// It handles this failure pattern: a server crashes and loses all its requests at once. A crashed server accepts
// no connections, so one connection attempt shows the crash. Checks of one server have a minimum interval, and
// the requests that are lost together share the result of one check.
package pscrash

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// minCheckInterval is the minimum time between two checks of one server.
	minCheckInterval = 300 * time.Millisecond
	// dialTimeout bounds the connection attempt of a check.
	dialTimeout = 300 * time.Millisecond
)

// Detector checks servers and records when it did, by their ids. The zero value has checked none. It is safe for
// concurrent use.
type Detector struct {
	mutex     sync.Mutex
	checkedAt map[string]time.Time
	// downAt is when a check found a server down.
	downAt map[string]time.Time
}

// Status is the result of a check.
type Status uint8

const (
	// Up servers accept connections, or were not checked again because the last check was too recent.
	Up Status = iota
	// Down servers accept no connections, as a recent check found.
	Down
	// FoundDown servers accept no connections, and this check is the one that found it.
	FoundDown
)

// Check tries to connect to a server, unless it was checked recently.
func (d *Detector) Check(id string, address netip.AddrPort, now func() time.Time) Status {
	if start := now(); !d.due(id, start) {
		return d.recentStatus(id, start)
	}
	conn, err := net.DialTimeout("tcp", address.String(), dialTimeout)
	if err == nil {
		_ = conn.Close()
		return Up
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.downAt[id] = now()
	return FoundDown
}

// due reports whether a server may be checked now, and if so records the check.
func (d *Detector) due(id string, now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.checkedAt == nil {
		d.checkedAt = make(map[string]time.Time)
		d.downAt = make(map[string]time.Time)
	}
	if now.Sub(d.checkedAt[id]) < minCheckInterval {
		return false
	}
	d.checkedAt[id] = now
	return true
}

// recentStatus returns the result of the last check if that was within the minimum interval.
func (d *Detector) recentStatus(id string, now time.Time) Status {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if now.Sub(d.downAt[id]) < minCheckInterval {
		return Down
	}
	return Up
}
