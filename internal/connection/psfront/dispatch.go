package psfront

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/psanswer"
	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/internal/process/pscontrol"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/request/psestimate"
	"persimmonstep/internal/request/psrepeat"
	"persimmonstep/platform"
)

const (
	// connectionPart is the part of a server's connections that all VMs together use.
	connectionPart = 0.8
	// minConnections is the least number of connections of one VM to one server.
	minConnections = 2
	// maxIdleRepeatable and maxIdleOnce are how long a kept connection may have been unused.
	// A server may close it just as a request is written, which only matters where the
	// request can't be sent again.
	maxIdleRepeatable = 6 * time.Second
	maxIdleOnce       = time.Second
	// silentTimeout is the least time without any answer after which a server counts as
	// failed, and silentFactor how many times the expected latency must have passed.
	silentTimeout = 700 * time.Millisecond
	silentFactor  = 3
)

// ending is how a try ended.
type ending string

const (
	endAnswered    ending = "answered"
	endUnreachable ending = "unreachable"
	// endUnsent tries ran out of time before anything was sent; the server is not to blame.
	endUnsent  ending = "unsent"
	endShed    ending = "shed"
	endMoved   ending = "moved"
	endLost    ending = "lost"
	endSpoilt  ending = "spoilt"
	endError   ending = "error"
	endTimeout ending = "timeout"
	endLeft    ending = "left"
	// endTooLarge tries were broken off because the caller's body exceeds the limit.
	endTooLarge ending = "bodyTooLarge"
)

// mayHaveRun reports whether the server may have run the request.
func (e ending) mayHaveRun() bool {
	return e != endUnreachable && e != endUnsent && e != endShed && e != endMoved
}

// try is one request to a backend server.
type try struct {
	selection
	ending ending
	took   time.Duration
}

// dispatch sends the call to servers until one of them answers it.
func (c *call) dispatch(ctx context.Context) outcome {
	service := c.gate.spreads.Next(c.route)
	c.gate.repeats.Request(service, c.gate.options.Settings.Bounds.RetryWindow, c.arrived)
	var last *psanswer.Answer
	for {
		s, refused := c.choose(service, c.tried())
		if refused != nil {
			return c.giveUp(refused, last)
		}
		if c.callerLeft() {
			return left{}
		}
		a, end := c.try(ctx, s)
		switch {
		case end == endAnswered:
			return answered{a}
		case end == endLeft:
			return left{}
		case end == endTimeout:
			return failed{http.StatusGatewayTimeout, string(endTimeout)}
		case end == endTooLarge:
			return failed{http.StatusRequestEntityTooLarge, string(endTooLarge)}
		case end == endError:
			last = a
		}
		if !c.mayRepeat(service, end) {
			return c.giveUp(nil, last)
		}
	}
}

// giveUp returns the outcome of a call that is not sent again.
func (c *call) giveUp(refused outcome, last *psanswer.Answer) outcome {
	if last != nil {
		return answered{last}
	}
	if len(c.tries) == 0 {
		return refused
	}
	for _, t := range c.tries {
		if t.ending.mayHaveRun() {
			return failed{http.StatusBadGateway, string(t.ending)}
		}
	}
	if r, found := refused.(rejected); found {
		return r
	}
	t := c.tries[len(c.tries)-1]
	after := min(t.choice.Wait+t.choice.Run, c.left(c.gate.options.Now())/3)
	return rejected{http.StatusServiceUnavailable, string(t.ending), max(time.Millisecond, after)}
}

// mayRepeat reports whether the call may be sent to another server.
func (c *call) mayRepeat(service string, end ending) bool {
	if end.mayHaveRun() && !c.route.Kind.Repeatable() {
		return false
	}
	if len(c.tries) >= c.route.MaxAttempts || c.body.Once() {
		return false
	}
	if end == endUnreachable || end == endUnsent {
		// Nothing arrived at a server.
		return true
	}
	b := c.gate.options.Settings.Bounds
	bound := psrepeat.Bound{Ratio: b.RetryRatio, Window: b.RetryWindow, Slack: b.RetrySlack / float64(c.snapshot.FleetSize)}
	return c.gate.repeats.Take(service, bound, c.gate.options.Now())
}

func (c *call) tried() []*psserver.Server {
	list := make([]*psserver.Server, len(c.tries))
	for i, t := range c.tries {
		list[i] = t.server
	}
	return list
}

// try sends the call to one server and reads its whole answer.
func (c *call) try(ctx context.Context, s selection) (*psanswer.Answer, ending) {
	begun := c.gate.options.Now()
	exchange := s.server.BeginRequest(begun, s.explained)
	if c.route.Affinity {
		s.server.RecentObjects.Add(c.object)
	}
	result, err := c.send(ctx, s, begun)
	if result.Dialed > 0 {
		c.gate.travels.Observe(s.view.Entry.FailureDomain, result.Dialed)
	}
	var a *psanswer.Answer
	end := endAnswered
	if err == nil {
		a, end = c.read(result.Response)
	} else {
		end = c.endingOf(ctx, result.Sent, err)
	}
	s.server.EndRequest(exchange)
	if a != nil && end != endAnswered && end != endError {
		a.Close()
	}
	now := c.gate.options.Now()
	c.tries = append(c.tries, try{selection: s, ending: end, took: now.Sub(begun)})
	c.judge(s, a, end, begun, now)
	if end == endAnswered || end == endTimeout {
		s.server.RecordLatency(exchange, s.meanRun, now)
	}
	return a, end
}

// read reads an answer and says how the try ended.
func (c *call) read(r *http.Response) (*psanswer.Answer, ending) {
	a, err := psanswer.Read(r)
	if err == nil {
		return a, endings[a.Class()]
	}
	switch {
	case c.request.Context().Err() != nil:
		return nil, endLeft
	case !c.gate.options.Now().Before(c.deadline):
		return nil, endTimeout
	}
	return nil, endLost
}

// endings are the endings of tries with a whole answer.
var endings = map[psanswer.Class]ending{
	psanswer.Good: endAnswered, psanswer.Moved: endMoved, psanswer.Shed: endShed,
	psanswer.Spoilt: endSpoilt, psanswer.Failing: endError,
}

// endingOf sorts a try that has no answer.
func (c *call) endingOf(ctx context.Context, sent bool, err error) ending {
	var body *pstransport.BodyError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return endTooLarge
	case errors.Is(err, pstransport.ErrTooLate):
		return endUnsent
	case c.request.Context().Err() != nil || errors.As(err, &body):
		return endLeft
	case ctx.Err() != nil && sent:
		return endTimeout
	case ctx.Err() != nil:
		return endUnsent
	case !sent:
		return endUnreachable
	}
	return endLost
}

func (c *call) send(ctx context.Context, s selection, now time.Time) (pstransport.Result, error) {
	e := s.view.Entry
	service, _ := c.snapshot.Index.Service(e.Service)
	limit := minConnections
	if service != nil {
		limit = max(limit, int(connectionPart*float64(service.MaxConnections))/c.snapshot.FleetSize)
	}
	still := func() bool { return s.server.Usable(c.gate.options.Now()) }
	mine := func(r *http.Response) bool {
		said := platform.ReadAnswer(r.StatusCode, r.Header)
		if said.ID != "" && said.ID != c.headers.ID {
			return false
		}
		// The connection goes to the next request with the end of the answer. That one must know by then.
		// Another server's answer, at the same address, says nothing of this one.
		if r.StatusCode != http.StatusMisdirectedRequest {
			c.gate.beliefs.TakeWishes(s.server, said.Wishes, c.headers.ID)
		}
		return true
	}
	rules := pstransport.Rules{MaxIdle: maxIdleOnce, EndByClose: true, Still: still, Mine: mine}
	if c.route.Kind.Repeatable() {
		rules.MaxIdle = maxIdleRepeatable
	}
	return c.gate.options.Transports.SendWith(ctx, e.Address, limit, c.outgoing(e, now), rules)
}

// outgoing returns the request as a server gets it.
func (c *call) outgoing(e psserver.Entry, now time.Time) *http.Request {
	h := psanswer.Forwardable(c.request.Header)
	platform.WriteDispatch(h, platform.Dispatch{Server: e.ID, Workspace: c.workspaceName(), Left: c.left(now)})
	if h.Get("User-Agent") == "" {
		// net/http adds its own otherwise.
		h["User-Agent"] = []string{""}
	}
	body, length := c.body.Open()
	from := c.request.URL
	to := &url.URL{
		Scheme: "http", Host: e.Address.String(), Path: from.Path, RawPath: from.RawPath,
		RawQuery: from.RawQuery, ForceQuery: from.ForceQuery,
	}
	return &http.Request{
		Method: c.request.Method, URL: to, Host: c.request.Host, Header: h, Body: body, ContentLength: length,
	}
}

// judge takes in what a try says about its server.
func (c *call) judge(s selection, a *psanswer.Answer, end ending, begun, now time.Time) {
	service := s.view.Entry.Service
	if a != nil {
		c.takeAnswer(s, a, now)
	}
	took := now.Sub(begun)
	switch end {
	case endAnswered:
		c.gate.poison.Answered(c.fingerprint)
		c.gate.estimates.Answered(c.route.Name, a.Length())
		s.server.RecordOutcome(ratio(took, s.choice.Usual), false, now)
		c.learn(s, took, now)
	case endUnreachable:
		c.gate.beliefs.ServerFailed(s.server, pscontrol.ReasonUnreachable, c.headers.ID)
	case endMoved:
		s.server.MarkReplaced(now)
		psevent.ServerFailed.Log(c.gate.options.Logger, s.view.Entry.ID, service, string(end), c.headers.ID)
	case endTimeout:
		s.server.RecordOutcome(ratio(took, s.choice.Usual), false, now)
		if !s.server.AnsweredSince(begun) && took > max(silentTimeout, silentFactor*s.choice.Finish()) {
			c.gate.beliefs.ServerFailed(s.server, pscontrol.ReasonSilent, c.headers.ID)
		}
	case endShed, endError, endSpoilt:
		s.server.RecordOutcome(0, true, now)
	case endLost:
		s.server.RecordOutcome(0, true, now)
		c.gate.checkCrash(c, s)
	}
}

// learn takes in how long a run took.
func (c *call) learn(s selection, took time.Duration, now time.Time) {
	if s.view.Cold {
		return
	}
	run := took - s.choice.Travel
	runs := c.gate.estimates.Runs(c.route.Name, c.route.TargetLatency)
	if s.choice.Warm {
		s.server.RecordCacheResult(s.choice.Rank == 0, runs.Warm(run-s.choice.Wait), now)
	}
	if s.choice.Wait == 0 {
		c.gate.estimates.Observe(psestimate.Observed{
			Route: c.route.Name, Service: s.view.Entry.Service, Target: c.route.TargetLatency, Took: run,
		})
	}
}

func (c *call) takeAnswer(s selection, a *psanswer.Answer, now time.Time) {
	s.server.RecordAnswer(now)
	if l := a.Said.Load; l != nil {
		s.server.RecordLoad(l.Running, l.Waiting, now)
	}
}

func ratio(took, usual time.Duration) float64 {
	return float64(took) / float64(max(time.Millisecond, usual))
}
