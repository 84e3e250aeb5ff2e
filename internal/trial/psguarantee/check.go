// Package psguarantee checks the recorded history of a run for violations of the system's guarantees.
//
// A guarantee is a property that holds at every load and under every fault, such as a workspace's rate
// limit and at-most-once execution. docs/PROMISES.md lists them as promises.
//
// A request was admitted at an unknown time between its sending and the end of its response, and the checks
// assume no more than that. They can therefore miss a violation, but have no false positives.
package psguarantee

import (
	"cmp"
	"slices"
	"time"

	"persimmonstep/internal/trial/psload"
)

// PropagationGrace is how long a key revocation or a drain may take to propagate to all VMs.
const PropagationGrace = 5 * time.Second

// Workspace is the rate limit of a workspace with its tolerance.
type Workspace struct {
	Name string
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst float64
	// Tolerance is the tolerated excess as a fraction of the rate, and Slack the additional excess in requests.
	Tolerance, Slack float64
}

// Server is the history of a backend server.
type Server struct {
	ID     string
	Region string
	// Runs is the number of runs of each request, by request id.
	Runs map[string]int
	// DrainedAt is when the drain of the server began; 0 if it was not drained.
	DrainedAt time.Duration
	// LastRun is when the last request started to run.
	LastRun time.Duration
	// RequestsInPause is the highest number of requests that one VM sent during a pause that the server requested.
	RequestsInPause int
	// Arrivals are the requests that reached the server, in the order of their arrival.
	Arrivals []Arrival
}

// Revocation records when a workspace's only key was revoked.
type Revocation struct {
	Workspace string
	At        time.Duration
}

// History is the record of a run that the guarantees are checked against. All times are relative to
// the start of the run.
type History struct {
	Workspaces []Workspace
	// HomeRegions is the region of each failure domain of callers, by index.
	HomeRegions  []string
	Servers      []Server
	Observations []psload.Observation
	Revocations  []Revocation
	// Restarts are the times at which the process of a VM ended or was started, by the VM's name.
	Restarts map[string][]time.Duration
	// ServerCuts are the times during which VMs were cut off from all backend servers.
	ServerCuts []ServerCut
	// Stopped lists the names of the VMs that were shut down gracefully.
	Stopped []string
}

// Violations counts the violated guarantees. Reports print the names of its fields.
type Violations struct {
	// RateBeyondBound is the number of requests beyond rate x window + burst and the tolerance that a workspace ran,
	// in the worst window of any workspace.
	RateBeyondBound int `json:"rateBeyondBound"`
	// RepeatedRuns counts the requests that ran more than once though their route is not idempotent.
	RepeatedRuns int `json:"repeatedRuns"`
	// FalseNotRun counts the requests that ran although they were rejected as not run.
	FalseNotRun int `json:"falseNotRun"`
	// ForeignAnswers counts the responses that were incomplete or belonged to another request.
	ForeignAnswers int `json:"foreignAnswers"`
	// KeysSeen counts the requests that exposed a workspace's key to a backend server.
	KeysSeen int `json:"keysSeen"`
	// WithdrawnKeys counts the requests that were sent later than PropagationGrace after the revocation of
	// their key and were served.
	WithdrawnKeys int `json:"withdrawnKeys"`
	// LateWork counts the drained servers that ran requests later than PropagationGrace after their drain.
	LateWork int `json:"lateWork"`
	// CutByStop counts the requests that got no complete response from a VM that was shut down gracefully.
	CutByStop int `json:"cutByStop"`
	// QuietBroken counts the servers to which a VM sent more than maxRequestsInPause requests during a pause.
	QuietBroken int `json:"quietBroken"`
	// LimitExceeded is the number of requests beyond what a server's limit allows, in the worst window of any server.
	LimitExceeded int `json:"limitExceeded"`
	// CutVMsUnserved counts the first attempts that were not served by VMs that are cut off from the servers, in the
	// cuts in which these serve far fewer than the others.
	CutVMsUnserved int `json:"cutVMsUnserved"`
}

// Total returns the sum of all counts.
func (v Violations) Total() int {
	return v.RateBeyondBound + v.RepeatedRuns + v.FalseNotRun +
		v.ForeignAnswers + v.KeysSeen + v.WithdrawnKeys + v.LateWork + v.CutByStop + v.QuietBroken + v.LimitExceeded + v.CutVMsUnserved
}

// maxRequestsInPause is the number of one VM's requests that may reach a server during a pause, because they
// were in flight when the server requested it.
const maxRequestsInPause = 2

// Check counts the violated guarantees in the history of a run.
func Check(h History) Violations {
	runs := h.runs()
	return Violations{
		RateBeyondBound: h.rateBeyondBound(runs),
		RepeatedRuns: count(h.Observations, func(o psload.Observation) bool {
			return !o.Stream.Kind.Repeatable() && runs.of(o) > 1
		}),
		FalseNotRun: count(h.Observations, func(o psload.Observation) bool {
			return o.NotRun && runs[o.IDs[len(o.IDs)-1]] > 0
		}),
		ForeignAnswers: count(h.Observations, func(o psload.Observation) bool { return o.Mismatched }),
		KeysSeen:       count(h.Observations, func(o psload.Observation) bool { return o.KeyExposed }),
		WithdrawnKeys:  count(h.Observations, h.servedAfterRevocation),
		LateWork: count(h.Servers, func(s Server) bool {
			return s.DrainedAt > 0 && s.LastRun > s.DrainedAt+PropagationGrace
		}),
		QuietBroken:   count(h.Servers, func(s Server) bool { return s.RequestsInPause > maxRequestsInPause }),
		LimitExceeded: h.limitExceeded(), CutVMsUnserved: h.cutVMsUnserved(),
		CutByStop: count(h.Observations, func(o psload.Observation) bool {
			return slices.ContainsFunc(o.AbortedBy, func(vm string) bool { return slices.Contains(h.Stopped, vm) })
		}),
	}
}

func count[T any](all []T, violated func(T) bool) int {
	n := 0
	for _, v := range all {
		if violated(v) {
			n++
		}
	}
	return n
}

// runs is the number of runs of each attempt over all servers, by request id.
type runs map[string]int

// of returns the number of runs of a request over all its attempts.
func (r runs) of(o psload.Observation) int {
	n := 0
	for _, id := range o.IDs {
		n += r[id]
	}
	return n
}

func (h History) runs() runs {
	out := make(runs)
	for _, s := range h.Servers {
		for k, n := range s.Runs {
			out[k] += n
		}
	}
	return out
}

// Shifted reports whether a request was served outside its caller's region.
func (h History) Shifted(o *psload.Observation) bool {
	i := slices.IndexFunc(h.Servers, func(s Server) bool { return s.ID == o.Server })
	return i >= 0 && h.Servers[i].Region != h.HomeRegions[o.Domain]
}

// rateBeyondBound returns the highest excess of any workspace.
func (h History) rateBeyondBound(r runs) int {
	worst := 0
	for _, w := range h.Workspaces {
		var admitted []psload.Observation
		for _, o := range h.Observations {
			if o.Stream.Workspace == w.Name && r.of(o) > 0 {
				admitted = append(admitted, o)
			}
		}
		worst = max(worst, w.excess(admitted))
	}
	return worst
}

// excess returns the number of admitted requests above the limit and its tolerance in the worst window. Requests
// that were both sent and finished within a window are known to be admitted in it.
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
			worst = max(worst, float64(n)-w.Rate*(1+w.Tolerance)*(o.Done-from).Seconds()-w.Burst-w.Slack)
		}
	}
	return int(worst)
}

func (h History) servedAfterRevocation(o psload.Observation) bool {
	return o.Served() && slices.ContainsFunc(h.Revocations, func(w Revocation) bool {
		return w.Workspace == o.Stream.Workspace && o.Sent > w.At+PropagationGrace
	})
}
