// Package pspromise counts broken promises in what callers and backend servers saw of a run.
//
// The checks use only times at which something was seen for certain: a request was
// admitted somewhere between its sending and the end of its answer. They can miss a broken
// promise, but they never count one that held.
package psguarantee

import (
	"cmp"
	"slices"
	"time"

	"persimmonstep/internal/process/psload"
)

// Grace is how long a withdrawal or a drain may take to be in force everywhere.
const PropagationGrace = 5 * time.Second

// Workspace is the bound of a workspace.
type Workspace struct {
	Name string
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst float64
	// Over is the tolerated part above the rate, and Slack the requests tolerated on top.
	Over, Slack float64
}

// Server is what a backend server saw.
type Server struct {
	ID     string
	Region string
	// Runs counts runs by request id.
	Runs map[string]int
	// DrainedAt is when the server's drain began; 0 where it was not drained.
	DrainedAt time.Duration
	// LastRun is when the last run began.
	LastRun time.Duration
	// Disturbed is the number of requests from one VM in a time in which the server wanted none.
	RequestsInPause int
}

// Withdrawal is the withdrawal of a workspace's only key.
type Withdrawal struct {
	Workspace string
	At        time.Duration
}

// Evidence is what is known of a run.
type History struct {
	Workspaces []Workspace
	// Homes names the region of each caller's failure domain.
	HomeRegions  []string
	Servers      []Server
	Observations []psload.Observation
	Withdrawals  []Withdrawal
	// Stopped names the VMs that were shut down gracefully.
	Stopped []string
}

// Broken counts broken promises.
type Violations struct {
	// RateBeyondBound is the greatest number of runs above rate x window + burst.
	RateBeyondBound int `json:"rateBeyondBound"`
	// RepeatedRuns counts requests that ran more than once and may not.
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
	// QuietBroken counts servers to which a VM sent more requests than may cross while they wanted none.
	QuietBroken int `json:"quietBroken"`
}

// Total is the sum of all counts.
func (b Violations) Total() int {
	return b.RateBeyondBound + b.RepeatedRuns + b.FalseNotRun +
		b.ForeignAnswers + b.KeysSeen + b.WithdrawnKeys + b.LateWork + b.CutByStop + b.QuietBroken
}

// crossing is the number of requests of one VM that may reach a server that wants none.
const maxCrossingPause = 2

// Check counts the broken promises of a run.
func Check(e History) Violations {
	runs := e.runs()
	return Violations{
		RateBeyondBound: e.rateBeyondBound(runs),
		RepeatedRuns: count(e.Observations, func(o psload.Observation) bool {
			return !o.Stream.Kind.Repeatable() && runs.of(o) > 1
		}),
		FalseNotRun: count(e.Observations, func(o psload.Observation) bool {
			return o.NotRun && runs[o.IDs[len(o.IDs)-1]] > 0
		}),
		ForeignAnswers: count(e.Observations, func(o psload.Observation) bool { return o.Mismatched }),
		KeysSeen:       count(e.Observations, func(o psload.Observation) bool { return o.KeyExposed }),
		WithdrawnKeys:  count(e.Observations, e.servedAfterWithdrawal),
		LateWork: count(e.Servers, func(s Server) bool {
			return s.DrainedAt > 0 && s.LastRun > s.DrainedAt+PropagationGrace
		}),
		QuietBroken: count(e.Servers, func(s Server) bool { return s.RequestsInPause > maxCrossingPause }),
		CutByStop: count(e.Observations, func(o psload.Observation) bool {
			return slices.ContainsFunc(o.AbortedBy, func(vm string) bool { return slices.Contains(e.Stopped, vm) })
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

// runs counts the runs of each request id over all servers.
type runs map[string]int

// of counts the runs of a request.
func (r runs) of(o psload.Observation) int {
	n := 0
	for _, id := range o.IDs {
		n += r[id]
	}
	return n
}

func (e History) runs() runs {
	out := make(runs)
	for _, s := range e.Servers {
		for k, n := range s.Runs {
			out[k] += n
		}
	}
	return out
}

// Shifted reports whether a request was served outside its caller's home region.
func (e History) Shifted(o *psload.Observation) bool {
	i := slices.IndexFunc(e.Servers, func(s Server) bool { return s.ID == o.Server })
	return i >= 0 && e.Servers[i].Region != e.HomeRegions[o.Domain]
}

// rateBeyondBound returns the worst excess of any workspace.
func (e History) rateBeyondBound(r runs) int {
	worst := 0
	for _, w := range e.Workspaces {
		var admitted []psload.Observation
		for _, o := range e.Observations {
			if o.Stream.Workspace == w.Name && r.of(o) > 0 {
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
			worst = max(worst, float64(n)-w.Rate*(1+w.Over)*(o.Done-from).Seconds()-w.Burst-w.Slack)
		}
	}
	return int(worst)
}

func (e History) servedAfterWithdrawal(o psload.Observation) bool {
	return o.Served() && slices.ContainsFunc(e.Withdrawals, func(w Withdrawal) bool {
		return w.Workspace == o.Stream.Workspace && o.Sent > w.At+PropagationGrace
	})
}
