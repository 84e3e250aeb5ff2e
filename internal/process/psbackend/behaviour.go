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
	Holds int
	// LatencyFrom is added before each run of a request from an address. It stands for the
	// network in front of the server.
	LatencyFrom map[netip.Addr]time.Duration
	// Cold makes the first runs after a start slower.
	Cold Cold
	// Health is what the health path answers.
	Health HealthState
	// Faults is the fault table.
	Faults []Fault
}

// heldPart is the part of the service time of a run on an object that is at hand.
const heldPart = 1.0 / 3

// Cold makes runs slower after a start: the service time begins at Factor times its normal
// value and falls to it over Span.
type Cold struct {
	Factor float64
	Span   time.Duration
}

// HealthState is what the health path answers, true or not.
type HealthState string

const (
	// HealthTrue answers healthy.
	HealthTrue HealthState = ""
	// HealthWrongDown answers unhealthy although requests run.
	HealthWrongDown HealthState = "wrongDown"
	// HealthHang never answers.
	HealthHang HealthState = "hang"
)

// serviceTime is the time of a run that begins at an age since the server's start.
func (b *Behaviour) serviceTime(age time.Duration, held bool) time.Duration {
	span := b.ServiceTime
	if held {
		span = time.Duration(heldPart * float64(span))
	}
	if b.Cold.Span <= 0 || age >= b.Cold.Span || b.Cold.Factor <= 1 {
		return span
	}
	left := 1 - float64(age)/float64(b.Cold.Span)
	return time.Duration(float64(span) * (1 + (b.Cold.Factor-1)*left))
}

// Stats counts what a stand-in did.
type Stats struct {
	// Runs counts begun runs.
	Runs int
	// Shed counts requests answered as not run.
	Shed int
	// Crashes counts runs that took the server down.
	Crashes int
	// Cancelled counts runs whose caller went away.
	Cancelled int
	// Running is the number of runs under way, and HighWater its highest value.
	Running   int
	HighWater int
	// LastRun is when a run last began.
	LastRun time.Time
}
