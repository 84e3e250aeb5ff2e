// Package psload sends a drawn schedule of requests and records what came back.
//
// The load is an open loop: every arrival is drawn from a seed before the run and sent at
// its time, whether or not earlier ones are answered, so that a slow system cannot hide
// its delay by slowing the load down. The same seed gives the same schedule.
package psload

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"persimmonstep/internal/version/psconfig"
)

// Stream is a kind of request that one workspace sends.
type Stream struct {
	// Workspace is the sending workspace.
	Workspace string
	// Route is the route's name, and Host and Prefix lead to it.
	Route  string
	Host   string
	Prefix string
	// Kind is the route's kind.
	Kind psconfig.Kind
	// Objects is the number of different objects that the requests are about; 0 for none.
	Objects int
	// Deadline is how long a caller waits for an answer.
	Deadline time.Duration
	// Rate is the mean number of requests per second.
	Rate float64
	// From and To bound the time of sending; a zero To stands for the whole run.
	From, To time.Duration
	// Home is the failure domain of most callers.
	Home int
	// BodyBytes is the size of each body.
	BodyBytes int
	// Marker selects faults of the backend server stand-ins.
	Marker string
}

// homePart is the part of a stream's callers that stand in its home failure domain.
const homeFraction = 0.6

// Arrival is one request of a schedule.
type Arrival struct {
	// Sequence numbers the requests of a schedule from 0.
	Sequence int
	// At is the time of sending since the start of the run.
	At time.Duration
	// Stream says what is sent.
	Stream *Stream
	// Domain is the index of the caller's failure domain.
	Domain int
	// Object is what the request is about, from 0.
	Object int
}

// Draw draws the arrivals of streams over a run in order of time. Each stream is a Poisson
// process; callers stand in one of a number of failure domains.
func Draw(seed uint64, streams []Stream, domains int, span time.Duration) []Arrival {
	var out []Arrival
	for i := range streams {
		s := &streams[i]
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		end := s.To
		if end == 0 || end > span {
			end = span
		}
		for at := s.From + interarrivalTime(r, s.Rate); at < end; at += interarrivalTime(r, s.Rate) {
			out = append(out, Arrival{At: at, Stream: s, Domain: drawDomain(r, s.Home, domains), Object: r.IntN(max(1, s.Objects))})
		}
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range out {
		out[i].Sequence = i
	}
	return out
}

func interarrivalTime(r *rand.Rand, rate float64) time.Duration {
	return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}

func drawDomain(r *rand.Rand, home, domains int) int {
	if r.Float64() < homeFraction {
		return home
	}
	return r.IntN(domains)
}
