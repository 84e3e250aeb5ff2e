package psbackend

import (
	"net/netip"
	"time"
)

// Behaviour is how a stand-in behaves. Its zero value runs every request at once.
type Behaviour struct {
	// Slots is the number of requests that run at a time; 0 sets no bound.
	Slots int
	// Queue is the number of requests that wait for a slot; those above are shed.
	Queue int
	// ServiceTime is the time of one run.
	ServiceTime time.Duration
	// Holds is the number of objects that the server keeps at hand. Runs on one of them take
	// a third of the service time.
	CacheSize int
	// LatencyFrom is added before each run of a request from an address. It stands for the
	// network in front of the server.
	LatencyFrom map[netip.Addr]time.Duration
	// Leaving makes all answers say that the server ends.
	Leaving bool
	// Quiet makes the server turn all requests away and ask for so long without any; 0 doesn't.
	Pause time.Duration
	// Faults is the fault table.
	Faults []Fault
}

// heldPart is the part of the service time of a run on an object that is at hand.
const cacheHitFactor = 1.0 / 3

// serviceTime is the time of one run.
func (b *Behaviour) serviceTime(held bool) time.Duration {
	if held {
		return time.Duration(cacheHitFactor * float64(b.ServiceTime))
	}
	return b.ServiceTime
}

// Stats counts what a stand-in did.
type Stats struct {
	// Runs counts begun runs.
	Runs int
	// Shed counts requests answered as not run.
	Shed int
	// Running is the number of runs under way, and HighWater its highest value.
	Running     int
	PeakRunning int
	// LastRun is when a run last began.
	LastRun time.Time
	// Disturbed is the highest number of requests from one address in a time in which it was to send
	// none, not counting those of the first half second.
	RequestsInPause int
}
