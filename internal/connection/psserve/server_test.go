package psserve_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/connection/psbudget"
	"persimmonstep/internal/connection/pscaller"
	"persimmonstep/internal/connection/pslistener"
	"persimmonstep/internal/connection/psserve"
	"persimmonstep/internal/version/psconfig"
)

// handler is a handler whose requests for paths under /safe/ may overlap.
type handler func(w http.ResponseWriter, r *http.Request)

func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h(w, r) }

// MayOverlap implements [psserve.Overlapper].
func (handler) MayOverlap(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/safe/") }

// served is a server under test.
type served struct {
	server  *psserve.Server
	budget  *psbudget.Budget
	address string
	ended   chan error
}

func start(t testing.TB, h handler, limits psconfig.Limits, connections int) *served {
	t.Helper()
	return startLimited(t, h, func() psconfig.Limits { return limits }, connections)
}

// startLimited starts a server with limits that change.
func startLimited(t testing.TB, h handler, limits func() psconfig.Limits, connections int) *served {
	t.Helper()
	l, err := pslistener.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
	qt.Assert(t, err, qt.IsNil)
	s := &served{budget: psbudget.New(8<<20, time.Now), address: l.Addr().String(), ended: make(chan error, 1)}
	s.server = psserve.New(psserve.Options{
		Name: "test", Handler: h, Budget: s.budget, MaxConnections: connections, Limits: limits,
		Logger: hclog.NewNullLogger(),
	})
	go func() { s.ended <- s.server.Serve(l) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

// client is a connection of a caller.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (s *served) dial(t testing.TB) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.address) //nolint:noctx // a test's connection
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{c, bufio.NewReader(c)}
}

func (c *client) send(t testing.TB, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	qt.Assert(t, err, qt.IsNil)
}

// receive returns the next response with its body.
func (c *client) receive(t testing.TB, method string) (*http.Response, string) {
	t.Helper()
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	qt.Assert(t, err, qt.IsNil)
	defer r.Body.Close() //nolint:errcheck // the body was read
	body, err := io.ReadAll(r.Body)
	qt.Assert(t, err, qt.IsNil)
	return r, string(body)
}

// ends checks that the connection has ended, and that nothing arrives before.
func (c *client) ends(t testing.TB) {
	t.Helper()
	n, _ := c.reader.Read(make([]byte, 1))
	qt.Check(t, n, qt.Equals, 0)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("condition not met within 10 s: %s", what)
}

// TestResponsesAreFramed covers each way in which the end of a response is marked, for both versions of the protocol.
func TestResponsesAreFramed(t *testing.T) {
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/short":
			_, _ = io.WriteString(w, "short")
		case "/long":
			_, _ = io.WriteString(w, strings.Repeat("x", 100000))
		case "/flushed":
			_, _ = io.WriteString(w, "a")
			qt.Check(t, http.NewResponseController(w).Flush(), qt.IsNil)
			_, _ = io.WriteString(w, "b")
		case "/declared":
			w.Header().Set("Content-Length", "3")
			_, _ = io.WriteString(w, "abc")
		case "/empty":
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusNoContent)
		case "/same":
			w.Header().Set("Content-Length", "5")
			w.WriteHeader(http.StatusNotModified)
		}
	}, psconfig.Limits{}, 10)
	for _, v := range []struct {
		method, path, protocol, body string
		status                       int
		keeps                        bool
	}{
		{"GET", "/short", "1.1", "short", 200, true},
		{"GET", "/long", "1.1", strings.Repeat("x", 100000), 200, true},
		{"GET", "/flushed", "1.1", "ab", 200, true},
		{"GET", "/declared", "1.1", "abc", 200, true},
		{"GET", "/nothing", "1.1", "", 200, true},
		{"GET", "/empty", "1.1", "", 204, true},
		{"GET", "/same", "1.1", "", 304, true},
		{"HEAD", "/declared", "1.1", "", 200, true},
		{"HEAD", "/long", "1.1", "", 200, true},
		{"GET", "/short", "1.0", "short", 200, true},
		{"GET", "/declared", "1.0", "abc", 200, true},
		{"GET", "/long", "1.0", strings.Repeat("x", 100000), 200, false},
	} {
		c := s.dial(t)
		for range 2 {
			c.send(t, fmt.Sprintf("%s %s HTTP/%s\r\nHost: a\r\nConnection: keep-alive\r\n\r\n", v.method, v.path, v.protocol))
			r, body := c.receive(t, v.method)
			qt.Check(t, body, qt.Equals, v.body, qt.Commentf("%+v", v))
			qt.Check(t, r.StatusCode, qt.Equals, v.status)
			if v.status != http.StatusOK {
				qt.Check(t, r.Header.Get("Content-Length"), qt.Equals, "")
			}
			qt.Check(t, r.Close, qt.Equals, !v.keeps, qt.Commentf("%+v", v))
			if !v.keeps {
				break
			}
		}
		if !v.keeps {
			c.ends(t)
		}
	}
}

// TestBodies covers bodies that are read, expected, left unread and broken off.
func TestBodies(t *testing.T) {
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/early" {
			pscaller.RespondEarly(w)
			_, _ = io.WriteString(w, "early")
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 10))
		if err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		_, _ = w.Write(body)
	}, psconfig.Limits{}, 10)
	c := s.dial(t)
	c.send(t, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcPOST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n")
	_, body := c.receive(t, "POST")
	qt.Check(t, body, qt.Equals, "abc")
	_, body = c.receive(t, "POST")
	qt.Check(t, body, qt.Equals, "de")
	c.send(t, "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	r, _ := c.receive(t, "POST")
	qt.Check(t, r.StatusCode, qt.Equals, http.StatusContinue)
	c.send(t, "fgh")
	_, body = c.receive(t, "POST")
	qt.Check(t, body, qt.Equals, "fgh")
	c.send(t, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 100000))
	r, _ = c.receive(t, "POST")
	qt.Check(t, r.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
	c.ends(t)
	c = s.dial(t)
	c.send(t, "POST /early HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 500000))
	r, body = c.receive(t, "POST")
	qt.Check(t, body, qt.Equals, "early")
	qt.Check(t, r.Close, qt.IsTrue)
	c.ends(t)
	c = s.dial(t)
	c.send(t, "POST / HTTP/1.1\r\nHost: a\r\nExpect: other\r\nContent-Length: 3\r\n\r\n")
	r, _ = c.receive(t, "POST")
	qt.Check(t, r.StatusCode, qt.Equals, http.StatusExpectationFailed)
}

// TestHeadsAreRefused covers heads that end the connection, each with its status.
func TestHeadsAreRefused(t *testing.T) {
	s := start(t, func(http.ResponseWriter, *http.Request) { t.Error("a refused request ran") },
		psconfig.Limits{MaxHeaderBytes: 1000, HeaderTimeout: 300 * time.Millisecond}, 50)
	for text, want := range map[string]int{
		"GET / HTTP/1.1\r\nHost: a\r\na: " + strings.Repeat("x", 1000) + "\r\n\r\n": 431,
		strings.Repeat("\r\n", 100):                          400,
		"GET / HTTP/1.1\r\n\r\n":                             400,
		"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n":       400,
		"GET / HTTP/1.1\r\nHost: a b\r\n\r\n":                400,
		"GET / HTTP/1.1\r\nHost: a\r\na b: c\r\n\r\n":        400,
		"GET / HTTP/1.1\r\nHost: a\r\na : c\r\n\r\n":         400,
		"GET / HTTP/1.1\r\nHost: a\r\na: \x01\r\n\r\n":       400,
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n":                   400,
		"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1":     408,
		"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: x\n\n": 400,
	} {
		c := s.dial(t)
		c.send(t, text)
		r, _ := c.receive(t, "GET")
		qt.Check(t, r.StatusCode, qt.Equals, want, qt.Commentf("%q", text))
		qt.Check(t, r.Close, qt.IsTrue)
		c.ends(t)
	}
}

// TestIdleConnectionIsClosed covers connections that stay idle longer than the limit of a new configuration, before and
// after a request. They were opened before it.
func TestIdleConnectionIsClosed(t *testing.T) {
	var limits atomic.Pointer[psconfig.Limits]
	limits.Store(&psconfig.Limits{})
	s := startLimited(t, func(http.ResponseWriter, *http.Request) {}, func() psconfig.Limits { return *limits.Load() }, 10)
	unused, used := s.dial(t), s.dial(t)
	used.send(t, get("/"))
	_, _ = used.receive(t, "GET")
	limits.Store(&psconfig.Limits{IdleTimeout: 100 * time.Millisecond})
	unused.ends(t)
	used.ends(t)
}

// TestConnectionIdleLongestMakesRoom covers more connections than the limit.
func TestConnectionIdleLongestMakesRoom(t *testing.T) {
	block := make(chan struct{})
	s := start(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/block" {
			<-block
		}
	}, psconfig.Limits{}, 3)
	running := s.dial(t)
	running.send(t, get("/block"))
	time.Sleep(20 * time.Millisecond)
	first, second := s.dial(t), s.dial(t)
	for _, c := range []*client{first, second, first} {
		c.send(t, get("/"))
		_, _ = c.receive(t, "GET")
		time.Sleep(20 * time.Millisecond)
	}
	third := s.dial(t)
	third.send(t, get("/"))
	_, _ = third.receive(t, "GET")
	second.ends(t)
	first.send(t, get("/"))
	_, _ = first.receive(t, "GET")
	close(block)
	_, _ = running.receive(t, "GET")
}

// TestPipelinedRequestsRunSideBySide covers head-of-line blocking: requests behind a slow one run at once, and responses
// come in the order of the requests. A request that may run only once waits, and what is behind it.
func TestPipelinedRequestsRunSideBySide(t *testing.T) {
	var mutex sync.Mutex
	var running, most int
	var order []string
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		mutex.Lock()
		running++
		most = max(most, running)
		order = append(order, r.URL.Path)
		if strings.HasPrefix(r.URL.Path, "/once/") {
			qt.Check(t, running, qt.Equals, 1)
			now := time.Now()
			qt.Check(t, now.Sub(pscaller.ArrivedAt(r, now)) > 0, qt.Equals, r.URL.Path == "/once/4" || r.URL.Path == "/once/6")
		}
		mutex.Unlock()
		time.Sleep(50 * time.Millisecond)
		mutex.Lock()
		running--
		mutex.Unlock()
		_, _ = io.WriteString(w, r.URL.Path)
	}, psconfig.Limits{}, 3)
	c := s.dial(t)
	paths := []string{"/safe/1", "/safe/2", "/safe/3", "/once/4", "/safe/5", "/once/6"}
	text := ""
	for _, p := range paths {
		text += get(p)
	}
	c.send(t, text)
	for _, p := range paths {
		_, body := c.receive(t, "GET")
		qt.Check(t, body, qt.Equals, p)
	}
	qt.Check(t, most, qt.Equals, 3)
	qt.Check(t, order[3:], qt.DeepEquals, paths[3:])
}

// TestClosingResponseEndsPipeline covers a response that closes the connection: what has begun behind it is cancelled, gets
// no response, and nothing else begins.
func TestClosingResponseEndsPipeline(t *testing.T) {
	cancelled := make(chan string, 10)
	begun := make(chan struct{})
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/safe/close" {
			<-begun
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, "closed")
			return
		}
		close(begun)
		<-r.Context().Done()
		cancelled <- r.URL.Path
		panic(http.ErrAbortHandler)
	}, psconfig.Limits{}, 3)
	c := s.dial(t)
	c.send(t, get("/safe/close")+get("/safe/behind")+get("/once/never"))
	r, body := c.receive(t, "GET")
	qt.Check(t, body, qt.Equals, "closed")
	qt.Check(t, r.Close, qt.IsTrue)
	c.ends(t)
	qt.Check(t, <-cancelled, qt.Equals, "/safe/behind")
	qt.Check(t, cancelled, qt.HasLen, 0)
}

// TestDisconnectCancelsAllRequests covers a caller that leaves, also while further requests of it aren't read.
func TestDisconnectCancelsAllRequests(t *testing.T) {
	for _, text := range []string{get("/once/1"), get("/once/1") + get("/once/2"), get("/safe/1") + get("/safe/2") + "GET /"} {
		begun, cancelled := make(chan bool, 10), make(chan time.Time, 10)
		s := start(t, func(_ http.ResponseWriter, r *http.Request) {
			begun <- true
			<-r.Context().Done()
			cancelled <- time.Now()
		}, psconfig.Limits{}, 3)
		c := s.dial(t)
		c.send(t, text)
		for range max(1, strings.Count(text, "/safe/")) {
			<-begun
		}
		_ = c.Close()
		for range max(1, strings.Count(text, "/safe/")) {
			<-cancelled
		}
		eventually(t, "the budget is empty", func() bool { u := s.budget.Usage(); return u.Used == 0 && u.Accounts == 0 })
		qt.Check(t, begun, qt.HasLen, 0, qt.Commentf("a request began after its caller had left"))
	}
}

// TestBrokenResponseResetsConnection covers a handler that fails in the middle of a response without a length: an HTTP/1.0
// caller must not take it for complete. Before the first byte, the connection just closes.
func TestBrokenResponseResetsConnection(t *testing.T) {
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/middle" {
			_, _ = io.WriteString(w, strings.Repeat("x", 10000))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
		}
		panic(http.ErrAbortHandler)
	}, psconfig.Limits{}, 3)
	for _, protocol := range []string{"1.0", "1.1"} {
		c := s.dial(t)
		c.send(t, "GET /middle HTTP/"+protocol+"\r\nHost: a\r\n\r\n")
		r, err := http.ReadResponse(c.reader, nil)
		qt.Assert(t, err, qt.IsNil)
		_, err = io.ReadAll(r.Body)
		qt.Check(t, err, qt.IsNotNil)
		_ = r.Body.Close()
	}
	c := s.dial(t)
	c.send(t, get("/before"))
	c.ends(t)
}

// TestShutdownServesWhatWasRead covers a planned shutdown: requests that were read are answered, the last response of
// a connection closes it, idle connections end, and new ones are refused.
func TestShutdownServesWhatWasRead(t *testing.T) {
	block := make(chan struct{})
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		<-block
		_, _ = io.WriteString(w, r.URL.Path)
	}, psconfig.Limits{}, 10)
	idle, c := s.dial(t), s.dial(t)
	c.send(t, get("/safe/1")+get("/safe/2")+get("/safe/3"))
	time.Sleep(100 * time.Millisecond)
	opened := s.dial(t)
	stopped := make(chan error)
	go func() { stopped <- s.server.Shutdown(context.Background()) }()
	opened.send(t, get("/safe/new"))
	qt.Check(t, <-s.ended, qt.Equals, http.ErrServerClosed)
	close(block)
	for i := range 3 {
		r, body := c.receive(t, "GET")
		qt.Check(t, body, qt.Equals, fmt.Sprint("/safe/", i+1))
		qt.Check(t, r.Close, qt.Equals, i == 2)
	}
	_, body := opened.receive(t, "GET")
	qt.Check(t, body, qt.Equals, "/safe/new")
	for _, v := range []*client{c, opened, idle} {
		v.ends(t)
		_ = v.Close()
	}
	qt.Check(t, <-stopped, qt.IsNil)
	_, err := net.Dial("tcp", s.address) //nolint:noctx // a test's connection
	qt.Check(t, err, qt.IsNotNil)
}

// TestSlowReadersAreEvicted covers callers that don't read long responses: they are reset once the budget has no room, and
// a caller that reads gets its response.
func TestSlowReadersAreEvicted(t *testing.T) {
	long := strings.Repeat("x", 5<<20)
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		a := psbudget.Of(r.Context())
		if !a.Take(int64(len(long))) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer a.Return(int64(len(long)))
		w.Header().Set("Content-Length", fmt.Sprint(len(long)))
		_, _ = io.WriteString(w, long)
	}, psconfig.Limits{}, 10)
	stuck := s.dial(t)
	qt.Assert(t, stuck.Conn.(*net.TCPConn).SetReadBuffer(4096), qt.IsNil)
	stuck.send(t, get("/"))
	eventually(t, "the response is held", func() bool { return s.budget.Usage().Used >= int64(len(long)) })
	eventually(t, "a caller that reads is served", func() bool {
		c := s.dial(t)
		c.send(t, get("/"))
		r, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return false
		}
		defer r.Body.Close() //nolint:errcheck // the body was read
		n, _ := io.Copy(io.Discard, r.Body)
		return int(n) == len(long)
	})
	qt.Check(t, s.budget.Usage().Evicted, qt.Equals, int64(1))
}

// TestShutdownResetsNoNewConnection covers callers that open connections all the time while the server shuts down: each
// request on a connection that could be opened is answered.
func TestShutdownResetsNoNewConnection(t *testing.T) {
	for range 5 {
		s := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }, psconfig.Limits{}, 100)
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				for {
					c, err := net.DialTimeout("tcp", s.address, 300*time.Millisecond) //nolint:noctx // a test's connection
					if err != nil {
						return
					}
					_, err = io.WriteString(c, get("/"))
					qt.Check(t, err, qt.IsNil)
					_, err = http.ReadResponse(bufio.NewReader(c), nil) //nolint:bodyclose // the connection is closed
					qt.Check(t, err, qt.IsNil)
					_ = c.Close()
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
		qt.Check(t, s.server.Shutdown(context.Background()), qt.IsNil)
		callers.Wait()
	}
}
