package psproxy

import (
	"context"
	"net/http"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/connection/psattempt"
	"persimmonstep/internal/connection/psresponse"
	"persimmonstep/internal/process/pscontrol"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/pshealth"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/request/psestimate"
	"persimmonstep/internal/request/psretry"
	"persimmonstep/platform/psheader"
)

const (
	// connectionShare is the share of a server's maximum connections that all VMs together use.
	connectionShare = 0.8
	// minConnections is the minimum connection limit of one VM for one server.
	minConnections = 2
	// noResponseTimeout is the minimum time without any response after which a server counts as failed, and
	// noResponseFactor the multiple of the expected latency that must have passed as well.
	noResponseTimeout = 700 * time.Millisecond
	noResponseFactor  = 3
)

// attempt is one request to a backend server.
type attempt struct {
	selection
	result psattempt.Result
	took   time.Duration
}

// dispatch sends the call to a server, and retries it on others as far as that is allowed.
func (c *call) dispatch(ctx context.Context) outcome {
	service := c.proxy.splits.Next(c.route)
	c.proxy.retries.AddRequest(service, c.proxy.options.Settings.Bounds.RetryWindow, c.arrivedAt)
	var last *psresponse.Response
	for {
		s, rejection := c.selectServer(ctx, service, c.attemptedServers())
		if rejection != nil {
			return c.finalOutcome(rejection, last)
		}
		if c.callerGone() {
			return canceled{}
		}
		response, result := c.attempt(ctx, s)
		switch {
		case result == psattempt.Answered:
			return answered{response}
		case result == psattempt.Canceled:
			return canceled{}
		case result == psattempt.Timeout:
			return failed{http.StatusGatewayTimeout, string(psattempt.Timeout)}
		case result == psattempt.TooLarge:
			return failed{http.StatusRequestEntityTooLarge, string(psattempt.TooLarge)}
		case result == psattempt.ServerError:
			last = response
		}
		if !c.mayRetry(service, result) {
			return c.finalOutcome(nil, last)
		}
	}
}

// finalOutcome returns the outcome of a call that is not retried.
func (c *call) finalOutcome(rejection outcome, last *psresponse.Response) outcome {
	if last != nil {
		return answered{last}
	}
	if len(c.attempts) == 0 {
		return rejection
	}
	for _, a := range c.attempts {
		if a.result.MayHaveExecuted() {
			return failed{http.StatusBadGateway, string(a.result)}
		}
	}
	if r, found := rejection.(rejected); found {
		return r
	}
	a := c.attempts[len(c.attempts)-1]
	retryAfter := min(a.choice.Wait+a.choice.Run, c.remaining(c.proxy.options.Now())/3)
	return rejected{http.StatusServiceUnavailable, string(a.result), max(time.Millisecond, retryAfter)}
}

// mayRetry reports whether the call may be sent to another server.
func (c *call) mayRetry(service string, result psattempt.Result) bool {
	if result.MayHaveExecuted() && !c.route.Kind.Repeatable() {
		return false
	}
	if c.sentAttempts() >= c.route.MaxAttempts || c.body.SingleUse() {
		return false
	}
	if result == psattempt.Unreachable || result == psattempt.Unsent {
		// Nothing reached a server, so the retry budget is not charged.
		return true
	}
	bounds := c.proxy.options.Settings.Bounds
	bound := psretry.Bound{
		Ratio: bounds.RetryRatio, Window: bounds.RetryWindow, Slack: bounds.RetrySlack / float64(c.snapshot.FleetSize),
	}
	return c.proxy.retries.Take(service, bound, c.proxy.options.Now())
}

// sentAttempts returns the number of attempts that may have reached their server.
func (c *call) sentAttempts() int {
	return lo.CountBy(c.attempts, func(a attempt) bool { return a.result != psattempt.Unsent })
}

func (c *call) attemptedServers() []*psserver.Server {
	list := make([]*psserver.Server, len(c.attempts))
	for i, a := range c.attempts {
		list[i] = a.server
	}
	return list
}

// attempt sends the call to one server and reads its response.
func (c *call) attempt(ctx context.Context, s selection) (*psresponse.Response, psattempt.Result) {
	start := c.proxy.options.Now()
	exchange := s.server.BeginRequest(start, s.maxExpected)
	if c.route.Affinity {
		s.server.RecentObjects.Add(c.object)
	}
	o := c.proxy.sender.Send(ctx, c.attemptRequest(s, start))
	if o.DialTime > 0 {
		c.proxy.roundTrips.Observe(s.view.Entry.FailureDomain, o.DialTime)
	}
	s.server.EndRequest(exchange)
	now := c.proxy.options.Now()
	c.attempts = append(c.attempts, attempt{selection: s, result: o.Result, took: now.Sub(start)})
	c.recordResult(s, o.Response, o.Result, start, now)
	if o.Result == psattempt.Answered || o.Result == psattempt.Timeout {
		s.server.RecordLatency(exchange, s.meanRunTime, now)
	}
	return o.Response, o.Result
}

// attemptRequest returns the call as a request to one server, which is sent at a time.
func (c *call) attemptRequest(s selection, sentAt time.Time) psattempt.Request {
	return psattempt.Request{
		Caller: c.request, Body: &c.body, ID: c.headers.ID, Workspace: c.workspaceName(), Repeatable: c.route.Kind.Repeatable(),
		Deadline: c.deadline, Server: s.view.Entry, MaxConnections: c.maxConnections(s.view.Entry.Service),
		MaySend: func() bool { return c.maySend(s) },
		HeaderRead: func(h psheader.Response) {
			c.proxy.control.UpdateAvailability(s.server, pscontrol.Announcement{
				Availability: h.Availability, RequestID: c.headers.ID, SentAt: sentAt, Genuine: h.Signed || h.NotRun,
			})
		},
	}
}

// maxConnections returns the maximum number of this VM's connections to a server of a service.
func (c *call) maxConnections(service string) int {
	v, found := c.snapshot.Index.Service(service)
	if !found {
		return minConnections
	}
	return max(minConnections, int(connectionShare*float64(v.MaxConnections))/c.snapshot.FleetSize)
}

// maySend reports whether the call may still be sent to a server, and counts it if so. The server may have become
// unusable, or have named a limit, since it was selected.
func (c *call) maySend(s selection) bool {
	now := c.proxy.options.Now()
	limit, _ := s.server.Limit(now)
	if !s.server.Usable(now) || limit.Named && !s.hasLimitToken {
		return false
	}
	s.server.CountSent()
	return true
}

// recordResult updates the server's state, the estimates and the crash counts with the result of an attempt.
func (c *call) recordResult(s selection, response *psresponse.Response, result psattempt.Result, start, now time.Time) {
	service := s.view.Entry.Service
	if response != nil {
		c.recordLoad(s, response, now)
	}
	took := now.Sub(start)
	switch result {
	case psattempt.Answered:
		c.proxy.blocklist.Clear(c.fingerprint)
		c.proxy.estimates.ObserveResponse(c.route.Name, response.Length())
		s.server.RecordOutcome(latencyRatio(took, s.choice.NominalLatency), false, now)
		c.updateEstimates(s, took, now)
	case psattempt.Unreachable:
		c.proxy.control.ServerFailed(s.server, pshealth.ReasonUnreachable, c.headers.ID)
	case psattempt.Misdirected:
		s.server.MarkReplaced(now)
		psevent.ServerFailed.Log(c.proxy.options.Logger, s.view.Entry.ID, service, string(result), c.headers.ID)
	case psattempt.Timeout:
		s.server.RecordOutcome(latencyRatio(took, s.choice.NominalLatency), false, now)
		if !s.server.AnsweredSince(start) && took > max(noResponseTimeout, noResponseFactor*s.choice.ExpectedLatency()) {
			c.proxy.control.ServerFailed(s.server, pshealth.ReasonSilent, c.headers.ID)
		}
	case psattempt.Shed, psattempt.ServerError, psattempt.Unsigned:
		s.server.RecordOutcome(0, true, now)
	case psattempt.Lost:
		s.server.RecordOutcome(0, true, now)
		c.proxy.checkCrash(c, s)
	}
}

// updateEstimates updates the estimates with the latency of an answered attempt.
func (c *call) updateEstimates(s selection, took time.Duration, now time.Time) {
	if s.view.Cold {
		return
	}
	run := took - s.choice.RoundTrip
	runs := c.proxy.estimates.Runs(c.route.Name, c.route.TargetLatency)
	if s.choice.LikelyCached {
		s.server.RecordCacheResult(s.choice.Rank == 0, runs.Hit(run-s.choice.Wait), now)
	}
	if s.choice.Wait == 0 {
		c.proxy.estimates.Observe(psestimate.Observation{
			Route: c.route.Name, Service: s.view.Entry.Service, Target: c.route.TargetLatency, Run: run,
		})
	}
}

// recordLoad records that the server responded, and the load that its response reports.
func (c *call) recordLoad(s selection, response *psresponse.Response, now time.Time) {
	s.server.RecordResponse(now)
	if load := response.Metadata.Load; load != nil {
		s.server.RecordLoad(load.Running, load.Waiting, now)
	}
}

func latencyRatio(took, usual time.Duration) float64 {
	return float64(took) / float64(max(time.Millisecond, usual))
}
