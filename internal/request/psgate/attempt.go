package psgate

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/pspool"
	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/request/psretry"
	"persimmonstep/internal/request/psroute"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	// maxQueueWait bounds the wait for a slot.
	maxQueueWait = 500 * time.Millisecond
	// retryAfterFailure is the advice to a caller for whom no server was found.
	retryAfterFailure = time.Second
	// headerVia names this VM to the backend server.
	headerVia = "Via"
	// headerNotRun is set by a backend server that shed a request without running it.
	headerNotRun = "X-Not-Run"
)

// tries are the attempts of one request.
type tries struct {
	// servers lists those that the request must not be sent to again.
	servers []*psplan.Server
	history psretry.History
	// held is a whole answer that reports a server's failure, kept for the case that no
	// other server gives a better one.
	held *attempt
	// next is a slot that was taken for the next attempt before the last one was given up.
	next *pspool.Slot
	// suspect is what is known of the request as a cause of crashes.
	suspect suspect
}

// attempt is an answer whose body is still to be read, with the slot that it occupies.
type attempt struct {
	response *http.Response
	slot     *pspool.Slot
	cancel   context.CancelFunc
	// unreserve ends the reservation of the server.
	unreserve func()
}

// close ends the attempt; a body that was not read to its end takes its connection along.
func (a *attempt) close() {
	_ = a.response.Body.Close()
	a.cancel()
	a.unreserve()
	a.slot.Release()
}

// send tries backend servers until one answers or no further try is allowed.
func (x *exchange) send(ctx context.Context) (*attempt, error) {
	if err := x.checkQuarantine(); err != nil {
		return nil, err
	}
	for {
		slot, err := x.acquire(ctx)
		if err != nil {
			return x.giveUp(ctx, err)
		}
		a, ending := x.try(ctx, slot)
		if ending == nil {
			x.dropHeld()
			return a, nil
		}
		x.tries.history.Add(ending)
		x.hold(a)
		if !x.again(ctx) {
			return x.giveUp(ctx, nil)
		}
	}
}

// hold keeps an answer that reports a server's failure, in place of an earlier one.
func (x *exchange) hold(a *attempt) {
	if a != nil {
		x.dropHeld()
		x.tries.held = a
	}
}

func (x *exchange) dropHeld() {
	if x.tries.held != nil {
		x.tries.held.close()
		x.tries.held = nil
	}
}

// again decides whether the request may be sent to another server, and pays for that.
func (x *exchange) again(ctx context.Context) bool {
	h := x.tries.history
	r := x.retryRequest(ctx)
	r.Expected = x.expected()
	decision := psretry.Decide(r, h)
	retry, allowed := decision.(psretry.Retry)
	reason := psretry.ReasonBudget
	switch {
	case ctx.Err() != nil:
		allowed, reason = false, psretry.ReasonCallerGone
	case !allowed:
		reason = decision.(psretry.Stop).Reason
	case x.isQuarantined():
		allowed, reason = false, psretry.ReasonCrashes
	case retry.Paid && x.tries.next == nil:
		allowed = x.gate.Retries.Spend(x.route.Pool, time.Now())
	}
	if !allowed {
		x.dropNext()
		psevent.RetryRefused.Log(x.gate.Logger, x.id, x.workspaceName(), x.routeName(), h.Attempts, string(reason))
		return false
	}
	psevent.Retried.Log(x.gate.Logger, x.id, x.workspaceName(), x.routeName(), h.Attempts, retry.Paid)
	return true
}

func (x *exchange) retryRequest(ctx context.Context) psretry.Request {
	r := psretry.Request{
		Kind: x.route.Kind, Streamed: x.isStreamed(), Consumed: x.wasRead(), Left: -1,
	}
	if d, found := ctx.Deadline(); found {
		r.Left = max(0, time.Until(d))
	}
	return r
}

// expected is the least time that a server is expected to take to which the request was not
// sent; 0 when unknown.
func (x *exchange) expected() time.Duration {
	var least time.Duration
	for _, s := range x.route.Servers {
		d := x.gate.Observer.Latency(s)
		if d > 0 && (least == 0 || d < least) && !slices.Contains(x.tries.servers, s) {
			least = d
		}
	}
	return least
}

func (x *exchange) isStreamed() bool {
	return x.route.Kind == psdoc.KindUpload
}

// wasRead reports whether some of a streamed body was read, so that it can't be sent again.
func (x *exchange) wasRead() bool {
	u, ok := x.request.Body.(*upload)
	return ok && u.wasRead()
}

// acquire takes a slot for the next attempt.
func (x *exchange) acquire(ctx context.Context) (*pspool.Slot, error) {
	slot, err := x.takeSlot(ctx)
	if err != nil {
		return nil, err
	}
	x.tries.next = nil
	if !x.reserve(slot.Server) {
		slot.Refund()
		x.tries.servers = append(x.tries.servers, slot.Server)
		return x.acquire(ctx)
	}
	if x.tries.history.Attempts == 0 {
		x.gate.Retries.First(x.route.Pool, time.Now())
	}
	x.tries.servers = append(x.tries.servers, slot.Server)
	psevent.Routed.Log(x.gate.Logger, x.id, x.workspaceName(), x.routeName(), slot.Server.Name, slot.Server.Domain.Name, x.tries.history.Attempts+1, string(slot.Reason))
	return slot, nil
}

// takeSlot returns the slot that is kept for the attempt, or waits for one.
func (x *exchange) takeSlot(ctx context.Context) (*pspool.Slot, error) {
	if x.tries.next != nil {
		return x.tries.next, nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxQueueWait)
	defer cancel()
	return x.gate.Slots.Acquire(ctx, x.routeRequest(x.tries.servers))
}

func (x *exchange) routeRequest(tried []*psplan.Server) psroute.Request {
	self, _ := x.plan.VM(x.gate.Self)
	r := psroute.Request{Route: x.route, Workspace: x.workspace, Home: x.home, Tried: tried}
	if self != nil {
		r.Domain = self.Domain
	}
	return r
}

// try sends the request to one server. It returns an answer, an ending, or both where the
// whole answer reports a failure of the server. The slot is released unless there is an answer.
func (x *exchange) try(parent context.Context, slot *pspool.Slot) (*attempt, psretry.Ending) {
	ctx, cancel := context.WithCancel(slot.Bind(parent))
	r := x.retryRequest(parent)
	r.Expected = x.gate.Observer.Latency(slot.Server)
	patience := &patience{cancel: cancel}
	if d := psretry.AttemptTime(r, x.tries.history); d > 0 {
		patience.begin(d, x.successor(parent))
	}
	if !x.isStreamed() {
		x.gate.Observer.Begin(slot.Server)
	}
	began := time.Now()
	out := x.outgoing(parent, slot.Server)
	out.Body = slot.Meter(out.Body)
	result, err := x.gate.Transports.Send(ctx, slot.Server.Address, x.connections(slot.Server), out)
	x.tries.next = patience.end()
	o := Observation{Server: slot.Server, Streamed: x.isStreamed(), Duration: time.Since(began), Err: x.causeOf(parent, err)}
	if err == nil {
		x.dropNext()
		o.Status, o.Header = result.Response.StatusCode, result.Response.Header
	}
	x.gate.Observer.Observe(o)
	if err != nil {
		ending := endingOf(ctx, result.Sent)
		x.noteLoss(slot.Server, ending, err)
		x.unreserve(slot.Server)
		cancel()
		giveBack(slot, ending)
		return nil, ending
	}
	a := &attempt{response: result.Response, slot: slot, cancel: cancel, unreserve: func() { x.unreserve(slot.Server) }}
	a.response.Body = &answerBody{ReadCloser: slot.Meter(a.response.Body), exchange: x, context: ctx, server: slot.Server}
	if o.Status == http.StatusServiceUnavailable && o.Header.Get(headerNotRun) != "" {
		slot.Refund()
		a.close()
		return nil, psretry.Shed{}
	}
	if x.route.Kind == psdoc.KindLookup && isServerError(o.Status) {
		return a, psretry.ServerError{}
	}
	return a, nil
}

// causeOf tells the observer whose failure it was: the caller's, the deadline's or the server's.
func (x *exchange) causeOf(parent context.Context, err error) error {
	var body *pstransport.BodyError
	switch {
	case errors.As(err, &body):
		return context.Canceled
	case err != nil && (x.tries.next != nil || errors.Is(context.Cause(parent), errBackendStalled)):
		return context.DeadlineExceeded
	}
	return err
}

// giveBack gives the slot of a failed attempt back. A server that got any of the request may
// go on with it until it notices that the exchange is over.
func giveBack(s *pspool.Slot, e psretry.Ending) {
	if e == (psretry.Unreachable{}) {
		s.Refund()
		return
	}
	s.Abandon()
}

func endingOf(ctx context.Context, sent bool) psretry.Ending {
	switch {
	case !sent:
		return psretry.Unreachable{}
	case ctx.Err() != nil:
		return psretry.TimedOut{}
	}
	return psretry.Lost{}
}

func isServerError(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// errTruncated is an answer that broke off.
var errTruncated = errors.New("the answer broke off")

// answerBody notes that an answer broke off.
type answerBody struct {
	io.ReadCloser
	exchange *exchange
	context  context.Context
	server   *psplan.Server
	broken   bool
}

// Read reads and notes the first failure.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.exchange.noteAnswer()
	}
	if err == nil || errors.Is(err, io.EOF) || b.broken {
		return n, err
	}
	b.broken = true
	var ending psretry.Ending = psretry.Lost{}
	if b.context.Err() != nil {
		ending = psretry.TimedOut{}
	} else {
		b.exchange.gate.Observer.Observe(Observation{Server: b.server, Truncated: true, Err: errTruncated})
	}
	b.exchange.noteLoss(b.server, ending, err)
	b.exchange.tries.history.Add(ending)
	return n, err
}

// giveUp returns the held answer, or else the final refusal. It says that the request did
// not run only if no attempt can have run it.
func (x *exchange) giveUp(ctx context.Context, refused error) (*attempt, error) {
	if a := x.tries.held; a != nil {
		x.tries.held = nil
		return a, nil
	}
	h := x.tries.history
	switch {
	case h.MayHaveRun && (ctx.Err() != nil || isTimeout(h.Last)):
		return nil, psproblem.Unknown(http.StatusGatewayTimeout, "timeout", "no backend server answered in time")
	case h.MayHaveRun:
		return nil, psproblem.Unknown(http.StatusBadGateway, "badGateway", "the backend server's answer did not arrive")
	case refused != nil:
		return nil, refused
	}
	return nil, psproblem.New(http.StatusServiceUnavailable, "noCapacity", "no backend server took the request").After(retryAfterFailure)
}

func isTimeout(e psretry.Ending) bool {
	_, ok := e.(psretry.TimedOut)
	return ok
}

// outgoing makes the request for a backend server.
func (x *exchange) outgoing(ctx context.Context, s *psplan.Server) *http.Request {
	out := &http.Request{
		Method:        x.request.Method,
		URL:           cloneURL(x.request.URL, s.Address.String()),
		Host:          x.request.Host,
		Header:        endToEnd(x.request.Header),
		ContentLength: x.request.ContentLength,
		Proto:         "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		// A request that must not run twice gets a connection of its own.
		Close: x.route.Kind == psdoc.KindExclusive,
	}
	out.Header.Set(headerRequestID, x.id)
	out.Header.Set(headerVia, "1.1 "+string(x.gate.Self))
	if x.workspace != nil {
		out.Header.Set(headerWorkspace, string(x.workspace.Name))
	}
	if d, found := ctx.Deadline(); found {
		out.Header.Set(headerDeadline, strconv.FormatInt(time.Until(d).Milliseconds(), 10))
	}
	if x.isStreamed() {
		out.Body = x.request.Body
		return out
	}
	out.ContentLength = int64(len(x.body))
	out.Body = pstransport.Body(x.body)
	return out
}
