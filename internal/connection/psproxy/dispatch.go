package psproxy

import (
	"context"
	"net/http"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/connection/psaccess"
	"persimmonstep/internal/connection/psattempt"
	"persimmonstep/internal/connection/pscaller"
	"persimmonstep/internal/connection/psoutcome"
	"persimmonstep/internal/connection/psresponse"
	"persimmonstep/internal/connection/psselection"
	"persimmonstep/internal/process/psavailability"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/request/psretry"
	"persimmonstep/platform/psheader"
)

// dispatch sends the call to a server, and retries it on others as far as that is allowed.
func (c *call) dispatch(ctx context.Context) (final outcome) {
	if o := c.withoutServers(ctx); o != nil {
		return o
	}
	service := c.proxy.splits.Next(c.route)
	c.proxy.retries.AddRequest(service, c.proxy.options.Settings.Bounds.RetryWindow, c.arrivedAt)
	c.observeUsage()
	var last *psresponse.Response
	defer func() { closeUnused(last, final) }()
	for {
		s, rejection := c.proxy.selector.Select(ctx, c.selectionRequest(service))
		if rejection != nil {
			c.basis = rejection.Basis
			return c.finalOutcome(rejected{http.StatusServiceUnavailable, rejection.Reason, rejection.RetryAfter}, last)
		}
		if pscaller.Gone(c.request) {
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
			closeUnused(last, nil)
			last = response
		}
		if !c.mayRetry(service, result) {
			return c.finalOutcome(nil, last)
		}
		switch o := c.withoutServers(ctx).(type) {
		case nil:
		case rejected:
			return c.finalOutcome(o, last)
		default:
			return o
		}
	}
}

// observeUsage counts the call among the requests of its workspace, and learns whether it exceeds the usual amount of these.
func (c *call) observeUsage() {
	if c.workspace == nil {
		return
	}
	c.beyondUsual = c.proxy.usage.Observe(c.workspace.Name, c.caller.PriorWait > 0, c.proxy.options.Now())
	if c.beyondUsual {
		c.proxy.options.Metrics.CountBeyondUsual()
	}
}

// closeUnused closes a response unless it is that of an outcome.
func closeUnused(response *psresponse.Response, o outcome) {
	if a, found := o.(answered); response != nil && !(found && a.response == response) {
		response.Close()
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
		if a.Result.MayHaveExecuted() {
			return failed{http.StatusBadGateway, string(a.Result)}
		}
	}
	if r, found := rejection.(rejected); found {
		return r
	}
	a := c.attempts[len(c.attempts)-1]
	retryAfter := min(a.Choice.Wait+a.Choice.Run, c.remaining(c.proxy.options.Now())/3)
	return rejected{http.StatusServiceUnavailable, string(a.Result), max(time.Millisecond, retryAfter)}
}

// mayRetry reports whether the call may be sent to another server.
func (c *call) mayRetry(service string, result psattempt.Result) bool {
	if result.MayHaveExecuted() && !c.route.Kind.Repeatable() {
		return false
	}
	if c.origin.Attempts+c.sentAttempts() >= c.route.MaxAttempts || c.body.SingleUse() {
		return false
	}
	if result == psattempt.Unreachable || result == psattempt.Unsent {
		// Nothing reached a server, so the retry budget is not charged.
		return true
	}
	bounds := c.proxy.options.Settings.Bounds
	bound := psretry.Bound{
		Ratio: bounds.RetryRatio, Window: bounds.RetryWindow, Slack: bounds.RetrySlack * c.snapshot.Holding.Part(),
	}
	return c.proxy.retries.Take(service, bound, c.proxy.options.Now())
}

// sentAttempts returns the number of attempts that may have reached their server.
func (c *call) sentAttempts() int {
	return lo.CountBy(c.attempts, func(a psaccess.Attempt) bool { return a.Result != psattempt.Unsent })
}

// selectionRequest returns the call as a request for a server of a service, with the servers that are registered now. A
// call may have waited long since its arrival, for its caller's body or for an earlier attempt.
func (c *call) selectionRequest(service string) psselection.Request {
	return psselection.Request{
		Snapshot: c.proxy.control.Snapshot(), Service: service, Route: c.route, Workspace: c.workspace, Object: c.object,
		BodyBytes: len(c.body.Buffered), ArrivedAt: c.arrivedAt, Deadline: c.deadline, Caller: c.caller, Attempted: c.attemptedServers(),
		BeyondUsual: c.beyondUsual,
	}
}

func (c *call) attemptedServers() []*psserver.Server {
	list := make([]*psserver.Server, len(c.attempts))
	for i, a := range c.attempts {
		list[i] = a.Server
	}
	return list
}

// attempt sends the call to one server and reads its response.
func (c *call) attempt(ctx context.Context, s psselection.Selection) (*psresponse.Response, psattempt.Result) {
	start := c.proxy.options.Now()
	exchange := s.Server.BeginRequest(start, s.MaxExpected)
	if c.route.Affinity {
		s.Server.RecentObjects.Add(c.object)
	}
	o := c.proxy.sender.Send(ctx, c.attemptRequest(s, start))
	s.Server.EndRequest(exchange)
	now := c.proxy.options.Now()
	c.attempts = append(c.attempts, psaccess.Attempt{Selection: s, Result: o.Result, Took: now.Sub(start)})
	c.proxy.outcomes.Record(psoutcome.Attempt{
		Selection: s, Outcome: o, RequestID: c.headers.ID, Route: c.route, Fingerprint: c.fingerprint, Start: start,
	}, now)
	if o.Result == psattempt.Answered || o.Result == psattempt.Timeout {
		s.Server.RecordLatency(exchange, s.MeanRun, now)
	}
	return o.Response, o.Result
}

// attemptRequest returns the call as a request to one server, which is sent at a time.
func (c *call) attemptRequest(s psselection.Selection, sentAt time.Time) psattempt.Request {
	return psattempt.Request{
		Caller: c.request, Body: &c.body, ID: c.headers.ID, Workspace: c.workspaceName(), Repeatable: c.route.Kind.Repeatable(),
		Deadline: c.deadline, Server: s.View.Entry, MaxConnections: psattempt.ConnectionLimit(c.snapshot, s.View.Entry.Service),
		MaySend: func() bool { return c.maySend(s) },
		HeaderRead: func(h psheader.Response) {
			c.proxy.control.UpdateAvailability(s.Server, psavailability.Announcement{
				Availability: h.Availability, RequestID: c.headers.ID, SentAt: sentAt, Genuine: h.Signed || h.NotRun,
			})
		},
	}
}

// maySend reports whether the call may still be sent to a server, and counts it if so. The server may have become
// unusable, have been evacuated or have named a limit since it was selected.
func (c *call) maySend(s psselection.Selection) bool {
	now := c.proxy.options.Now()
	limit, _ := s.Server.Limit(now)
	evacuated := c.proxy.control.Snapshot().Evacuated[s.View.Entry.FailureDomain]
	if evacuated || !s.Server.Usable(now) || limit.Named && !s.HasLimitToken {
		return false
	}
	s.Server.CountSent()
	return true
}
