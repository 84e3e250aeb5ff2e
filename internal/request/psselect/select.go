// Package psselect decides which backend server gets one request, and whether any does.
//
// It turns what a VM knows of a service's servers into candidates, lets psplace choose one of
// them and psadmit decide on it. The request path and explanations of a saved state decide by
// the same code.
//
// It answers two load patterns of its own. On a route without affinity nothing makes a server
// better for a request, so requests are spread over all servers, near ones first for long
// bodies. On other routes an object keeps to its servers, as psplace describes.
//
// The package does no I/O and reads no clock.
package psselect

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/request/psadmit"
	"persimmonstep/internal/request/psestimate"
	"persimmonstep/internal/request/psoutlier"
	"persimmonstep/internal/request/psplace"
	"persimmonstep/internal/version/psconfig"
)

const (
	// firstTravelDomain and firstTravelRegion are the times there and back to a server of the
	// same region and of another one, before any was seen.
	firstTravelDomain = 3 * time.Millisecond
	firstTravelRegion = 25 * time.Millisecond
	// costPerKB is the latency that is accepted to keep a kilobyte within the failure domain.
	costPerKB = 2 * time.Millisecond
	// coldSlowness is how much slower a cold server is taken to be.
	coldSlowness = 2
	// surplusEpoch is how long the same objects are surplus. All VMs go by the time of day,
	// and one whose clock is off only chooses other objects.
	surplusEpoch = 40 * time.Second
)

// Place is where a VM runs.
type Place struct {
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
}

// Option is a server that may run the request.
type Option struct {
	View   psserver.View
	Region string
	// Travel is the time there and back; 0 if none was seen yet.
	Travel time.Duration
	// Sent says that this VM sent the object there lately.
	Sent bool
}

// Request is what is known of the request.
type Request struct {
	Route *psconfig.Route
	// Workspace is nil on a route without keys.
	Workspace *psconfig.Workspace
	// Object identifies what the request is about.
	Object uint64
	// Bytes is the size of the body and of the answer that is expected.
	Bytes int
	// From is where the VM runs.
	From Place
	// ArrivedAt is the time of day at which the request came.
	ArrivedAt time.Time
	// Runs are the run times of the route, and MeanRun that of the service's requests.
	Runs    psestimate.Runs
	MeanRun time.Duration
	// Spent is the time since the request came, and Left how long its caller still waits.
	Spent, Left time.Duration
	// Before is how long the caller had waited when the request came, because it was told to come back.
	Before time.Duration
	// Apart is the time from which on callers that come back are known as such; 0 if they never are.
	Apart time.Duration
	// Repeat says that the request was at another server before.
	Repeat bool
	// Spread is a number in 0..1 that differs between requests.
	Spread float64
}

// ObjectOf identifies what a request is about: the key that its caller names. Without affinity
// each request, which its id tells apart, is about something else.
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

// Allowed returns whether a request may run in a region.
func Allowed(r *psconfig.Route, w *psconfig.Workspace) func(region string) bool {
	regions, all := psconfig.AllowedRegions(r, w)
	return func(region string) bool { return all || slices.Contains(regions, region) }
}

// Choose returns the server that is to run the request. The list must not be empty.
func Choose(list []Option, r Request) psplace.Choice {
	return psplace.Choose(r.candidates(list), r.placing())
}

// Rank returns what is expected of each server, the best one first.
func Rank(list []Option, r Request) []psplace.Weighed {
	return psplace.Rank(r.candidates(list), r.placing())
}

// Admit decides whether the request is sent to the chosen server.
func Admit(c psplace.Choice, r Request) psadmit.Verdict {
	expected := c.Finish()
	if r.Repeat {
		// The wait for a request that was sent once already is not to be in vain.
		expected = c.Run
	}
	return psadmit.Decide(psadmit.Request{
		Expected: expected, Wait: c.Wait, Crowd: c.Crowd, Away: c.Away, Travel: c.Travel,
		MeanRun: r.MeanRun, Surplus: c.Surplus && !r.Repeat,
		Spent: r.Spent, Before: r.Before, Apart: r.Apart, Left: r.Left,
		Target: r.Route.TargetLatency, Priority: psconfig.Priority(r.Route, r.Workspace), Spread: r.Spread,
	})
}

func (r *Request) placing() psplace.Request {
	p := psplace.Request{
		Object: r.Object, Epoch: uint64(r.ArrivedAt.UnixNano() / int64(surplusEpoch)),
		WarmRun: r.Runs.Held, ColdRun: r.Runs.Missing, Target: r.Route.TargetLatency, MeanRun: r.MeanRun,
	}
	if !r.Route.Affinity {
		p.WarmRun, p.ColdRun = r.MeanRun, r.MeanRun
	}
	return p
}

func (r *Request) candidates(options []Option) []psplace.Candidate {
	list := make([]psplace.Candidate, len(options))
	lags := make([]float64, len(options))
	for i := range options {
		list[i] = r.candidate(&options[i])
		lags[i] = options[i].View.Lag
	}
	for i, outlier := range psoutlier.Find(lags) {
		list[i].Outlier = outlier
	}
	return list
}

func (r *Request) candidate(o *Option) psplace.Candidate {
	v := &o.View
	slowness := v.Slowness
	if v.Cold {
		slowness = max(slowness, coldSlowness)
	}
	near := v.Entry.FailureDomain == r.From.FailureDomain
	c := psplace.Candidate{
		Load: v.Load, Slots: v.Entry.Slots, Slowness: slowness,
		Few: v.Cold, Failures: v.FailureRate, Silent: v.Silent, Sent: o.Sent,
		HomeRecall: v.HomeHitRate, AwayRecall: v.AwayHitRate, Keeps: v.Retention,
		Score: r.score(v.Entry.ID, near), Travel: r.travel(o, near), Bytes: r.bytes(near),
		Overflow: r.Route.Kind == psconfig.Download && !near,
	}
	if !r.Route.Affinity {
		// What a server holds makes no difference.
		c.HomeRecall, c.AwayRecall, c.Keeps = 1, 1, 1
	}
	return c
}

// Explained returns the longest time until an answer that the chosen server's queue and a run without
// the object explain.
func Explained(c psplace.Choice, v psserver.View, r Request) time.Duration {
	run := max(r.Runs.Missing, r.MeanRun)
	if v.Cold {
		run *= coldSlowness
	}
	return c.Wait + run + c.Travel
}

// travel returns the time there and back.
func (r *Request) travel(o *Option, near bool) time.Duration {
	switch {
	case o.Travel > 0:
		return o.Travel
	case near:
		return 0
	case o.Region == r.From.Region:
		return firstTravelDomain
	}
	return firstTravelRegion
}

// score orders the servers of the request's object. Large bodies stay in the failure domain. Large
// answers do so while there is room, and have an overflow beyond it.
func (r *Request) score(server string, near bool) uint64 {
	v := psplace.Score(r.Object, server)
	if r.Route.Kind != psconfig.Upload {
		return v
	}
	return psplace.Near(v, near)
}

// bytes returns what it is worth not to carry the body to a server.
func (r *Request) bytes(near bool) time.Duration {
	if near {
		return 0
	}
	return time.Duration(r.Bytes/1024) * costPerKB
}
