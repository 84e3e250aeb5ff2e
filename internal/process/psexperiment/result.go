package psexperiment

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"persimmonstep/internal/process/psguarantee"
	"persimmonstep/internal/process/psload"
	"persimmonstep/internal/process/psscenario"
)

// Result is what one run measured.
type Result struct {
	Scenario string `json:"scenario"`
	Firm     string `json:"firm"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// Routes holds what each kind of request got.
	Routes []RouteResult `json:"routes"`
	// WorstServed is the least served workspace's part of what it was entitled to.
	WorstServed float64 `json:"worstServed"`
	// WorstWorkspace names it.
	WorstWorkspace string `json:"worstWorkspace"`
	// InRateRefused counts refusals of requests inside their workspace's rate and burst.
	InRateRefused int `json:"inRateRefused"`
	// Entitled counts the requests inside their workspace's rate and burst.
	Entitled int `json:"entitled"`
	// DrainMilliseconds is the time until a drained backend server received its last request.
	DrainMilliseconds float64 `json:"drainMilliseconds"`
	// StopMilliseconds is the time of the longest graceful shutdown.
	StopMilliseconds float64 `json:"stopMilliseconds"`
	// Shifted is the part of all served requests that ran outside the callers' home region.
	Shifted float64 `json:"shifted"`
	// PeerBytesPerSecond is what each VM exchanged with others on average.
	PeerBytesPerSecond float64 `json:"peerBytesPerSecond"`
	// ReadsPerSecond and WritesPerSecond are the calls of all VMs to the store.
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	WritesPerSecond float64 `json:"writesPerSecond"`
	// Unsent counts arrivals that the load generator could not send.
	Unsent int `json:"unsent"`
	// Broken counts broken promises.
	Broken psguarantee.Violations `json:"broken"`
	// Notes says what went wrong with the experiment itself.
	Notes []string `json:"notes,omitempty"`

	histograms map[string]*hdrhistogram.Histogram
}

// RouteResult is what one kind of request got.
type RouteResult struct {
	Route string `json:"route"`
	Kind  string `json:"kind"`
	Sent  int    `json:"sent"`
	// Served counts answers of backend servers.
	Served int `json:"served"`
	// OverRate counts refusals with 429, and NoCapacity those with 503.
	OverRate   int `json:"overRate"`
	NoCapacity int `json:"noCapacity"`
	// Other counts other refusals and errors, and Unanswered requests without any answer.
	Other      int `json:"other"`
	Unanswered int `json:"unanswered"`
	// P50, P99 and P999 are quantiles of the served requests' latency in milliseconds.
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	// PeakUse is the greatest part of the slots in use.
	PeakUse float64 `json:"peakUse"`
	// UseBeforeRefusal is the greatest part in use before the first refusal for want of
	// capacity; 1 where none was refused.
	UseBeforeRefusal float64 `json:"useBeforeRefusal"`
}

const (
	maxLatency      = time.Minute
	histogramDigits = 3
	// noRefusal stands for the time of a refusal that never came.
	neverRejected = time.Duration(math.MaxInt64)
)

// result works the measures out.
func (e *experiment) result(v psguarantee.History, use *usage) *Result {
	r := &Result{
		Scenario: e.scenario.Name, Firm: e.firm.Name, Policy: e.policy.Name, Seed: e.scenario.Seed,
		StopMilliseconds: milliseconds(e.stopTime), Broken: psguarantee.Check(v), Notes: e.notes,
		histograms: make(map[string]*hdrhistogram.Histogram),
	}
	for _, p := range e.firm.Pools {
		r.Routes = append(r.Routes, r.route(p, v.Observations, use))
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

func (r *Result) route(p psscenario.Pool, observations []psload.Observation, use *usage) RouteResult {
	h := hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)
	out := RouteResult{Route: p.Name, Kind: p.Kind.String(), PeakUse: use.peak(p.Name, neverRejected), UseBeforeRefusal: 1}
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
		out.UseBeforeRefusal = use.peak(p.Name, first)
	}
	quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	out.P50, out.P99, out.P999 = quantile(50), quantile(99), quantile(99.9)
	r.histograms[p.Name] = h
	return out
}

// share finds the workspace that was served worst, and the wrongful refusals.
func (r *Result) recordServedFractions(v psguarantee.History) {
	r.WorstServed = 1
	for _, w := range v.Workspaces {
		entitled, served, refused := entitlement(w, v)
		r.Entitled += entitled
		r.InRateRefused += refused
		if part := float64(served) / math.Max(1, float64(entitled)); entitled > 0 && part < r.WorstServed {
			r.WorstServed, r.WorstWorkspace = part, w.Name
		}
	}
}

// entitlement counts what one ideal bucket over all VMs would admit of a workspace's
// requests. Of a workspace that sends more, any requests of that number count as served; it
// is the number that was promised and not which ones.
func entitlement(w psguarantee.Workspace, v psguarantee.History) (entitled, served, refused int) {
	own := slices.DeleteFunc(slices.Clone(v.Observations), func(o psload.Observation) bool {
		return o.Stream.Workspace != w.Name || o.Stream.Marker != "" || withdrawnBefore(v, o)
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
			refused++
		}
	}
	for i := range own {
		if own[i].Served() && served < entitled {
			served++
		}
	}
	return entitled, served, min(refused, entitled-served)
}

func withdrawnBefore(v psguarantee.History, o psload.Observation) bool {
	return slices.ContainsFunc(v.Withdrawals, func(w psguarantee.Withdrawal) bool {
		return w.Workspace == o.Stream.Workspace && o.Done >= w.At
	})
}
