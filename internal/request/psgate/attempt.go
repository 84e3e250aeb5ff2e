package psgate

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/pspool"
	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/request/psroute"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	// maxAttempts bounds the backend servers that one request is sent to.
	maxAttempts = 3
	// maxQueueWait bounds the wait for a slot.
	maxQueueWait = 500 * time.Millisecond
	// maxConnectionsPerServer bounds this VM's connections to one backend server.
	maxConnectionsPerServer = 32
	// headerVia names this VM to the backend server.
	headerVia = "Via"
	// headerNotRun is set by a backend server that shed a request without running it.
	headerNotRun = "X-Not-Run"
)

// attempt is an answer whose body is still to be read, with the slot that it occupies.
type attempt struct {
	response *http.Response
	slot     *pspool.Slot
}

// close ends the attempt; a body that was not read to its end takes its connection along.
func (a *attempt) close() {
	_ = a.response.Body.Close()
	a.slot.Release()
}

// failure is an attempt that brought no answer.
type failure struct {
	err error
	// sent says that a byte may have reached the backend server.
	sent bool
}

// send tries backend servers until one answers or no further try is allowed.
func (x *exchange) send(ctx context.Context) (*attempt, error) {
	var tried []*psplan.Server
	var last *failure
	for len(tried) < maxAttempts {
		slot, err := x.acquire(ctx, tried)
		if err != nil {
			return nil, x.giveUp(ctx, last, err)
		}
		tried = append(tried, slot.Server)
		psevent.Routed.Log(x.gate.Logger, x.id, x.workspaceName(), x.routeName(), slot.Server.Name, slot.Server.Domain.Name, len(tried), string(slot.Reason))
		answer, fail := x.try(ctx, slot)
		if fail == nil {
			return &attempt{response: answer, slot: slot}, nil
		}
		slot.Release()
		last = fail
		if !x.mayRetry(ctx, fail) {
			break
		}
	}
	return nil, x.giveUp(ctx, last, nil)
}

func (x *exchange) acquire(ctx context.Context, tried []*psplan.Server) (*pspool.Slot, error) {
	ctx, cancel := context.WithTimeout(ctx, maxQueueWait)
	defer cancel()
	self, _ := x.plan.VM(x.gate.Self)
	r := psroute.Request{Route: x.route, Workspace: x.workspace, Home: x.home, Tried: tried}
	if self != nil {
		r.Domain = self.Domain
	}
	return x.gate.Slots.Acquire(ctx, r)
}

// try sends the request to one server. A shed request counts as a failure that did not run.
func (x *exchange) try(ctx context.Context, slot *pspool.Slot) (*http.Response, *failure) {
	ctx = slot.Bind(ctx)
	began := time.Now()
	result, err := x.gate.Transports.Send(ctx, slot.Server.Address, maxConnectionsPerServer, x.outgoing(ctx, slot.Server))
	o := Observation{Server: slot.Server, Duration: time.Since(began), Err: err}
	if err == nil {
		o.Status, o.Header = result.Response.StatusCode, result.Response.Header
	}
	x.gate.Observer.Observe(o)
	if err != nil {
		return nil, &failure{err: err, sent: result.Sent}
	}
	if o.Status == http.StatusServiceUnavailable && o.Header.Get(headerNotRun) != "" {
		_ = result.Response.Body.Close()
		return nil, &failure{err: errShed}
	}
	return result.Response, nil
}

var errShed = psproblem.New(http.StatusServiceUnavailable, "shed", "the backend server shed the request")

// mayRetry allows another server where the request certainly did not run or is idempotent.
func (x *exchange) mayRetry(ctx context.Context, f *failure) bool {
	if ctx.Err() != nil {
		return false
	}
	if x.route.Kind == psdoc.KindUpload {
		return !f.sent && f.err != errShed
	}
	return !f.sent || x.route.Kind == psdoc.KindLookup
}

// giveUp makes the final refusal out of the last failure and the refusal of a slot.
func (x *exchange) giveUp(ctx context.Context, last *failure, refused error) error {
	switch {
	case last == nil && refused != nil:
		return refused
	case last == nil || !last.sent:
		return psproblem.New(http.StatusServiceUnavailable, "noCapacity", "no backend server took the request").After(time.Second)
	case ctx.Err() != nil:
		return psproblem.Unknown(http.StatusGatewayTimeout, "timeout", "no backend server answered in time")
	}
	return psproblem.Unknown(http.StatusBadGateway, "badGateway", "the backend server's answer did not arrive")
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
	}
	out.Header.Set(headerRequestID, x.id)
	out.Header.Set(headerVia, "1.1 "+string(x.gate.Self))
	if x.workspace != nil {
		out.Header.Set(headerWorkspace, string(x.workspace.Name))
	}
	if d, found := ctx.Deadline(); found {
		out.Header.Set(headerDeadline, strconv.FormatInt(time.Until(d).Milliseconds(), 10))
	}
	if x.route.Kind == psdoc.KindUpload {
		out.Body = x.request.Body
		return out
	}
	out.ContentLength = int64(len(x.body))
	// A reader without GetBody keeps the transport from repeating the request by itself.
	out.Body = io.NopCloser(bytes.NewReader(x.body))
	return out
}
