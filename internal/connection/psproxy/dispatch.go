package psproxy

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"persimmonstep/internal/connection/psresponse"
	"persimmonstep/internal/connection/pstransport"
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
	// maxIdleRetryable and maxIdleNonRetryable bound the idle time of a connection that is reused. A server may
	// close an idle connection just as a request is written to it, which only matters if the request cannot be
	// sent again.
	maxIdleRetryable    = 6 * time.Second
	maxIdleNonRetryable = time.Second
	// noResponseTimeout is the minimum time without any response after which a server counts as failed, and
	// noResponseFactor the multiple of the expected latency that must have passed as well.
	noResponseTimeout = 700 * time.Millisecond
	noResponseFactor  = 3
)

// attemptResult is how an attempt ended. It is a metric label and appears in logs.
type attemptResult string

const (
	resultAnswered    attemptResult = "answered"
	resultUnreachable attemptResult = "unreachable"
	// resultUnsent attempts ended before anything was sent, because the time ran out or the server became
	// unusable meanwhile. They do not count as failures of the server.
	resultUnsent      attemptResult = "unsent"
	resultShed        attemptResult = "shed"
	resultMisdirected attemptResult = "moved"
	resultLost        attemptResult = "lost"
	resultUnsigned    attemptResult = "spoilt"
	resultServerError attemptResult = "error"
	resultTimeout     attemptResult = "timeout"
	resultCanceled    attemptResult = "left"
	// resultTooLarge attempts were aborted because the caller's body exceeds the limit.
	resultTooLarge attemptResult = "bodyTooLarge"
)

// mayHaveExecuted reports whether the server may have executed the request.
func (r attemptResult) mayHaveExecuted() bool {
	return r != resultUnreachable && r != resultUnsent && r != resultShed && r != resultMisdirected
}

// attempt is one request to a backend server.
type attempt struct {
	selection
	result attemptResult
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
		case result == resultAnswered:
			return answered{response}
		case result == resultCanceled:
			return canceled{}
		case result == resultTimeout:
			return failed{http.StatusGatewayTimeout, string(resultTimeout)}
		case result == resultTooLarge:
			return failed{http.StatusRequestEntityTooLarge, string(resultTooLarge)}
		case result == resultServerError:
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
		if a.result.mayHaveExecuted() {
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
func (c *call) mayRetry(service string, result attemptResult) bool {
	if result.mayHaveExecuted() && !c.route.Kind.Repeatable() {
		return false
	}
	if c.sentAttempts() >= c.route.MaxAttempts || c.body.SingleUse() {
		return false
	}
	if result == resultUnreachable || result == resultUnsent {
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
	return lo.CountBy(c.attempts, func(a attempt) bool { return a.result != resultUnsent })
}

func (c *call) attemptedServers() []*psserver.Server {
	list := make([]*psserver.Server, len(c.attempts))
	for i, a := range c.attempts {
		list[i] = a.server
	}
	return list
}

// attempt sends the call to one server and reads its response.
func (c *call) attempt(ctx context.Context, s selection) (*psresponse.Response, attemptResult) {
	start := c.proxy.options.Now()
	exchange := s.server.BeginRequest(start, s.maxExpected)
	if c.route.Affinity {
		s.server.RecentObjects.Add(c.object)
	}
	reply, err := c.send(ctx, s, start)
	if reply.DialTime > 0 {
		c.proxy.roundTrips.Observe(s.view.Entry.FailureDomain, reply.DialTime)
	}
	var response *psresponse.Response
	result := resultAnswered
	if err == nil {
		response, result = c.readResponse(reply.Response)
	} else {
		result = c.classifyError(ctx, reply.Sent, err)
	}
	s.server.EndRequest(exchange)
	if response != nil && result != resultAnswered && result != resultServerError {
		response.Close()
	}
	now := c.proxy.options.Now()
	c.attempts = append(c.attempts, attempt{selection: s, result: result, took: now.Sub(start)})
	c.recordResult(s, response, result, start, now)
	if result == resultAnswered || result == resultTimeout {
		s.server.RecordLatency(exchange, s.meanRunTime, now)
	}
	return response, result
}

// readResponse reads a response and returns the result of the attempt.
func (c *call) readResponse(raw *http.Response) (*psresponse.Response, attemptResult) {
	response, err := psresponse.Read(raw)
	if err == nil {
		return response, resultByClass[response.Class()]
	}
	switch {
	case c.request.Context().Err() != nil:
		return nil, resultCanceled
	case !c.proxy.options.Now().Before(c.deadline):
		return nil, resultTimeout
	}
	return nil, resultLost
}

// resultByClass gives the result of an attempt by the class of its response.
var resultByClass = map[psresponse.Class]attemptResult{
	psresponse.Valid: resultAnswered, psresponse.Misdirected: resultMisdirected, psresponse.Shed: resultShed,
	psresponse.Unsigned: resultUnsigned, psresponse.ServerError: resultServerError,
}

// classifyError returns the result of an attempt that has no response.
func (c *call) classifyError(ctx context.Context, sent bool, err error) attemptResult {
	var body *pstransport.BodyError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return resultTooLarge
	case errors.Is(err, pstransport.ErrMayNotSend):
		return resultUnsent
	case c.request.Context().Err() != nil || errors.As(err, &body):
		return resultCanceled
	case ctx.Err() != nil && sent:
		return resultTimeout
	case ctx.Err() != nil:
		return resultUnsent
	case !sent:
		return resultUnreachable
	}
	return resultLost
}

func (c *call) send(ctx context.Context, s selection, now time.Time) (pstransport.Result, error) {
	entry := s.view.Entry
	service, _ := c.snapshot.Index.Service(entry.Service)
	limit := minConnections
	if service != nil {
		limit = max(limit, int(connectionShare*float64(service.MaxConnections))/c.snapshot.FleetSize)
	}
	maySend := func() bool {
		now := c.proxy.options.Now()
		limit, _ := s.server.Limit(now)
		if !s.server.Usable(now) || limit.Named && !s.hasLimitToken {
			return false
		}
		s.server.CountSent()
		return true
	}
	accept := func(r *http.Response) bool {
		metadata := psheader.ReadResponse(r.StatusCode, r.Header)
		if metadata.ID != "" && metadata.ID != c.headers.ID {
			return false
		}
		// At the end of the response the connection passes to the next request, which must already take into
		// account that the server drains or asked for a pause. A response of another server at the same address does
		// not describe this one.
		if r.StatusCode != http.StatusMisdirectedRequest {
			c.proxy.control.UpdateAvailability(s.server, pscontrol.Announcement{
				Availability: metadata.Availability, RequestID: c.headers.ID, SentAt: now, Genuine: metadata.Signed || metadata.NotRun,
			})
		}
		return true
	}
	options := pstransport.Options{MaxIdle: maxIdleNonRetryable, AcceptCloseDelimited: true, MaySend: maySend, Matches: accept}
	if c.route.Kind.Repeatable() {
		options.MaxIdle = maxIdleRetryable
	}
	return c.proxy.options.Transport.SendWith(ctx, entry.Address, limit, c.upstreamRequest(entry, now), options)
}

// upstreamRequest returns the request as it is sent to a server.
func (c *call) upstreamRequest(entry psserver.Entry, now time.Time) *http.Request {
	header := psresponse.EndToEndHeaders(c.request.Header)
	psheader.WriteForward(header, psheader.Forward{Server: entry.ID, Workspace: c.workspaceName(), Left: c.remaining(now)})
	if header.Get("User-Agent") == "" {
		// Without this, net/http adds a User-Agent of its own.
		header["User-Agent"] = []string{""}
	}
	body, length := c.body.Open()
	from := c.request.URL
	to := &url.URL{
		Scheme: "http", Host: entry.Address.String(), Path: from.Path, RawPath: from.RawPath,
		RawQuery: from.RawQuery, ForceQuery: from.ForceQuery,
	}
	return &http.Request{
		Method: c.request.Method, URL: to, Host: c.request.Host, Header: header, Body: body, ContentLength: length,
	}
}

// recordResult updates the server's state, the estimates and the crash counts with the result of an attempt.
func (c *call) recordResult(s selection, response *psresponse.Response, result attemptResult, start, now time.Time) {
	service := s.view.Entry.Service
	if response != nil {
		c.recordLoad(s, response, now)
	}
	took := now.Sub(start)
	switch result {
	case resultAnswered:
		c.proxy.blocklist.Clear(c.fingerprint)
		c.proxy.estimates.ObserveResponse(c.route.Name, response.Length())
		s.server.RecordOutcome(latencyRatio(took, s.choice.NominalLatency), false, now)
		c.updateEstimates(s, took, now)
	case resultUnreachable:
		c.proxy.control.ServerFailed(s.server, pshealth.ReasonUnreachable, c.headers.ID)
	case resultMisdirected:
		s.server.MarkReplaced(now)
		psevent.ServerFailed.Log(c.proxy.options.Logger, s.view.Entry.ID, service, string(result), c.headers.ID)
	case resultTimeout:
		s.server.RecordOutcome(latencyRatio(took, s.choice.NominalLatency), false, now)
		if !s.server.AnsweredSince(start) && took > max(noResponseTimeout, noResponseFactor*s.choice.ExpectedLatency()) {
			c.proxy.control.ServerFailed(s.server, pshealth.ReasonSilent, c.headers.ID)
		}
	case resultShed, resultServerError, resultUnsigned:
		s.server.RecordOutcome(0, true, now)
	case resultLost:
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
