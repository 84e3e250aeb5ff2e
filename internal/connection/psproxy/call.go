package psproxy

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/psaccess"
	"persimmonstep/internal/connection/psbody"
	"persimmonstep/internal/connection/psforward"
	"persimmonstep/internal/connection/psresponse"
	"persimmonstep/internal/process/pssnapshot"
	"persimmonstep/internal/process/pstoken"
	"persimmonstep/internal/request/psadmission"
	"persimmonstep/internal/request/psblocklist"
	"persimmonstep/internal/request/psestimate"
	"persimmonstep/internal/request/psselect"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/platform/psheader"
)

const (
	// defaultTimeout applies to callers that send no deadline, on a route without a timeout.
	defaultTimeout = 30 * time.Second
	// notReadyRetryAfter is the Retry-After time of a VM that has no configuration yet, or no memory for a
	// request body.
	notReadyRetryAfter = 500 * time.Millisecond
	// tokenRetryAfter is the Retry-After time if no VM that owns the workspace's rate-limit tokens responds.
	tokenRetryAfter = 300 * time.Millisecond
	// blockedRetryAfter is the Retry-After time of a request that crashes servers.
	blockedRetryAfter = 20 * time.Second
)

// call is the state of one request of a caller.
type call struct {
	proxy     *Proxy
	writer    http.ResponseWriter
	request   *http.Request
	arrivedAt time.Time
	headers   psheader.Request
	snapshot  *pssnapshot.Snapshot

	route     *psconfig.Route
	workspace *psconfig.Workspace
	body      psbody.Body
	// deadline is when the final response is due.
	deadline time.Time
	// caller is the estimate, from the caller's remaining time, of how long it has been retrying.
	caller psestimate.Caller
	// cancel ends the work for the call. It runs only after the response was forwarded, because a long response
	// is read from its server until then.
	cancel      context.CancelFunc
	object      uint64
	fingerprint psblocklist.Fingerprint
	attempts    []psaccess.Attempt
	// basis is what a rejection for lack of slots was decided by; nil without one.
	basis *psadmission.Basis
	// beyondUsual states that the call exceeds the usual amount of its workspace.
	beyondUsual bool
	// origin is where the call was forwarded from; zero for a call of a caller. helper is the VM through which this VM
	// has forwarded the call; empty if it hasn't.
	origin psforward.Origin
	helper string
}

// outcome is how a call ends: [rejected], [failed], [canceled] or [answered].
type outcome interface{ outcome() }

// rejected calls were not executed and never will be.
type rejected struct {
	status int
	reason string
	// retryAfter is the time after which the caller should retry; 0 sends no Retry-After header.
	retryAfter time.Duration
}

// failed calls may have been executed.
type failed struct {
	status int
	reason string
}

// canceled calls have lost their caller, which disconnected.
type canceled struct{}

// answered calls have the response of a backend server.
type answered struct {
	response *psresponse.Response
}

func (rejected) outcome() {}
func (failed) outcome()   {}
func (canceled) outcome() {}
func (answered) outcome() {}

// serve processes the call up to its outcome, which is not yet written to the caller.
func (c *call) serve() outcome {
	if !c.snapshot.CanServe() {
		return rejected{http.StatusServiceUnavailable, "notReady", notReadyRetryAfter}
	}
	if o := c.matchRoute(); o != nil {
		return o
	}
	c.setDeadline()
	if o := c.readBody(); o != nil {
		return o
	}
	var ctx context.Context
	ctx, c.cancel = c.withDeadline()
	if o := c.checkRateLimit(ctx); o != nil {
		return o
	}
	c.object = psselect.ObjectOf(c.route, c.headers.Object, c.headers.ID)
	c.fingerprint = psblocklist.FingerprintOf(
		c.workspaceName(), c.request.Method, c.request.Host+c.request.URL.RequestURI(), c.body.Buffered)
	if c.proxy.blocklist.Blocked(c.fingerprint, c.arrivedAt) {
		return rejected{http.StatusServiceUnavailable, "crashesServers", blockedRetryAfter}
	}
	o := c.dispatch(ctx)
	if _, unsent := o.(rejected); unsent && len(c.attempts) == 0 && c.workspace != nil && !c.isForwarded() {
		c.proxy.options.Tokens.Return(c.snapshot, c.workspace)
	}
	return o
}

// isForwarded reports whether another VM has forwarded the call, which has counted it against the rate of its workspace.
func (c *call) isForwarded() bool { return c.origin.VM != "" }

// matchRoute finds the route and the workspace of the call.
func (c *call) matchRoute() outcome {
	index := c.snapshot.Index
	route, found := index.Route(hostOf(c.request), c.request.URL.Path)
	if !found {
		return rejected{http.StatusNotFound, "noRoute", 0}
	}
	c.route = route
	if route.Public || !index.HasWorkspaces() {
		return nil
	}
	c.workspace, found = index.WorkspaceByKey(c.headers.Key)
	if !found {
		return rejected{http.StatusUnauthorized, "unknownKey", 0}
	}
	return nil
}

// hostOf returns the host of a request without its port.
func hostOf(r *http.Request) string {
	if name, _, err := net.SplitHostPort(r.Host); err == nil {
		return name
	}
	return r.Host
}

func (c *call) setDeadline() {
	timeout := c.headers.Left
	if timeout <= 0 {
		timeout = defaultTimeout
	} else if !c.isForwarded() {
		c.caller = c.proxy.callerDeadlines.Classify(c.route.Name, timeout, c.arrivedAt)
	}
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	c.deadline = c.arrivedAt.Add(timeout)
}

// readBody buffers a short body, or the first part of a long one of unknown length. The caller must send it by the
// deadline, because memory is reserved for it.
func (c *call) readBody() outcome {
	limit := c.snapshot.Index.Configuration.Limits.MaxBodyBytes
	controller := http.NewResponseController(c.writer)
	// Only the response writers of tests do not support deadlines.
	_ = controller.SetReadDeadline(c.deadline)
	err := c.body.Read(c.writer, c.request, limit)
	switch {
	case err == nil:
		_ = controller.SetReadDeadline(time.Time{})
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return rejected{http.StatusRequestTimeout, "bodySlow", 0}
	case errors.Is(err, psbody.ErrTooLarge):
		return rejected{http.StatusRequestEntityTooLarge, "bodyTooLarge", 0}
	case errors.Is(err, psbody.ErrNoMemory):
		return rejected{http.StatusServiceUnavailable, "noMemory", notReadyRetryAfter}
	case c.request.Context().Err() != nil:
		return canceled{}
	}
	return rejected{http.StatusBadRequest, "bodyBroken", 0}
}

// checkRateLimit counts the call against the rate limit of its workspace.
func (c *call) checkRateLimit(ctx context.Context) outcome {
	if c.workspace == nil || c.isForwarded() {
		return nil
	}
	verdict := c.proxy.options.Tokens.Take(ctx, c.snapshot, c.workspace, c.caller.PriorWait > 0)
	c.proxy.options.Metrics.ObserveToken(verdict)
	switch v := verdict.(type) {
	case pstoken.OverLimit:
		remaining := c.remaining(c.proxy.options.Now())
		retryAfter := psadmission.RateRetryAfter(v.Wait, v.Excess, c.caller.DetectableWait, remaining, c.proxy.jitter.Next())
		return rejected{http.StatusTooManyRequests, "overRate", retryAfter}
	case pstoken.Unavailable:
		if c.request.Context().Err() != nil {
			return canceled{}
		}
		return rejected{http.StatusServiceUnavailable, "keeperSilent", tokenRetryAfter}
	}
	return nil
}

func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// remaining returns the time until the deadline.
func (c *call) remaining(now time.Time) time.Duration { return c.deadline.Sub(now) }
