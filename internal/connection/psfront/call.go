package psfront

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/psanswer"
	"persimmonstep/internal/connection/psbody"
	"persimmonstep/internal/connection/pspeek"
	"persimmonstep/internal/process/pscontrol"
	"persimmonstep/internal/process/pstoken"
	"persimmonstep/internal/request/psadmit"
	"persimmonstep/internal/request/psestimate"
	"persimmonstep/internal/request/pspoison"
	"persimmonstep/internal/request/psselect"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/platform"
)

const (
	// defaultLeft is the time of a caller that names none, on a route without a timeout.
	defaultLeft = 30 * time.Second
	// unreadyAfter is when callers come back to a VM that knows no configuration yet.
	unreadyAfter = 500 * time.Millisecond
	// keeperAfter is when callers come back if no keeper of their workspace's tokens answers.
	keeperAfter = 300 * time.Millisecond
	// maxRateAfter bounds when callers over their rate come back, and minRateSpread is the
	// span over which they do at least.
	maxRateAfter  = 5 * time.Second
	minRateSpread = 100 * time.Millisecond
	// poisonAfter is when callers may repeat a request that crashes servers.
	poisonAfter = 20 * time.Second
)

// call is one request of a caller.
type call struct {
	gate     *Gate
	writer   http.ResponseWriter
	request  *http.Request
	arrived  time.Time
	headers  platform.Call
	snapshot *pscontrol.Snapshot

	route     *psconfig.Route
	workspace *psconfig.Workspace
	body      psbody.Body
	// deadline is when a final answer is due, and stop ends what runs for the call. A long answer
	// is read from its server while it is passed on.
	deadline time.Time
	// caller is what the caller's limit tells.
	caller      psestimate.Caller
	stop        context.CancelFunc
	object      uint64
	fingerprint pspoison.Fingerprint
	tries       []try
}

// outcome is how a call ends: [rejected], [failed], [left] or [answered].
type outcome interface{ outcome() }

// rejected calls were not run and never will be.
type rejected struct {
	status int
	reason string
	// after is when the caller should come back; 0 says nothing.
	after time.Duration
}

// failed calls may have run.
type failed struct {
	status int
	reason string
}

// left calls have no caller any more.
type left struct{}

// answered calls have a backend server's answer.
type answered struct {
	answer *psanswer.Answer
}

func (rejected) outcome() {}
func (failed) outcome()   {}
func (left) outcome()     {}
func (answered) outcome() {}

// serve decides about the call and carries it out.
func (c *call) serve() outcome {
	if !c.snapshot.CanServe() {
		return rejected{http.StatusServiceUnavailable, "notReady", unreadyAfter}
	}
	if o := c.match(); o != nil {
		return o
	}
	c.setDeadline()
	if o := c.readBody(); o != nil {
		return o
	}
	var ctx context.Context
	ctx, c.stop = c.until()
	if o := c.checkRate(ctx); o != nil {
		return o
	}
	c.object = psselect.ObjectOf(c.route, c.headers.Object, c.headers.ID)
	c.fingerprint = pspoison.FingerprintOf(c.workspaceName(), c.request.Method, c.request.Host+c.request.URL.RequestURI(), c.body.Held)
	if c.gate.poison.Held(c.fingerprint, c.arrived) {
		return rejected{http.StatusServiceUnavailable, "crashesServers", poisonAfter}
	}
	o := c.dispatch(ctx)
	if _, unsent := o.(rejected); unsent && len(c.tries) == 0 && c.workspace != nil {
		c.gate.options.Tokens.Return(c.snapshot, c.workspace)
	}
	return o
}

// match finds the route and the workspace.
func (c *call) match() outcome {
	x := c.snapshot.Index
	host := c.request.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	r, found := x.Route(host, c.request.URL.Path)
	if !found {
		return rejected{http.StatusNotFound, "noRoute", 0}
	}
	c.route = r
	if r.Public || !x.HasWorkspaces() {
		return nil
	}
	c.workspace, found = x.Workspace(c.headers.Key)
	if !found {
		return rejected{http.StatusUnauthorized, "unknownKey", 0}
	}
	return nil
}

func (c *call) setDeadline() {
	limit := c.headers.Left
	if limit <= 0 {
		limit = defaultLeft
	} else {
		c.caller = c.gate.limits.Caller(c.route.Name, limit, c.gate.calm(c.arrived))
	}
	if c.route.Timeout > 0 {
		limit = min(limit, c.route.Timeout)
	}
	c.deadline = c.arrived.Add(limit)
}

// readBody holds the body of the call, or the beginning of a long one. The caller must bring it by
// the deadline, because memory is set aside for it.
func (c *call) readBody() outcome {
	limit := c.snapshot.Index.Configuration.Limits.MaxBodyBytes
	control := http.NewResponseController(c.writer)
	// A writer without deadlines is one of a test.
	_ = control.SetReadDeadline(c.deadline)
	err := c.body.Read(c.writer, c.request, limit, &c.gate.memory)
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return rejected{http.StatusRequestTimeout, "bodySlow", 0}
	case errors.Is(err, psbody.ErrTooLarge):
		return rejected{http.StatusRequestEntityTooLarge, "bodyTooLarge", 0}
	case errors.Is(err, psbody.ErrNoMemory):
		return rejected{http.StatusServiceUnavailable, "noMemory", unreadyAfter}
	case c.request.Context().Err() != nil:
		return left{}
	}
	return rejected{http.StatusBadRequest, "bodyBroken", 0}
}

// checkRate counts the call against its workspace's rate.
func (c *call) checkRate(ctx context.Context) outcome {
	if c.workspace == nil {
		return nil
	}
	tokens := c.gate.options.Metrics.tokens
	switch v := c.gate.options.Tokens.Take(ctx, c.snapshot, c.workspace, c.caller.Waited > 0).(type) {
	case pstoken.Granted:
		tokens.WithLabelValues("granted").Inc()
	case pstoken.Over:
		tokens.WithLabelValues("over").Inc()
		return rejected{http.StatusTooManyRequests, "overRate", c.rateAfter(v)}
	case pstoken.Unasked:
		tokens.WithLabelValues("unasked").Inc()
		if c.request.Context().Err() != nil {
			return left{}
		}
		return rejected{http.StatusServiceUnavailable, "keeperSilent", keeperAfter}
	}
	return nil
}

// rateAfter returns when a caller over its workspace's rate should come back. While the workspace asks
// for more than its rate for good, that is once it can be told from callers that are still in time.
func (c *call) rateAfter(v pstoken.Over) time.Duration {
	left := c.left(c.gate.options.Now())
	if v.Excess && c.caller.Apart > 0 {
		return psadmit.ComeBack(c.caller.Apart, left/3, c.gate.spread())
	}
	return min(maxRateAfter, v.Wait+time.Duration(c.gate.spread()*float64(v.Wait+minRateSpread)))
}

func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// callersConn is the key of the caller's connection in a request's context.
type callersConn struct{}

// WithConn puts a caller's connection into the context of its requests. A server of the gate needs it
// as its ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callersConn{}, c)
}

// callerLeft reports whether the caller has closed its connection. The server notices that only some
// time after the request has begun, and a VM with more to do than it can may come to a request long
// after its caller gave up.
func (c *call) callerLeft() bool {
	if c.request.Context().Err() != nil {
		return true
	}
	conn := c.conn()
	return conn != nil && pspeek.At(conn) == pspeek.Closed
}

// conn returns the caller's connection, or nil if it isn't known.
func (c *call) conn() net.Conn {
	conn, _ := c.request.Context().Value(callersConn{}).(net.Conn)
	return conn
}

// left returns the time until a final answer is due.
func (c *call) left(now time.Time) time.Duration { return c.deadline.Sub(now) }
