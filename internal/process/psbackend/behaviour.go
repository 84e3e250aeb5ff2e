package psbackend

import (
	"time"

	"persimmonstep/internal/version/psdoc"
)

// Behaviour is how a stand-in behaves. Its zero value runs every request at once.
type Behaviour struct {
	// Slots is the number of requests that run at a time; those above are shed. 0 sets no bound.
	Slots int
	// ServiceTime is the time of one run.
	ServiceTime time.Duration
	// Latency is added before each run and stands for the network in front of the server.
	Latency time.Duration
	// LatencyFrom replaces Latency for requests that came through a VM, by its name in Via.
	LatencyFrom map[psdoc.Name]time.Duration
	// Cold makes the first runs after a start slower.
	Cold Cold
	// Draining makes every answer say that the server is leaving.
	Draining bool
	// Health is what the health path answers.
	Health HealthState
	// Load is the reported part of the capacity in use, as text; empty reports nothing.
	Load string
	// AnswerBytes pads the answer of a run to at least this size.
	AnswerBytes int
	// Faults is the fault table.
	Faults []Fault
}

// Cold makes runs slower after a start: the service time begins at Factor times its normal
// value and falls to it over Span.
type Cold struct {
	Factor float64
	Span   time.Duration
}

// HealthState is what the health path answers, true or not.
type HealthState string

const (
	// HealthTrue answers healthy, or leaving where the server is draining.
	HealthTrue HealthState = ""
	// HealthWrongDown answers unhealthy although requests run.
	HealthWrongDown HealthState = "wrongDown"
	// HealthWrongUp answers healthy although the server is draining.
	HealthWrongUp HealthState = "wrongUp"
	// HealthHang never answers.
	HealthHang HealthState = "hang"
)

// serviceTime is the time of a run that begins at an age since the server's start.
func (b *Behaviour) serviceTime(age time.Duration) time.Duration {
	if b.Cold.Span <= 0 || age >= b.Cold.Span || b.Cold.Factor <= 1 {
		return b.ServiceTime
	}
	left := 1 - float64(age)/float64(b.Cold.Span)
	return time.Duration(float64(b.ServiceTime) * (1 + (b.Cold.Factor-1)*left))
}

func (b *Behaviour) latency(vm psdoc.Name) time.Duration {
	if d, found := b.LatencyFrom[vm]; found {
		return d
	}
	return b.Latency
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
	// Connections is the number of open connections, and ConnectionsHighWater its highest value.
	Connections          int
	ConnectionsHighWater int
	// LastRun is when a run last began.
	LastRun time.Time
}
