// Package psload is an open-loop load generator that records the outcome of each request.
//
// Every arrival is drawn from a seed before the run and sent at its scheduled time, whether or not
// earlier requests have got their responses. In a closed loop, a slow system would reduce the load
// and thereby hide its queueing delay. The same seed gives the same schedule.
package psload

import (
	"cmp"
	"math"
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
	// Domains are the failure domains of the callers, with an equal part in each; if empty, most are in Home.
	Domains []int
	// FirstObject is the index of the first of the objects.
	FirstObject int
	// Wave and Surges change the rate during the run.
	Wave   Wave
	Surges []Surge
	// Pipelined is the fraction of the requests whose callers send further requests before they get the response. It
	// applies to idempotent routes only.
	Pipelined float64
}

// Wave is a change of a rate by a sine.
type Wave struct {
	// Amplitude is the greatest deviation as a fraction of the rate.
	Amplitude float64
	Period    time.Duration
	// Phase is the position in the wave at the start, as a fraction of the period.
	Phase float64
}

// Surge multiplies a rate for some time.
type Surge struct {
	From, To time.Duration
	Factor   float64
}

// factorAt returns the rate at a time as a multiple of the mean rate.
func (s *Stream) factorAt(at time.Duration) float64 {
	factor := 1.0
	if s.Wave.Amplitude > 0 {
		factor += s.Wave.Amplitude * math.Sin(2*math.Pi*(at.Seconds()/s.Wave.Period.Seconds()+s.Wave.Phase))
	}
	for _, v := range s.Surges {
		if at >= v.From && at < v.To {
			factor *= v.Factor
		}
	}
	return factor
}

// maxFactor returns an upper bound of factorAt.
func (s *Stream) maxFactor() float64 {
	factor := 1 + s.Wave.Amplitude
	for _, v := range s.Surges {
		factor *= max(1, v.Factor)
	}
	return factor
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
	// Pipelined reports that the request is sent on a connection that may have others without a response.
	Pipelined bool
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
		peak := s.maxFactor()
		for at := s.From + interarrivalTime(r, s.Rate*peak); at < end; at += interarrivalTime(r, s.Rate*peak) {
			// Arrivals drawn at the peak rate are dropped so that the others follow the rate of their time.
			if peak > 1 && r.Float64() >= s.factorAt(at)/peak {
				continue
			}
			out = append(out, s.draw(r, at, domains))
		}
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range out {
		out[i].Sequence = i
	}
	return out
}

// draw draws the request of an arrival.
func (s *Stream) draw(r *rand.Rand, at time.Duration, domains int) Arrival {
	a := Arrival{At: at, Stream: s}
	if len(s.Domains) > 0 {
		a.Domain = s.Domains[r.IntN(len(s.Domains))]
	} else {
		a.Domain = drawDomain(r, s.Home, domains)
	}
	a.Object = s.FirstObject + r.IntN(max(1, s.Objects))
	a.Pipelined = s.Pipelined > 0 && s.Kind == psconfig.Idempotent && r.Float64() < s.Pipelined
	return a
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
