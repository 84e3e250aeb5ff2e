// Package psspell models machines that are slow for short spells.
package psspell

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Spells are the times in which a server's machine is slow. Outside of them work takes its usual time.
type Spells struct {
	// Origin is the time that all others are relative to. Before it the machine isn't slow.
	Origin time.Time
	// Factor is how much longer work takes in a spell.
	Factor float64
	// Changes are the times at which spells begin and end by turns, in order.
	Changes []time.Duration
}

// Draw draws the spells of a server up to a time. Their lengths and the times between them are exponentially
// distributed with the given means.
func Draw(seed uint64, server int, factor float64, length, gap, span time.Duration) Spells {
	s := Spells{Factor: factor}
	r := rand.New(rand.NewPCG(seed, uint64(server)))
	for at := time.Duration(0); at < span; {
		mean := gap
		if len(s.Changes)%2 == 1 {
			mean = length
		}
		at += time.Duration(r.ExpFloat64() * float64(mean))
		s.Changes = append(s.Changes, at)
	}
	return s
}

// FactorAt returns how long work takes at a time, as a multiple of the usual time.
func (s *Spells) FactorAt(at time.Duration) float64 {
	factor := 1.0
	s.pieces(at, func(_ time.Duration, f float64) bool {
		factor = f
		return false
	})
	return factor
}

// Finish returns when work that starts at a time ends, if it takes the given time on a machine that isn't slow.
func (s *Spells) Finish(start, work time.Duration) time.Duration {
	left, at := float64(work), start
	s.pieces(start, func(end time.Duration, factor float64) bool {
		if done := float64(end-at) / factor; done < left {
			left -= done
			at = end
			return true
		}
		at += time.Duration(left * factor)
		return false
	})
	return at
}

// Work returns how much work one slot does between two times, as the time that it takes on a machine that isn't slow.
func (s *Spells) Work(from, until time.Duration) time.Duration {
	done, at := 0.0, from
	s.pieces(from, func(end time.Duration, factor float64) bool {
		end = min(end, until)
		done += float64(end-at) / factor
		at = end
		return at < until
	})
	return time.Duration(done)
}

// forever is the end of the time after the last change.
const forever = time.Duration(1<<63 - 1)

// pieces calls f with the end and the factor of each piece of time without a change, from the one with a time on, as long
// as f returns true.
func (s *Spells) pieces(from time.Duration, f func(end time.Duration, factor float64) bool) {
	for i := sort.Search(len(s.Changes), func(i int) bool { return s.Changes[i] > from }); ; i++ {
		end, factor := forever, 1.0
		if i < len(s.Changes) {
			end = s.Changes[i]
		}
		if i%2 == 1 {
			factor = s.Factor
		}
		if !f(end, factor) || end == forever {
			return
		}
	}
}
