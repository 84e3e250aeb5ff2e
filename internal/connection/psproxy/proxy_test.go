package psproxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"persimmonstep/internal/connection/psaccess"
	"persimmonstep/internal/connection/psbudget"
	"persimmonstep/internal/connection/pscaller"
	"persimmonstep/internal/connection/psforward"
	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/connection/psproxy"
	"persimmonstep/internal/connection/psserve"
	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/internal/process/psavailability"
	"persimmonstep/internal/process/pshealth"
	"persimmonstep/internal/process/pslease"
	"persimmonstep/internal/process/pslink"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psnode"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pssnapshot"
	"persimmonstep/internal/process/pstoken"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/platform/psheader"
	"persimmonstep/platform/psstandin"
)

// responder responds to one request on a connection. It returns false to close the connection.
type responder func(c net.Conn, r *http.Request) bool

// backend is a backend server whose responses are the exact bytes that a test writes.
type backend struct {
	listener net.Listener
	mutex    sync.Mutex
	requests []*http.Request
	closed   chan struct{}
	// ended gets a value when a responder closes its connection.
	ended chan struct{}
}

// startBackend starts a backend server that responds with a function.
func startBackend(t *testing.T, respond responder) *backend {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	b := &backend{listener: l, closed: make(chan struct{}, 16), ended: make(chan struct{}, 64)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c, respond)
		}
	}()
	return b
}

// startRawBackend starts a backend server whose function reads each request itself.
func startRawBackend(t *testing.T, serve func(c net.Conn, r *bufio.Reader) bool) *backend {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(c)
			for serve(c, reader) {
			}
			_ = c.Close()
		}
	}()
	return &backend{listener: l}
}

func (b *backend) serve(c net.Conn, respond responder) {
	defer c.Close() //nolint:errcheck // the test is over with it
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			b.closed <- struct{}{}
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		b.mutex.Lock()
		b.requests = append(b.requests, r)
		b.mutex.Unlock()
		if !respond(c, r) {
			b.ended <- struct{}{}
			return
		}
	}
}

func (b *backend) count() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.requests)
}

// respondOK sends a complete, signed response.
func respondOK(c net.Conn, r *http.Request) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+psstandin.SignedLines(psstandin.ReadForwardHeaders(r.Header).ID)+"Content-Length: 2\r\n\r\nok")
	return true
}

// respondNotExecuted reports that the request was not executed.
func respondNotExecuted(c net.Conn, r *http.Request) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n"+psstandin.NotRunLines(psstandin.ReadForwardHeaders(r.Header).ID)+"Content-Length: 0\r\n\r\n")
	return true
}

// closeWithoutResponse closes the connection instead of responding.
func closeWithoutResponse(net.Conn, *http.Request) bool { return false }

// fakeControl is the control plane of the proxy under test.
type fakeControl struct {
	snapshot *pssnapshot.Snapshot

	mutex         sync.Mutex
	announcements []psavailability.Announcement
}

func (c *fakeControl) Snapshot() *pssnapshot.Snapshot { return c.snapshot }

func (c *fakeControl) UpdateAvailability(s *psserver.Server, a psavailability.Announcement) {
	c.mutex.Lock()
	c.announcements = append(c.announcements, a)
	c.mutex.Unlock()
	if a.Leaving {
		s.MarkLeaving()
	}
	if a.Pause > 0 {
		s.Pause(a.Pause, time.Now())
	}
	if a.Limit.Named || a.Genuine {
		s.RecordLimit(a.Limit, a.SentAt, time.Now())
	}
}

func (c *fakeControl) ServerFailed(s *psserver.Server, _ pshealth.Reason, _ string) {
	s.MarkFailed(time.Now())
}

// unresponsivePeers are VMs that never grant tokens because they do not respond.
type unresponsivePeers struct{}

func (unresponsivePeers) RequestToken(context.Context, netip.AddrPort, psmessage.TokenRequest) (psmessage.TokenResponse, error) {
	return psmessage.TokenResponse{}, pspeer.ErrNoResponse
}

var testConfiguration = psconfig.Configuration{
	Version: 3,
	Services: []psconfig.Service{
		{Name: "prices", MaxConnections: 100, ColdStart: time.Second, ColdPerSecond: 10},
	},
	Routes: []psconfig.Route{
		testRoute("boards", "/boards/", psconfig.Idempotent), testRoute("orders", "/orders/", psconfig.AtMostOnce),
	},
	Workspaces: []psconfig.Workspace{
		{Name: "trays", Keys: []psconfig.Digest{psconfig.DigestOf("k-1")}},
		{Name: "slow", Keys: []psconfig.Digest{psconfig.DigestOf("k-2")}, Rate: 5, Burst: 1},
	},
	Limits: psconfig.Limits{MaxBodyBytes: 1 << 20},
}

func testRoute(name, prefix string, kind psconfig.Kind) psconfig.Route {
	return psconfig.Route{
		Name: name, Host: "eggs.test", Prefix: prefix, Kind: kind,
		Timeout: 400 * time.Millisecond, TargetLatency: 100 * time.Millisecond,
		Backends: []psconfig.Backend{{Service: "prices", Weight: 1}}, MaxAttempts: 2,
	}
}

// holding returns what a VM may use in a group that has all of a number of parts.
func holding(parts int, members ...psmessage.Identity) pslease.Holding {
	return pslease.Holding{Parts: parts, DecisiveParts: []int{parts}, Groups: []pslease.Group{{Members: members, Settled: true, Own: 1}}}
}

// startProxy starts a proxy in front of backend servers.
func startProxy(t *testing.T, backends ...*backend) (*httptest.Server, *fakeControl) {
	t.Helper()
	p, control := newProxy(t, prometheus.NewRegistry(), backends...)
	return serve(t, p, psbudget.New(64<<20, time.Now)), control
}

// newProxy returns a proxy in front of backend servers.
func newProxy(t *testing.T, r *prometheus.Registry, backends ...*backend) (*psproxy.Proxy, *fakeControl) {
	t.Helper()
	control := &fakeControl{snapshot: &pssnapshot.Snapshot{
		Index: psconfig.NewIndex(&testConfiguration), Servers: map[string][]*psserver.Server{},
		ServersReadAt: time.Now(), FleetSize: 1, Holding: holding(1, psmessage.Identity{VM: "vm-1"}),
	}}
	for i, v := range backends {
		entry := psserver.Entry{
			ID: fmt.Sprint("i-", i), Service: "prices", Slots: 5, FailureDomain: "north-a",
			Address: netip.MustParseAddrPort(v.listener.Addr().String()),
		}
		control.snapshot.Servers["prices"] = append(control.snapshot.Servers["prices"], psserver.New(entry, "north", time.Now()))
	}
	transport, clean := pstransport.New()
	t.Cleanup(clean)
	p := psproxy.New(psproxy.Options{
		Settings: &psnode.Settings{
			Name: "vm-1", FailureDomain: "north-a", Region: "north",
			Bounds: psnode.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50},
		},
		Transport: transport, Logger: hclog.NewNullLogger(), Metrics: psaccess.NewMetrics(r),
		Tokens: pstoken.New(pstoken.Options{Self: "vm-1", Client: unresponsivePeers{}, Logger: hclog.NewNullLogger(), Now: time.Now}), Now: time.Now,
		Links: pslink.New(transport, hclog.NewNullLogger(), time.Now), Forwarder: &psforward.Forwarder{Self: "vm-1", Transport: transport},
	})
	p.SetControlPlane(control)
	return p, control
}

// serve serves a handler as the listener of callers does.
func serve(t *testing.T, h http.Handler, b *psbudget.Budget) *httptest.Server {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	server := psserve.New(psserve.Options{
		Handler: h, Budget: b, MaxConnections: 100, Logger: hclog.NewNullLogger(),
		Limits: func() psconfig.Limits { return psconfig.Limits{} },
	})
	s.URL = "http://" + s.Listener.Addr().String()
	go func() { _ = server.Serve(s.Listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// request returns a caller's request with the key of the first workspace.
func request(t *testing.T, s *httptest.Server, method, path, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(context.Background(), method, s.URL+path, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	r.Host = "eggs.test"
	psstandin.WriteRequestHeaders(r.Header, callerHeaders)
	return r
}

// callerHeaders are the headers of a caller with the key of the first workspace.
var callerHeaders = psheader.Request{ID: "id-1", Object: "7", Left: time.Second, Key: "k-1"}

// do sends a request and returns the status, header and body of the response.
func do(t *testing.T, r *http.Request) (int, http.Header, string) {
	t.Helper()
	response, err := http.DefaultTransport.RoundTrip(r)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close() //nolint:errcheck // the body was read
	body, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	return response.StatusCode, response.Header, string(body)
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	b := startBackend(t, respondOK)
	s, _ := startProxy(t, b)
	r := request(t, s, http.MethodPost, "/orders/a%2Fb?x=%20y", "tray")
	psstandin.SpoofWorkspace(r.Header, "somebody")
	r.Header.Set("X-Own", "kept")
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "dropped")
	status, header, body := do(t, r)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, body, qt.Equals, "ok")
	qt.Assert(t, psstandin.IsSigned(header), qt.IsTrue)
	got := b.requests[0]
	qt.Assert(t, got.RequestURI, qt.Equals, "/orders/a%2Fb?x=%20y")
	qt.Assert(t, got.Host, qt.Equals, "eggs.test")
	qt.Assert(t, psstandin.ReadForwardHeaders(got.Header), qt.Equals,
		psstandin.ForwardHeaders{ID: "id-1", Server: "i-0", Workspace: "trays", Object: "7"})
	qt.Assert(t, got.Header.Get("X-Own"), qt.Equals, "kept")
	for _, name := range []string{"Authorization", "X-Hop", "Accept-Encoding-Added"} {
		qt.Check(t, got.Header.Get(name), qt.Equals, "", qt.Commentf("%s", name))
	}
}

func TestRejectedRequestReachesNoServer(t *testing.T) {
	b := startBackend(t, respondOK)
	for name, v := range map[string]struct {
		change func(r *http.Request, control *fakeControl)
		status int
	}{
		"unknown key":      {func(r *http.Request, _ *fakeControl) { r.Header.Set("Authorization", "Bearer other") }, 401},
		"malformed key":    {func(r *http.Request, _ *fakeControl) { r.Header.Set("Authorization", "§§") }, 401},
		"no key":           {func(r *http.Request, _ *fakeControl) { r.Header.Del("Authorization") }, 401},
		"no route":         {func(r *http.Request, _ *fakeControl) { r.URL.Path = "/nowhere/" }, 404},
		"other host":       {func(r *http.Request, _ *fakeControl) { r.Host = "carts.test" }, 404},
		"no configuration": {func(_ *http.Request, control *fakeControl) { control.snapshot = &pssnapshot.Snapshot{} }, 503},
		"no server":        {func(_ *http.Request, control *fakeControl) { control.snapshot.Servers = nil }, 503},
		"evacuated": {func(_ *http.Request, control *fakeControl) {
			control.snapshot.Evacuated = map[string]bool{"north-a": true}
		}, 503},
		"body too large": {func(r *http.Request, _ *fakeControl) { r.ContentLength = 2 << 20 }, 413},
		"token owners unresponsive": {func(r *http.Request, control *fakeControl) {
			r.Header.Set("Authorization", "Bearer k-2")
			control.snapshot.Holding = holding(2, psmessage.Identity{VM: "vm-2"})
		}, 503},
	} {
		t.Run(name, func(t *testing.T) {
			s, control := startProxy(t, b)
			r := request(t, s, http.MethodPost, "/orders/1", "")
			v.change(r, control)
			if r.ContentLength > 0 {
				r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", int(r.ContentLength))))
			}
			status, header, _ := do(t, r)
			qt.Assert(t, status, qt.Equals, v.status)
			qt.Assert(t, header.Get("Retry-After") != "", qt.Equals, status == 503)
			qt.Assert(t, b.count(), qt.Equals, 0)
		})
	}
}

func TestRateLimitedRequestGetsRetryAfter(t *testing.T) {
	s, _ := startProxy(t, startBackend(t, respondOK))
	var status int
	var header http.Header
	for range 3 {
		r := request(t, s, http.MethodGet, "/boards/1", "")
		r.Header.Set("Authorization", "Bearer k-2")
		status, header, _ = do(t, r)
	}
	qt.Assert(t, status, qt.Equals, http.StatusTooManyRequests)
	qt.Assert(t, header.Get("Retry-After"), qt.Not(qt.Equals), "")
}

func TestRetryByFailureAndRouteKind(t *testing.T) {
	for name, v := range map[string]struct {
		first  responder
		path   string
		status int
		// sent is the number of times that the request was sent to a server.
		sent int
	}{
		"lookup without response":        {closeWithoutResponse, "/boards/1", 200, 2},
		"order without response":         {closeWithoutResponse, "/orders/1", 502, 1},
		"order not executed":             {respondNotExecuted, "/orders/1", 200, 2},
		"order at another server":        {respondMisdirected, "/orders/1", 200, 2},
		"lookup with truncated response": {respondTruncated, "/boards/1", 200, 2},
		"order with truncated response":  {respondTruncated, "/orders/1", 502, 1},
		"lookup with unsigned response":  {respondUnsigned, "/boards/1", 200, 2},
		"order with unsigned response":   {respondUnsigned, "/orders/1", 502, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var mutex sync.Mutex
			received := 0
			// The server that gets the request first fails.
			respond := func(c net.Conn, r *http.Request) bool {
				mutex.Lock()
				received++
				first := received == 1
				mutex.Unlock()
				if first {
					return v.first(c, r)
				}
				return respondOK(c, r)
			}
			s, _ := startProxy(t, startBackend(t, respond), startBackend(t, respond))
			status, _, _ := do(t, request(t, s, http.MethodPost, v.path, "x"))
			qt.Assert(t, status, qt.Equals, v.status)
			mutex.Lock()
			defer mutex.Unlock()
			qt.Assert(t, received, qt.Equals, v.sent)
		})
	}
}

func respondMisdirected(c net.Conn, _ *http.Request) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
	return true
}

func respondTruncated(c net.Conn, _ *http.Request) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+psstandin.SignedLines("id-1")+"Content-Length: 9\r\n\r\nok")
	return false
}

func respondUnsigned(c net.Conn, _ *http.Request) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
	return true
}

func TestResponseToAnotherRequestIsDiscarded(t *testing.T) {
	s, _ := startProxy(t, startBackend(t, func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+psstandin.SignedLines("other")+"Content-Length: 5\r\n\r\nother")
		return respondOK(c, r)
	}))
	status, _, body := do(t, request(t, s, http.MethodPost, "/orders/1", "x"))
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, body, qt.Equals, "ok")
}

// TestEarlierRefusalIsTakenForTheResponse covers a server that writes an earlier refusal once more on a kept connection,
// before its response to an order. The refusal must not say that the order was not executed.
func TestEarlierRefusalIsTakenForTheResponse(t *testing.T) {
	for name, refusal := range map[string]string{
		"with the earlier id": "HTTP/1.1 503 Service Unavailable\r\n" + psstandin.NotRunLines("id-0") + "Content-Length: 0\r\n\r\n",
		"without an id":       "HTTP/1.1 503 Service Unavailable\r\n" + psstandin.NotRunLine() + "Content-Length: 4\r\n\r\nfull",
		"misdirected":         "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"in chunks":           "HTTP/1.1 503 Service Unavailable\r\n" + psstandin.NotRunLine() + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
		"after an early hint": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 429 Too Many Requests\r\n" + psstandin.NotRunLine() + "Content-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var connections sync.Map
			respond := func(c net.Conn, r *http.Request) bool {
				if _, reused := connections.LoadOrStore(c, true); reused {
					_, _ = io.WriteString(c, refusal)
				}
				return respondOK(c, r)
			}
			b, other := startBackend(t, respond), startBackend(t, respondOK)
			s, control := startProxy(t, b, other)
			control.snapshot.Servers["prices"] = control.snapshot.Servers["prices"][:1]
			status, _, _ := do(t, request(t, s, http.MethodPost, "/orders/1", "x"))
			qt.Assert(t, status, qt.Equals, http.StatusOK)
			status, _, body := do(t, request(t, s, http.MethodPost, "/orders/2", "x"))
			qt.Assert(t, status, qt.Equals, http.StatusOK)
			qt.Assert(t, body, qt.Equals, "ok")
			qt.Assert(t, b.count(), qt.Equals, 2)
			opened := 0
			connections.Range(func(any, any) bool {
				opened++
				return true
			})
			qt.Assert(t, opened, qt.Equals, 1)
			qt.Assert(t, other.count(), qt.Equals, 0)
		})
	}
}

// TestEarlierRefusalDuringUploadIsTakenForTheResponse covers an earlier refusal that a server writes on a kept connection
// while it still reads a long order.
func TestEarlierRefusalDuringUploadIsTakenForTheResponse(t *testing.T) {
	var connections sync.Map
	var refusals atomic.Int64
	b := startRawBackend(t, func(c net.Conn, r *bufio.Reader) bool {
		q, err := http.ReadRequest(r)
		if err != nil {
			return false
		}
		if _, kept := connections.LoadOrStore(c, true); kept {
			refusals.Add(1)
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n"+psstandin.NotRunLine()+"Content-Length: 0\r\n\r\n")
		}
		_, _ = io.Copy(io.Discard, q.Body)
		return respondOK(c, q)
	})
	s, _ := startProxy(t, b)
	// A response that arrives before the VM knows that the order was sent completely ends its connection, so that the next
	// order needs a new one.
	for range 10 {
		status, _, body := do(t, request(t, s, http.MethodPost, "/orders/1", strings.Repeat("x", 300<<10)))
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		qt.Assert(t, body, qt.Equals, "ok")
	}
	qt.Assert(t, refusals.Load() > 0, qt.IsTrue)
}

func TestResponseMayEndWithConnectionClose(t *testing.T) {
	s, _ := startProxy(t, startBackend(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+psstandin.SignedLines("id-1")+"\r\nto the end")
		return false
	}))
	status, _, body := do(t, request(t, s, http.MethodPost, "/orders/1", "x"))
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, body, qt.Equals, "to the end")
}

func TestRouteTimeoutGivesGatewayTimeout(t *testing.T) {
	b := startBackend(t, func(net.Conn, *http.Request) bool {
		time.Sleep(time.Second)
		return false
	})
	s, _ := startProxy(t, b)
	start := time.Now()
	status, _, _ := do(t, request(t, s, http.MethodPost, "/orders/1", "x"))
	qt.Assert(t, status, qt.Equals, http.StatusGatewayTimeout)
	qt.Assert(t, time.Since(start) < 900*time.Millisecond, qt.IsTrue)
}

func TestCallerDisconnectEndsExchange(t *testing.T) {
	reached := make(chan struct{})
	b := startBackend(t, func(c net.Conn, _ *http.Request) bool {
		close(reached)
		var one [1]byte
		_, _ = c.Read(one[:])
		return false
	})
	s, _ := startProxy(t, b)
	ctx, disconnect := context.WithCancel(context.Background())
	r := request(t, s, http.MethodPost, "/orders/1", "x").WithContext(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		response, err := http.DefaultTransport.RoundTrip(r)
		if err == nil {
			_ = response.Body.Close()
		}
	}()
	<-reached
	disconnect()
	<-ended
	qt.Assert(t, b.count(), qt.Equals, 1)
}

// TestAbandonedRequestsAreNotSent guards against load from requests that an overloaded VM starts only after their
// callers have closed their connections.
func TestAbandonedRequestsAreNotSent(t *testing.T) {
	const callers = 50
	b := startBackend(t, respondOK)
	s, _ := startProxy(t, b)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String()) //nolint:noctx // a test's connection
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, request(t, s, http.MethodGet, "/boards/1", "").Write(c), qt.IsNil)
		qt.Assert(t, c.Close(), qt.IsNil)
	}
	var ended atomic.Int32
	server := &http.Server{ConnContext: pscaller.WithConn, ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer ended.Add(1)
		s.Config.Handler.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	eventually(t, "all requests have ended", func() bool { return ended.Load() == callers })
	qt.Assert(t, b.count(), qt.Equals, 0)
}

func TestRequestThatCrashesServersIsRejected(t *testing.T) {
	// Each server stops accepting connections once it has received the request.
	var all []*backend
	for range 4 {
		var b *backend
		ready := make(chan struct{})
		b = startBackend(t, func(net.Conn, *http.Request) bool {
			<-ready
			_ = b.listener.Close()
			return false
		})
		close(ready)
		all = append(all, b)
	}
	s, _ := startProxy(t, all...)
	received := func() int {
		n := 0
		for _, b := range all {
			n += b.count()
		}
		return n
	}
	for range 3 {
		status, _, _ := do(t, request(t, s, http.MethodPost, "/orders/poison", "x"))
		qt.Assert(t, status, qt.Equals, http.StatusBadGateway)
	}
	qt.Assert(t, received(), qt.Equals, 3)
	status, header, _ := do(t, request(t, s, http.MethodPost, "/orders/poison", "x"))
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, header.Get("Retry-After"), qt.Not(qt.Equals), "")
	qt.Assert(t, received(), qt.Equals, 3)
}

// TestPipelinedRequestsEndWithConnectionOfDrainingVM covers a shutdown: of the requests that a caller has pipelined, all are
// answered, and only the last response closes the connection.
func TestPipelinedRequestsEndWithConnectionOfDrainingVM(t *testing.T) {
	arrived, release := make(chan bool, 3), make(chan struct{})
	b := startBackend(t, func(c net.Conn, r *http.Request) bool {
		arrived <- true
		<-release
		return respondOK(c, r)
	})
	s, _ := startProxy(t, b)
	c, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://")) //nolint:noctx // a test's connection
	qt.Assert(t, err, qt.IsNil)
	defer c.Close() //nolint:errcheck // nothing is left to do
	for range 3 {
		qt.Assert(t, request(t, s, http.MethodGet, "/boards/1", "").Write(c), qt.IsNil)
	}
	for range 3 {
		<-arrived
	}
	s.Config.Handler.(*psproxy.Proxy).Drain()
	close(release)
	reader := bufio.NewReader(c)
	for i := range 3 {
		response, err := http.ReadResponse(reader, nil)
		qt.Assert(t, err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		qt.Check(t, err, qt.IsNil)
		_ = response.Body.Close()
		qt.Check(t, response.StatusCode, qt.Equals, http.StatusOK)
		qt.Check(t, response.Close, qt.Equals, i == 2)
	}
}
