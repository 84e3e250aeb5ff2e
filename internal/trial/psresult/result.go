// Package psresult computes the measurements of a run of an experiment from its recorded history, and reports those
// of several runs as text, HTML or a plot.
package psresult

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"persimmonstep/internal/trial/psguarantee"
	"persimmonstep/internal/trial/psload"
	"persimmonstep/internal/trial/psloss"
	"persimmonstep/internal/trial/psscenario"
)

// Run is what was recorded of one run.
type Run struct {
	// Scenario, Firm and Policy name what was run, and Seed drew the load.
	Scenario, Firm, Policy string
	Seed                   uint64
	Pools                  []psscenario.Pool
	// Settle is how long the load lasted before requests count as in target or not.
	Settle  time.Duration
	History psguarantee.History
	// StopTime is the duration of the longest graceful shutdown.
	StopTime time.Duration
	// PeakUse returns the highest slot utilization of a pool up to a time, as a fraction.
	PeakUse func(pool string, before time.Duration) float64
	// Notes lists the problems of the experiment itself.
	Notes []string
}

// Result is the measurements of one run.
type Result struct {
	Scenario string `json:"scenario"`
	Firm     string `json:"firm"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// Routes are the measurements of each route.
	Routes []RouteResult `json:"routes"`
	// InTarget counts the requests that were served within the target latency.
	InTarget InTarget `json:"inTarget"`
	// Losses is why the others were not; nil if that wasn't asked for.
	Losses *psloss.Summary `json:"losses,omitempty"`
	// WorstServed is the lowest ratio of served to entitled requests over all workspaces.
	WorstServed float64 `json:"worstServed"`
	// WorstWorkspace is the name of the workspace with this ratio.
	WorstWorkspace string `json:"worstWorkspace"`
	// InRateRefused counts the rejected requests within their workspace's rate and burst.
	InRateRefused int `json:"inRateRefused"`
	// Entitled counts the requests within their workspace's rate and burst.
	Entitled int `json:"entitled"`
	// DrainMilliseconds is the longest time from the drain of a backend server to its last request.
	DrainMilliseconds float64 `json:"drainMilliseconds"`
	// StopMilliseconds is the duration of the longest graceful shutdown.
	StopMilliseconds float64 `json:"stopMilliseconds"`
	// Shifted is the fraction of all served requests that ran outside the caller's region.
	Shifted float64 `json:"shifted"`
	// PeerBytesPerSecond is the average rate at which each VM sends bytes to the others in datagrams.
	PeerBytesPerSecond float64 `json:"peerBytesPerSecond"`
	// ReadsPerSecond and WritesPerSecond are the rates of all VMs' calls to the store.
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	WritesPerSecond float64 `json:"writesPerSecond"`
	// TimerDelayMilliseconds is the 99th percentile of how late timers were in the run, because the machine was busy.
	TimerDelayMilliseconds float64 `json:"timerDelayMilliseconds"`
	// Unsent counts the requests that the load generator could not send.
	Unsent int `json:"unsent"`
	// Broken counts the violated guarantees.
	Broken psguarantee.Violations `json:"broken"`
	// Notes lists the problems of the experiment itself.
	Notes []string `json:"notes,omitempty"`

	histograms map[string]*hdrhistogram.Histogram
}

// RouteResult is the measurements of one route.
type RouteResult struct {
	Route string `json:"route"`
	Kind  string `json:"kind"`
	Sent  int    `json:"sent"`
	// Served counts the successful responses of backend servers.
	Served int `json:"served"`
	// OverRate counts the rejections with status 429, and NoCapacity those with status 503.
	OverRate   int `json:"overRate"`
	NoCapacity int `json:"noCapacity"`
	// Other counts all other responses, and Unanswered the requests without a response.
	Other      int `json:"other"`
	Unanswered int `json:"unanswered"`
	// P50, P99 and P999 are percentiles of the latency of served requests, in milliseconds.
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	// PeakUse is the peak utilization of the slots, as a fraction.
	PeakUse float64 `json:"peakUse"`
	// UseBeforeRefusal is the peak utilization of the slots before the first rejection with status 503;
	// 1 if there was none.
	UseBeforeRefusal float64 `json:"useBeforeRefusal"`
}

const (
	maxLatency      = time.Minute
	histogramDigits = 3
	// neverRejected is the time of the first rejection if there is none.
	neverRejected = time.Duration(math.MaxInt64)
)

// New computes the measurements of a run.
func New(run Run) *Result {
	v := run.History
	r := &Result{
		Scenario: run.Scenario, Firm: run.Firm, Policy: run.Policy, Seed: run.Seed,
		StopMilliseconds: milliseconds(run.StopTime), Broken: psguarantee.Check(v), Notes: run.Notes,
		histograms: make(map[string]*hdrhistogram.Histogram),
		InTarget:   countInTarget(run.Pools, run.Settle, v.Observations),
	}
	for _, p := range run.Pools {
		r.Routes = append(r.Routes, r.route(p, v.Observations, run.PeakUse))
	}
	for _, s := range v.Servers {
		if s.DrainedAt > 0 {
			r.DrainMilliseconds = max(r.DrainMilliseconds, milliseconds(s.LastRun-s.DrainedAt))
		}
	}
	served := 0
	for i := range v.Observations {
		if v.Observations[i].Served() {
			served++
			if v.Shifted(&v.Observations[i]) {
				r.Shifted++
			}
		}
	}
	r.Shifted /= math.Max(1, float64(served))
	r.recordServedFractions(v)
	return r
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

func (r *Result) route(p psscenario.Pool, observations []psload.Observation, peakUse func(string, time.Duration) float64) RouteResult {
	h := hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)
	out := RouteResult{Route: p.Name, Kind: p.Kind.String(), PeakUse: peakUse(p.ServiceName(), neverRejected), UseBeforeRefusal: 1}
	first := neverRejected
	for i := range observations {
		o := &observations[i]
		if o.Stream.Route != p.Name {
			continue
		}
		out.Sent++
		switch {
		case o.Served():
			out.Served++
			_ = h.RecordValue(min(o.Latency(), maxLatency).Microseconds())
		case o.Status == 0:
			out.Unanswered++
		case o.Status == 429:
			out.OverRate++
		case o.Status == 503:
			out.NoCapacity++
			first = min(first, o.Done)
		default:
			out.Other++
		}
	}
	if first != neverRejected {
		out.UseBeforeRefusal = peakUse(p.ServiceName(), first)
	}
	quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	out.P50, out.P99, out.P999 = quantile(50), quantile(99), quantile(99.9)
	r.histograms[p.Name] = h
	return out
}

// recordServedFractions finds the workspace with the lowest ratio of served to entitled requests, and counts
// the rejections of requests within the rate limit.
func (r *Result) recordServedFractions(v psguarantee.History) {
	r.WorstServed = 1
	for _, w := range v.Workspaces {
		entitled, served, rejected := entitlement(w, v)
		r.Entitled += entitled
		r.InRateRefused += rejected
		if fraction := float64(served) / math.Max(1, float64(entitled)); entitled > 0 && fraction < r.WorstServed {
			r.WorstServed, r.WorstWorkspace = fraction, w.Name
		}
	}
}

// entitlement counts the requests of a workspace that a single token bucket for all VMs would admit. Any
// served requests count, up to that number, because the guarantee is on the number of requests and not
// on which ones are served.
func entitlement(w psguarantee.Workspace, v psguarantee.History) (entitled, served, rejected int) {
	own := slices.DeleteFunc(slices.Clone(v.Observations), func(o psload.Observation) bool {
		return o.Stream.Workspace != w.Name || o.Stream.Marker != "" || revokedBefore(v, o)
	})
	slices.SortFunc(own, func(a, b psload.Observation) int { return a.Sequence - b.Sequence })
	tokens, last := w.Burst, time.Duration(0)
	for i := range own {
		o := &own[i]
		tokens = min(w.Burst, tokens+w.Rate*(o.At-last).Seconds())
		last = o.At
		if tokens < 1 {
			continue
		}
		tokens--
		entitled++
		if o.Status == 429 || o.Status == 503 {
			rejected++
		}
	}
	for i := range own {
		if own[i].Served() && served < entitled {
			served++
		}
	}
	return entitled, served, min(rejected, entitled-served)
}

func revokedBefore(v psguarantee.History, o psload.Observation) bool {
	return slices.ContainsFunc(v.Revocations, func(w psguarantee.Revocation) bool {
		return w.Workspace == o.Stream.Workspace && o.Done >= w.At
	})
}
