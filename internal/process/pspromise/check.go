// Package pspromise counts broken promises in what callers and backend servers saw of a run.
//
// The checks use only times at which something was seen for certain: a request was
// admitted somewhere between its sending and the end of its answer. They can miss a broken
// promise, but they never count one that held.
package pspromise

import (
	"cmp"
	"slices"
	"time"

	"persimmonstep/internal/process/psload"
	"persimmonstep/internal/version/psdoc"
)

// Grace is how long a withdrawal or a drain may take to be in force everywhere.
const Grace = 5 * time.Second

// Workspace is the bound of a workspace.
type Workspace struct {
	Name psdoc.Name
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// Server is what a backend server saw.
type Server struct {
	Name   psdoc.Name
	Region psdoc.Name
	Slots  int
	// HighWater is the greatest number of requests that ran at a time.
	HighWater int
	// Runs counts runs by Idempotency-Key.
	Runs map[string]int
	// DrainedAt is when the server's drain began; 0 where it was not drained.
	DrainedAt time.Duration
	// LastRun is when the last run began.
	LastRun time.Duration
}

// Withdrawal is the withdrawal of a workspace's only key.
type Withdrawal struct {
	Workspace psdoc.Name
	At        time.Duration
}

// Evidence is what is known of a run.
type Evidence struct {
	Workspaces []Workspace
	// Fractions bounds the shifted part of each route.
	Fractions map[psdoc.Name]float64
	// Homes names the region of each caller's failure domain.
	Homes        []psdoc.Name
	Servers      []Server
	Observations []psload.Observation
	Withdrawals  []Withdrawal
	// Stopped names the VMs that were shut down gracefully.
	Stopped []psdoc.Name
}

// Broken counts broken promises.
type Broken struct {
	// ShiftBeyondCap counts shifted requests above their route's cap.
	ShiftBeyondCap int `json:"shiftBeyondCap"`
	// RateBeyondBound is the greatest number of runs above rate x window + burst.
	RateBeyondBound int `json:"rateBeyondBound"`
	// SlotsBeyondBound counts backend servers that ran more requests than they have slots.
	SlotsBeyondBound int `json:"slotsBeyondBound"`
	// RepeatedRuns counts exclusive requests that ran more than once.
	RepeatedRuns int `json:"repeatedRuns"`
	// FalseNotRun counts refusals that said "not run" of a request that ran.
	FalseNotRun int `json:"falseNotRun"`
	// ForeignAnswers counts answers that were not whole or belonged to another request.
	ForeignAnswers int `json:"foreignAnswers"`
	// KeysSeen counts requests with which a backend server received a key.
	KeysSeen int `json:"keysSeen"`
	// WithdrawnKeys counts requests served on a key withdrawn longer than the grace before.
	WithdrawnKeys int `json:"withdrawnKeys"`
	// LateWork counts drained servers that received work after the grace.
	LateWork int `json:"lateWork"`
	// CutByStop counts requests cut off by a VM that was shut down gracefully.
	CutByStop int `json:"cutByStop"`
}

// Total is the sum of all counts.
func (b Broken) Total() int {
	return b.ShiftBeyondCap + b.RateBeyondBound + b.SlotsBeyondBound + b.RepeatedRuns + b.FalseNotRun +
		b.ForeignAnswers + b.KeysSeen + b.WithdrawnKeys + b.LateWork + b.CutByStop
}

// Check counts the broken promises of a run.
func Check(e Evidence) Broken {
	runs := e.runs()
	return Broken{
		ShiftBeyondCap:   e.shiftBeyondCap(),
		RateBeyondBound:  e.rateBeyondBound(runs),
		SlotsBeyondBound: count(e.Servers, func(s Server) bool { return s.HighWater > s.Slots }),
		RepeatedRuns: count(e.Observations, func(o psload.Observation) bool {
			return o.Stream.Kind == psdoc.KindExclusive && runs[o.Key] > 1
		}),
		FalseNotRun: count(e.Observations, func(o psload.Observation) bool {
			return o.Ran == "no" && o.Tries == 1 && runs[o.Key] > 0
		}),
		ForeignAnswers: count(e.Observations, func(o psload.Observation) bool { return o.Foreign }),
		KeysSeen:       count(e.Observations, func(o psload.Observation) bool { return o.KeySeen }),
		WithdrawnKeys:  count(e.Observations, e.servedAfterWithdrawal),
		LateWork: count(e.Servers, func(s Server) bool {
			return s.DrainedAt > 0 && s.LastRun > s.DrainedAt+Grace
		}),
		CutByStop: count(e.Observations, func(o psload.Observation) bool {
			return slices.ContainsFunc(o.Cuts, func(vm psdoc.Name) bool { return slices.Contains(e.Stopped, vm) })
		}),
	}
}

func count[T any](all []T, broken func(T) bool) int {
	n := 0
	for _, v := range all {
		if broken(v) {
			n++
		}
	}
	return n
}

// runs counts the runs of each request over all servers.
func (e Evidence) runs() map[string]int {
	out := make(map[string]int)
	for _, s := range e.Servers {
		for k, n := range s.Runs {
			out[k] += n
		}
	}
	return out
}

// Shifted reports whether a request was served outside its caller's home region.
func (e Evidence) Shifted(o *psload.Observation) bool {
	i := slices.IndexFunc(e.Servers, func(s Server) bool { return s.Name == o.Server })
	return i >= 0 && e.Servers[i].Region != e.Homes[o.Domain]
}

// shiftBeyondCap compares the shifted requests of each route with its cap over the run.
func (e Evidence) shiftBeyondCap() int {
	shifted, all := make(map[psdoc.Name]int), make(map[psdoc.Name]int)
	for i := range e.Observations {
		o := &e.Observations[i]
		all[o.Stream.Route]++
		if o.Served() && e.Shifted(o) {
			shifted[o.Stream.Route]++
		}
	}
	beyond := 0
	for route, n := range shifted {
		beyond += max(0, n-int(e.Fractions[route]*float64(all[route])))
	}
	return beyond
}

// rateBeyondBound returns the worst excess of any workspace.
func (e Evidence) rateBeyondBound(runs map[string]int) int {
	worst := 0
	for _, w := range e.Workspaces {
		var admitted []psload.Observation
		for _, o := range e.Observations {
			if o.Stream.Workspace == w.Name && runs[o.Key] > 0 {
				admitted = append(admitted, o)
			}
		}
		worst = max(worst, w.excess(admitted))
	}
	return worst
}

// excess returns by how many requests the bound was broken in the worst window. Requests
// that were both sent and answered within a window were surely admitted in it.
func (w Workspace) excess(admitted []psload.Observation) int {
	slices.SortFunc(admitted, func(a, b psload.Observation) int { return cmp.Compare(a.Done, b.Done) })
	starts := make([]time.Duration, len(admitted))
	for i, o := range admitted {
		starts[i] = o.Sent
	}
	slices.Sort(starts)
	worst := 0.0
	for _, from := range starts {
		n := 0
		for _, o := range admitted {
			if o.Sent < from {
				continue
			}
			n++
			worst = max(worst, float64(n)-w.Rate*(o.Done-from).Seconds()-w.Burst)
		}
	}
	return int(worst)
}

func (e Evidence) servedAfterWithdrawal(o psload.Observation) bool {
	return o.Served() && slices.ContainsFunc(e.Withdrawals, func(w Withdrawal) bool {
		return w.Workspace == o.Stream.Workspace && o.Sent > w.At+Grace
	})
}
