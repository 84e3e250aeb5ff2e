package psbackend

import (
	"net/netip"
	"time"

	"persimmonstep/internal/process/pslimit"
)

// Behaviour configures a stand-in. Its zero value runs every request at once.
type Behaviour struct {
	// Slots is the number of requests that run at the same time; 0 means no limit.
	Slots int
	// Queue is the number of requests that may wait for a slot. Requests beyond it are shed.
	Queue int
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
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

// serviceTime returns how long a request runs.
func (b *Behaviour) serviceTime(cacheHit bool) time.Duration {
	if cacheHit {
		return time.Duration(cacheHitFactor * float64(b.ServiceTime))
	}
	return b.ServiceTime
}

// Stats are the counters of a stand-in.
type Stats struct {
	// Runs counts the requests that started to run.
	Runs int
	// Shed counts the requests that were rejected without being run.
	Shed int
	// Running is the number of requests that run now, and PeakRunning its highest value.
	Running     int
	PeakRunning int
	// LastRun is when a request last started to run.
	LastRun time.Time
	// RequestsInPause is the highest number of requests that one address sent during a pause, not counting
	// those of the first half second.
	RequestsInPause int
}
