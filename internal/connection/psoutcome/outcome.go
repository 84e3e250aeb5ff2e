// Package psoutcome records what the outcome of an attempt shows: about its server, about the run times of the route, about
// this VM's links to the servers, and about a request that may have crashed the server.
package psoutcome

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/connection/psattempt"
	"persimmonstep/internal/connection/pscrash"
	"persimmonstep/internal/connection/psresponse"
	"persimmonstep/internal/connection/psselection"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/pshealth"
	"persimmonstep/internal/process/pslink"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/request/psblocklist"
	"persimmonstep/internal/request/psestimate"
	"persimmonstep/internal/version/psconfig"
)

const (
	// noResponseTimeout is the minimum time without any response after which a server counts as failed, and
	// noResponseFactor the multiple of the expected latency that must have passed as well.
	noResponseTimeout = 700 * time.Millisecond
	noResponseFactor  = 3
)

// Attempt is an attempt that has ended.
type Attempt struct {
	psselection.Selection
	psattempt.Outcome
	RequestID   string
	Route       *psconfig.Route
	Fingerprint psblocklist.Fingerprint
	// Start is when the attempt began.
	Start time.Time
}

// Failures takes servers out of use.
type Failures interface {
	// ServerFailed is called for a server that accepted no connection or left its requests unanswered.
	ServerFailed(s *psserver.Server, reason pshealth.Reason, requestID string)
}

// Recorder records outcomes for one VM.
type Recorder struct {
	Failures   Failures
	Links      *pslink.Monitor
	Estimates  *psestimate.Estimates
	RoundTrips *psestimate.RoundTrips
	Blocklist  *psblocklist.List
	Logger     hclog.Logger
	// Now returns the current time with a monotonic reading.
	Now func() time.Time

	crashes pscrash.Detector
}

// Record records the outcome of an attempt that ended at a time.
func (r *Recorder) Record(a Attempt, now time.Time) {
	if a.DialTime > 0 {
		r.RoundTrips.Observe(a.View.Entry.FailureDomain, a.DialTime)
	}
	if a.Response != nil {
		recordLoad(a.Server, a.Response, now)
	}
	r.recordResult(a, now)
	r.recordLink(a)
}

// recordResult updates the server's state, the estimates and the crash counts.
func (r *Recorder) recordResult(a Attempt, now time.Time) {
	took := now.Sub(a.Start)
	nominal := a.nominalLatency(now)
	switch a.Result {
	case psattempt.Answered:
		r.Blocklist.Clear(a.Fingerprint)
		r.Estimates.ObserveResponse(a.Route.Name, a.Response.Length())
		a.Server.RecordOutcome(latencyRatio(took, nominal), false, now)
		r.updateEstimates(a, took, now)
	case psattempt.Unreachable:
		r.Failures.ServerFailed(a.Server, pshealth.ReasonUnreachable, a.RequestID)
	case psattempt.Misdirected:
		a.Server.MarkReplaced(now)
		psevent.ServerFailed.Log(r.Logger, a.View.Entry.ID, a.View.Entry.Service, string(a.Result), a.RequestID)
	case psattempt.Timeout:
		a.Server.RecordOutcome(latencyRatio(took, nominal), false, now)
		if !a.Server.AnsweredSince(a.Start) && took > max(noResponseTimeout, noResponseFactor*a.Choice.ExpectedLatency()) {
			r.Failures.ServerFailed(a.Server, pshealth.ReasonSilent, a.RequestID)
		}
	case psattempt.Shed, psattempt.ServerError, psattempt.Unsigned:
		a.Server.RecordOutcome(0, true, now)
	case psattempt.Lost:
		if a.Invalid != "" {
			psevent.ResponseInvalid.Log(r.Logger, a.RequestID, a.View.Entry.ID, a.Invalid.Error())
		}
		a.Server.RecordOutcome(0, true, now)
		r.checkCrash(a)
	}
}

// updateEstimates updates the estimates with the latency of an answered attempt.
func (r *Recorder) updateEstimates(a Attempt, took time.Duration, now time.Time) {
	if a.View.Cold {
		return
	}
	// The estimates are those of a machine of its usual speed.
	usual := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) / a.Server.AverageSpeed(a.Start, now))
	}
	runs := r.Estimates.Runs(a.Route.Name, a.Route.TargetLatency)
	if a.Choice.LikelyCached {
		a.Server.RecordCacheResult(a.Choice.Rank == 0, runs.Hit(usual(took-a.Choice.RoundTrip-a.Choice.Wait)), now)
	}
	if a.Choice.Wait == 0 {
		r.Estimates.Observe(psestimate.Observation{
			Route: a.Route.Name, Service: a.View.Entry.Service, Target: a.Route.TargetLatency, Run: usual(took - a.Choice.RoundTrip),
		})
	}
}

// recordLink records what the attempt shows about this VM's links to the servers.
func (r *Recorder) recordLink(a Attempt) {
	if a.DialTime > 0 {
		r.Links.Connected(a.Start.Add(a.DialTime))
	}
	unanswered := (a.Result == psattempt.Lost || a.Result == psattempt.Timeout) && !a.Server.AnsweredSince(a.Start)
	switch {
	case a.Response != nil:
		r.Links.Responded()
	case a.Result == psattempt.Unreachable:
		r.Links.Unconnected(a.View.Entry.ID)
	case unanswered:
		r.Links.Unanswered(a.View.Entry.ID)
	}
}

// recordLoad records that a server responded, and the load and the speed that its response reports.
func recordLoad(s *psserver.Server, response *psresponse.Response, now time.Time) {
	s.RecordResponse(now)
	if load := response.Metadata.Load; load != nil {
		s.RecordLoad(load.Running, load.Waiting, now)
		s.RecordSpeed(load.WorkFactor, now)
	}
}

// nominalLatency returns the latency that was expected of a server that is as fast as others, for the speed of its machine
// during the attempt.
func (a Attempt) nominalLatency(now time.Time) time.Duration {
	work := a.Choice.NominalLatency - a.Choice.RoundTrip
	return a.Choice.RoundTrip + time.Duration(float64(work)*a.Server.AverageSpeed(a.Start, now))
}

func latencyRatio(took, usual time.Duration) float64 {
	return float64(took) / float64(max(time.Millisecond, usual))
}
