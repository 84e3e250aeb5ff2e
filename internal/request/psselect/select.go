// Package psselect selects the backend server for one request and decides whether the request is sent.
//
// It turns a VM's view of a service's servers into candidates, lets psplacement choose one of
// them and psadmission admit or reject the request. The request path and the explanation of a saved
// state share this code, so that both give the same decisions.
//
// It answers two load patterns itself. On a route without affinity no server has an advantage for a
// request, so requests are distributed over all servers. Uploads have large bodies, so they prefer
// servers in the VM's failure domain. On a route with affinity, requests for an object go to the same
// few servers, as psplacement describes.
//
// The package does no I/O and reads no clock.
package psselect

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/request/psadmission"
	"persimmonstep/internal/request/psestimate"
	"persimmonstep/internal/request/psoutlier"
	"persimmonstep/internal/request/psplacement"
	"persimmonstep/internal/request/psshed"
	"persimmonstep/internal/version/psconfig"
)

const (
	// initialDomainRoundTrip and initialRegionRoundTrip are the round-trip times assumed for a server in
	// another failure domain of the same region and in another region, until one is measured.
	initialDomainRoundTrip = 3 * time.Millisecond
	initialRegionRoundTrip = 25 * time.Millisecond
	// costPerKB is the latency that is accepted to keep one kilobyte within the failure domain.
	costPerKB = 2 * time.Millisecond
	// coldSlowness is the minimum slowness assumed of a cold server, as a ratio of measured to expected time.
	coldSlowness = 2
	// surplusEpoch is how long the same objects are surplus, that is, count as too many for the caches
	// of their servers. All VMs derive the epoch from the time of day; a VM whose clock is off only
	// chooses other objects.
	surplusEpoch = 40 * time.Second
)

// Place is the location of a VM.
type Place struct {
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
}

// Option is a server that is allowed to run the request.
type Option struct {
	View   psserver.View
	Region string
	// RoundTrip is the network round-trip time to the server; 0 if none was measured yet.
	RoundTrip time.Duration
	// ObjectSent reports whether this VM sent the object to the server recently.
	ObjectSent bool
	// NeedsToken reports whether the server has a limit, so that the VM must request a token before it sends.
	NeedsToken bool
}

// Request describes the request to be sent.
type Request struct {
	Route *psconfig.Route
	// Workspace is nil on a route without keys.
	Workspace *psconfig.Workspace
	// Object identifies what the request is about.
	Object uint64
	// Bytes is the size of the request body and of the expected response.
	Bytes int
	// From is the location of the VM.
	From Place
	// ArrivedAt is the time of day at which the request arrived.
	ArrivedAt time.Time
	// Runs are the estimated run times of the route, and MeanRun is the mean run time of the service's requests.
	Runs    psestimate.Runs
	MeanRun time.Duration
	// Elapsed is the time since the request arrived, and Remaining how much longer its caller waits.
	Elapsed, Remaining time.Duration
	// PriorWait is how long the caller had waited when the request arrived, because an earlier attempt
	// was rejected and the caller retried.
	PriorWait time.Duration
	// DetectableWait is the shortest prior wait by which a caller's retry is recognized; 0 if it isn't known.
	DetectableWait time.Duration
	// Retry reports whether the VM already sent the request to another server.
	Retry bool
	// Random is a number in 0..1 that differs between requests.
	Random float64
	// Demand is the present demand of the service by priorities.
	Demand psshed.Demand
	// BeyondUsual reports whether the request exceeds the usual amount of its workspace.
	BeyondUsual bool
}

// ObjectOf returns a hash that identifies the object of a request: the key that its caller names.
// On a route without affinity each request has an object of its own, identified by the request id.
func ObjectOf(r *psconfig.Route, key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Name)
	if !r.Affinity {
		key = id
	}
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Allowed returns a function that reports whether a request may run in a region.
func Allowed(r *psconfig.Route, w *psconfig.Workspace) func(region string) bool {
	regions, all := psconfig.AllowedRegions(r, w)
	return func(region string) bool { return all || slices.Contains(regions, region) }
}

// Choose returns the server that should run the request. The list must not be empty.
func Choose(list []Option, r Request) psplacement.Choice {
	return psplacement.Choose(r.candidates(list), r.placementRequest())
}

// Rank returns the expected latency and the cost of each server, the one with the least cost first.
func Rank(list []Option, r Request) []psplacement.Ranked {
	return psplacement.Rank(r.candidates(list), r.placementRequest())
}

// Observation returns what counts as demand for a request, the server that was chosen for it and the verdict.
func Observation(c psplacement.Choice, r Request, v psadmission.Verdict) psshed.Observation {
	rejected, found := v.(psadmission.Rejected)
	return psshed.Observation{
		Priority: psconfig.Priority(r.Route, r.Workspace), Slot: c.Run, Run: c.Run + c.RoundTrip, Target: r.Route.TargetLatency,
		BeyondUsual: r.BeyondUsual, Rejected: found && rejected.ForSlots(),
	}
}

// Admit decides whether the request is sent to the chosen server.
func Admit(c psplacement.Choice, r Request) psadmission.Verdict {
	return psadmission.Decide(r.admissionRequest(c))
}

// Bounds returns the bases of the decision on the first and on the last request of the request's class and workspace, in the
// order in which they are rejected. beyond is the fraction of the workspace's requests that exceeds its usual amount.
func Bounds(c psplacement.Choice, r Request, beyond float64) (first, last psadmission.Basis) {
	a := r.admissionRequest(c)
	a.BeyondUsual = beyond > 0
	first = psadmission.BasisOf(a.At(1))
	a.BeyondUsual = beyond >= 1
	return first, psadmission.BasisOf(a.At(0))
}

func (r *Request) admissionRequest(c psplacement.Choice) psadmission.Request {
	expected := c.ExpectedLatency()
	if r.Retry {
		// Only the run time counts against the deadline, as a rejection would waste the time that the
		// first attempt took.
		expected = c.Run
	}
	return psadmission.Request{
		Expected: expected, Wait: c.Wait, MeanWait: c.MeanWait, MeanRoundTrip: c.MeanRoundTrip, RoundTrip: c.RoundTrip,
		MeanRun: r.MeanRun, Surplus: c.Surplus && !r.Retry,
		Elapsed: r.Elapsed, PriorWait: r.PriorWait, DetectableWait: r.DetectableWait, Remaining: r.Remaining,
		Target: r.Route.TargetLatency, Priority: psconfig.Priority(r.Route, r.Workspace), Random: r.Random,
		Demand: r.Demand, Run: c.Run, BeyondUsual: r.BeyondUsual,
	}
}

func (r *Request) placementRequest() psplacement.Request {
	p := psplacement.Request{
		Object: r.Object, Epoch: uint64(r.ArrivedAt.UnixNano() / int64(surplusEpoch)),
		CachedRun: r.Runs.Cached, UncachedRun: r.Runs.Uncached, Target: r.Route.TargetLatency, MeanRun: r.MeanRun,
	}
	if !r.Route.Affinity {
		p.CachedRun, p.UncachedRun = r.MeanRun, r.MeanRun
	}
	return p
}

func (r *Request) candidates(options []Option) []psplacement.Candidate {
	list := make([]psplacement.Candidate, len(options))
	lags := make([]float64, len(options))
	mean := meanLoad(options)
	prefersNear := r.prefersNear(options)
	for i := range options {
		list[i] = r.candidate(&options[i], prefersNear)
		list[i].Load = mean.estimate(&options[i].View)
		lags[i] = options[i].View.Lag
	}
	for i, outlier := range psoutlier.Find(lags) {
		list[i].Outlier = outlier
	}
	return list
}

func (r *Request) candidate(o *Option, prefersNear bool) psplacement.Candidate {
	v := &o.View
	slowness := v.Slowness
	if v.Cold {
		slowness = max(slowness, coldSlowness)
	}
	near := v.Entry.FailureDomain == r.From.FailureDomain
	preferred := near || !prefersNear
	c := psplacement.Candidate{
		Load: v.Load, Slots: v.Entry.Slots, Slowness: slowness, Speed: v.Speed,
		Cold: v.Cold, FailureRate: v.FailureRate, SilentFor: v.SilentFor, ObjectSent: o.ObjectSent,
		PrimaryHitRate: v.PrimaryHitRate, FallbackHitRate: v.FallbackHitRate, CacheableFraction: v.CacheableFraction,
		Score: r.score(v.Entry.ID, preferred), RoundTrip: r.roundTrip(o, near), TransferCost: r.transferCost(preferred),
		Overflow: r.Route.Kind == psconfig.Download && !near,
	}
	if o.NeedsToken {
		// The owner of the tokens is near the server.
		c.TokenTime = c.RoundTrip
	}
	if !r.Route.Affinity {
		// Without affinity it makes no difference which objects a server has cached.
		c.PrimaryHitRate, c.FallbackHitRate, c.CacheableFraction = 1, 1, 1
	}
	return c
}

// LatencyBound returns the longest latency that the chosen server's queue and a run without the cached
// object account for.
func LatencyBound(c psplacement.Choice, v psserver.View, r Request) time.Duration {
	run := max(r.Runs.Uncached, r.MeanRun)
	if v.Cold {
		run *= coldSlowness
	}
	return c.Wait + run + c.RoundTrip
}

// roundTrip returns the network round-trip time to a server.
func (r *Request) roundTrip(o *Option, near bool) time.Duration {
	switch {
	case o.RoundTrip > 0:
		return o.RoundTrip
	case near:
		return 0
	case o.Region == r.From.Region:
		return initialDomainRoundTrip
	}
	return initialRegionRoundTrip
}

// score returns a server's score in the ranking of the request's object. Uploads rank the servers of
// their failure domain first, so that large bodies stay there, as far as [Request.prefersNear] allows. Downloads rank servers
// elsewhere as an overflow, so that large responses stay in the failure domain while it has capacity.
func (r *Request) score(server string, preferred bool) uint64 {
	v := psplacement.Score(r.Object, server)
	if r.Route.Kind != psconfig.Upload {
		return v
	}
	return psplacement.PreferNear(v, preferred)
}

// transferCost returns the latency that is accepted to avoid a transfer to a server that isn't preferred.
func (r *Request) transferCost(preferred bool) time.Duration {
	if preferred {
		return 0
	}
	return time.Duration(r.Bytes/1024) * costPerKB
}
