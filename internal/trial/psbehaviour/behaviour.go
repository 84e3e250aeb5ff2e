// Package psbehaviour decides what a stand-in for a backend server does with a request: how long it runs, on a machine that may
// be slow for a time, and which fault of a table of faults it has. It has no clock and no I/O.
package psbehaviour

import (
	"net/netip"
	"strings"
	"time"

	"persimmonstep/internal/process/pslimit"
	"persimmonstep/internal/trial/psspell"
)

// Behaviour configures a stand-in. Its zero value runs every request at once.
type Behaviour struct {
	// Slots is the number of requests that run at the same time; 0 means no limit.
	Slots int
	// Queue is the number of requests that may wait for a slot. Requests beyond it are shed.
	Queue int
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
	// RouteTimes are the service times of requests whose path begins with a prefix, in place of ServiceTime.
	RouteTimes []RouteTime
	// Spells are the times in which the machine is slow; nil if it never is. A server with spells states in its load reports
	// how long work currently takes.
	Spells *psspell.Spells
	// CacheSize is the number of objects that the server caches. A request for a cached object takes
	// a third of the service time.
	CacheSize int
	// LatencyFrom is the delay before each request from an address. It simulates the round trip of
	// the network.
	LatencyFrom map[netip.Addr]time.Duration
	// Leaving makes all responses announce the shutdown of the server.
	Leaving bool
	// Pause makes the server reject all requests and ask in Retry-After for none during this time; 0 disables it.
	Pause time.Duration
	// Limit is named in all responses. Unlike a real server's, it has no effect on the stand-in itself.
	Limit pslimit.Limit
	// Faults is the fault table.
	Faults []Fault
}

// cacheHitFactor is the fraction of the service time that a request for a cached object takes.
const cacheHitFactor = 1.0 / 3

// RouteTime is the service time of the requests of one route.
type RouteTime struct {
	Prefix      string
	ServiceTime time.Duration
}

// TimeOf returns how long a request runs on a machine that isn't slow.
func (b *Behaviour) TimeOf(path string, cacheHit bool) time.Duration {
	t := b.ServiceTime
	for _, r := range b.RouteTimes {
		if strings.HasPrefix(path, r.Prefix) {
			t = r.ServiceTime
		}
	}
	if cacheHit {
		return CachedTime(t)
	}
	return t
}

// CachedTime returns how long a request runs if its object is cached.
func CachedTime(uncached time.Duration) time.Duration {
	return time.Duration(cacheHitFactor * float64(uncached))
}

// RunTime returns how long work that starts at a time takes.
func (b *Behaviour) RunTime(work time.Duration, now time.Time) time.Duration {
	if b.Spells == nil {
		return work
	}
	start := now.Sub(b.Spells.Origin)
	return b.Spells.Finish(start, work) - start
}
