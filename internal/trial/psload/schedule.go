// Package psload is an open-loop load generator that records the outcome of each request.
//
// Every arrival is drawn from a seed before the run and sent at its scheduled time, whether or not
// earlier requests have got their responses. In a closed loop, a slow system would reduce the load
// and thereby hide its queueing delay. The same seed gives the same schedule.
package psload

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"persimmonstep/internal/version/psconfig"
)

// Stream describes the requests that one workspace sends to one route.
type Stream struct {
	// Workspace is the sending workspace.
	Workspace string
	// Route is the name of the route. Requests to Host with the path prefix Prefix match it.
	Route  string
	Host   string
	Prefix string
	// Kind is the kind of the route.
	Kind psconfig.Kind
	// Objects is the number of different objects that the requests are for; 0 means none.
	Objects int
	// Deadline is how long a caller waits for a response.
	Deadline time.Duration
	// Rate is the mean number of requests per second.
	Rate float64
	// From and To limit the time of sending, relative to the start; if To is 0, it ends with the run.
	From, To time.Duration
	// Home is the index of the failure domain of most callers.
	Home int
	// BodyBytes is the size of each request body.
	BodyBytes int
	// Marker selects the faults of the backend server stand-ins.
	Marker string
}

// homeFraction is the fraction of a stream's requests that always come from its home failure domain.
const homeFraction = 0.6

// Arrival is one request of a schedule.
type Arrival struct {
	// Sequence is the position of the request in the schedule, from 0.
	Sequence int
	// At is the scheduled time of sending, relative to the start of the run.
	At time.Duration
	// Stream describes the request.
	Stream *Stream
	// Domain is the index of the caller's failure domain.
	Domain int
	// Object is the index of the object that the request is for, from 0.
	Object int
}

// Draw draws the arrivals of all streams during a run, in order of time. Each stream is a Poisson
// process. Its callers are spread over the given number of failure domains.
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
