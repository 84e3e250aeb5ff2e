package psserve_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/connection/psbudget"
	"persimmonstep/internal/connection/pslistener"
	"persimmonstep/internal/connection/psserve"
	"persimmonstep/internal/version/psconfig"
)

// TestSlowHeadBehindEmptyLinesIsCutOff covers a caller that sends empty lines and then a head that doesn't end, or nothing: the
// connection must not stay open. The empty lines look like the end of a head.
func TestSlowHeadBehindEmptyLinesIsCutOff(t *testing.T) {
	s := start(t, func(http.ResponseWriter, *http.Request) { t.Error("an incomplete request ran") },
		psconfig.Limits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 100 * time.Millisecond}, 10)
	for _, text := range []string{"\r\n\r\n", "\n\n\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n"} {
		c := s.dial(t)
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		c.send(t, text)
		r, _ := c.receive(t, "GET")
		qt.Check(t, r.StatusCode, qt.Equals, http.StatusRequestTimeout)
		c.ends(t)
	}
}

// TestUnreadResponseAheadOfRequestIsEvicted covers a caller that reads nothing and sends a further request behind a long
// response. Its connection must count as blocked: it makes room for other connections.
func TestUnreadResponseAheadOfRequestIsEvicted(t *testing.T) {
	piece := strings.Repeat("x", 64<<10)
	var begun, written atomic.Int32
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/safe/long" {
			begun.Add(1)
			for range 80 {
				if _, err := io.WriteString(w, piece); err != nil {
					return
				}
				written.Add(1)
			}
		}
	}, psconfig.Limits{}, 2)
	for range 2 {
		stuck := s.dial(t)
		qt.Assert(t, stuck.Conn.(*net.TCPConn).SetReadBuffer(4096), qt.IsNil)
		stuck.send(t, get("/safe/long"))
		eventually(t, "the response is stuck", func() bool {
			before := written.Load()
			time.Sleep(300 * time.Millisecond)
			return before > 0 && written.Load() == before
		})
		stuck.send(t, get("/safe/long"))
	}
	eventually(t, "all requests have begun", func() bool { return begun.Load() == 4 })
	eventually(t, "another caller is served", func() bool {
		c := s.dial(t)
		_, _ = io.WriteString(c, get("/safe/short"))
		r, err := http.ReadResponse(c.reader, nil) //nolint:bodyclose // it is empty
		return err == nil && r.StatusCode == http.StatusOK
	})
}

// TestIdleConnectionHoldsNothing covers a connection that is idle after a long head: the larger buffer for it is given back.
func TestIdleConnectionHoldsNothing(t *testing.T) {
	s := start(t, func(http.ResponseWriter, *http.Request) {}, psconfig.Limits{}, 10)
	c := s.dial(t)
	c.send(t, "GET / HTTP/1.1\r\nHost: a\r\na: "+strings.Repeat("x", 16000)+"\r\n\r\n")
	_, _ = c.receive(t, "GET")
	eventually(t, "nothing is held", func() bool { u := s.budget.Usage(); return u.Used == 0 && u.Accounts == 1 })
	c.send(t, get("/"))
	_, _ = c.receive(t, "GET")
}

// TestPipelineWithoutEndDoesNotDelayShutdown covers a caller that always has further requests on the way: a planned shutdown
// answers those that have begun and closes the connection.
func TestPipelineWithoutEndDoesNotDelayShutdown(t *testing.T) {
	s := start(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	}, psconfig.Limits{}, 10)
	c := s.dial(t)
	go func() {
		for {
			if _, err := io.WriteString(c, strings.Repeat(get("/safe/1"), 20)); err != nil {
				return
			}
		}
	}()
	go func() {
		time.Sleep(200 * time.Millisecond)
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		qt.Check(t, s.server.Shutdown(ctx), qt.IsNil)
	}()
	for {
		r, body := c.receive(t, "GET")
		qt.Assert(t, body, qt.Equals, "ok")
		if r.Close {
			break
		}
	}
	c.ends(t)
	_ = c.Close()
}

// TestRefusedHeadBehindRunningRequests covers a head that can't be read behind requests that still run: their responses come
// first, and what follows the head isn't read.
func TestRefusedHeadBehindRunningRequests(t *testing.T) {
	var ran atomic.Int32
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, r.URL.Path)
	}, psconfig.Limits{}, 10)
	for _, head := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n: b\r\n\r\n", "CONNECT / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /once/3 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		ran.Store(0)
		c := s.dial(t)
		c.send(t, get("/safe/1")+get("/safe/2")+head+get("/once/4"))
		for _, path := range []string{"/safe/1", "/safe/2"} {
			_, body := c.receive(t, "GET")
			qt.Check(t, body, qt.Equals, path)
		}
		r, _ := c.receive(t, "GET")
		qt.Check(t, r.StatusCode, qt.Equals, http.StatusBadRequest)
		c.ends(t)
		qt.Check(t, ran.Load(), qt.Equals, int32(2))
	}
}

// TestEndOfCallersSideCancelsRequests covers a caller that ends its side of the connection behind its requests. That looks like a
// disconnect: what runs is cancelled, what waits never runs, and nothing stays open.
func TestEndOfCallersSideCancelsRequests(t *testing.T) {
	for _, text := range []string{get("/once/1"), get("/safe/1") + get("/once/2"), get("/safe/1") + "POST /once/2 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab"} {
		begun, cancelled := make(chan string, 10), make(chan string, 10)
		s := start(t, func(_ http.ResponseWriter, r *http.Request) {
			begun <- r.URL.Path
			<-r.Context().Done()
			cancelled <- r.URL.Path
			panic(http.ErrAbortHandler)
		}, psconfig.Limits{}, 10)
		c := s.dial(t)
		c.send(t, text)
		first := <-begun
		qt.Assert(t, c.Conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
		qt.Check(t, <-cancelled, qt.Equals, first)
		c.ends(t)
		eventually(t, "nothing stays open", func() bool { u := s.budget.Usage(); return u.Used == 0 && u.Accounts == 0 })
		qt.Check(t, begun, qt.HasLen, 0, qt.Commentf("a request began after the end"))
	}
}

// TestConnectionsLeaveNoGoroutines covers connections that end in each way: their goroutines end as well.
func TestConnectionsLeaveNoGoroutines(t *testing.T) {
	release := make(chan struct{})
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			select {
			case <-r.Context().Done():
			case <-release:
			}
		}
		_, _ = io.WriteString(w, "ok")
	}, psconfig.Limits{HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond}, 200)
	// Once a request was served, the goroutines of the server itself run.
	first := s.dial(t)
	first.send(t, get("/"))
	_, _ = first.receive(t, "GET")
	before := runtime.NumGoroutine()
	for range 10 {
		for _, text := range []string{
			"", "\r\n\r\n", "GET /", "GET / HTTP/1.1\r\n: a\r\n\r\n", get("/"), get("/wait"), get("/wait") + get("/once/2"),
			"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n",
		} {
			_, _ = io.WriteString(s.dial(t), text)
			reset := s.dial(t)
			_, _ = io.WriteString(reset, text)
			_ = reset.Conn.(*net.TCPConn).SetLinger(0)
			time.AfterFunc(10*time.Millisecond, func() { _ = reset.Close() })
		}
	}
	time.AfterFunc(200*time.Millisecond, func() { close(release) })
	// Idle workers stay.
	eventually(t, "the goroutines end", func() bool { return s.budget.Usage().Accounts == 0 && runtime.NumGoroutine() <= before+16 })
}

// TestGivenUpRequestLeavesNoGap covers a caller that ends its side of the connection and still reads. The request in the middle
// is given up at once, and the one behind it completes later: its response must not come in the place of the missing one.
func TestGivenUpRequestLeavesNoGap(t *testing.T) {
	for range 20 {
		begun, second := make(chan bool, 3), make(chan struct{})
		s := start(t, func(w http.ResponseWriter, r *http.Request) {
			begun <- true
			<-r.Context().Done()
			switch r.URL.Path {
			case "/safe/1":
				time.Sleep(20 * time.Millisecond)
			case "/safe/3":
				<-second
			}
			_, _ = io.WriteString(w, r.URL.Path)
		}, psconfig.Limits{}, 10)
		c := s.dial(t)
		c.send(t, get("/safe/1")+get("/safe/2")+get("/safe/3"))
		for range 3 {
			<-begun
		}
		qt.Assert(t, c.Conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
		time.AfterFunc(60*time.Millisecond, func() { close(second) })
		for n := 1; ; n++ {
			r, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				break
			}
			body, err := io.ReadAll(r.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(body), qt.Equals, fmt.Sprint("/safe/", n))
		}
	}
}

// TestShutdownSurvivesResets covers callers that open connections and reset them at once while the server shuts down.
func TestShutdownSurvivesResets(t *testing.T) {
	for range 20 {
		s := start(t, func(http.ResponseWriter, *http.Request) {}, psconfig.Limits{}, 100)
		ended := make(chan struct{})
		var callers sync.WaitGroup
		for range 4 {
			callers.Go(func() {
				for {
					select {
					case <-ended:
						return
					default:
					}
					c, err := net.DialTimeout("tcp", s.address, 100*time.Millisecond) //nolint:noctx // a test's connection
					if err != nil {
						continue
					}
					_ = c.(*net.TCPConn).SetLinger(0)
					_ = c.Close()
				}
			})
		}
		time.Sleep(5 * time.Millisecond)
		ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
		qt.Check(t, s.server.Shutdown(ctx), qt.IsNil)
		stop()
		close(ended)
		callers.Wait()
	}
}

// TestShutdownWhileServeBegins covers a server that shuts down while it begins to accept connections: it must not accept any from
// then on, and the shutdown must end.
func TestShutdownWhileServeBegins(t *testing.T) {
	for delay := range 2000 {
		l, err := pslistener.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
		qt.Assert(t, err, qt.IsNil)
		s := psserve.New(psserve.Options{
			Handler: http.NotFoundHandler(), Budget: psbudget.New(1<<20, time.Now), MaxConnections: 10,
			Limits: func() psconfig.Limits { return psconfig.Limits{} }, Logger: hclog.NewNullLogger(),
		})
		ended := make(chan error, 1)
		go func() { ended <- s.Serve(l) }()
		// The shutdown begins at other points of Serve.
		begun := time.Now()
		for elapsed := time.Duration(0); elapsed < time.Duration(delay)*10*time.Nanosecond; {
			elapsed = time.Since(begun)
		}
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		qt.Assert(t, s.Shutdown(ctx), qt.IsNil)
		stop()
		qt.Assert(t, <-ended, qt.Equals, http.ErrServerClosed)
		_, err = net.Dial("tcp", l.Addr().String()) //nolint:noctx // a test's connection
		qt.Assert(t, err, qt.IsNotNil)
	}
}

// TestRunningRequestIsNotEvicted covers a VM with so little processor time that connections aren't checked in time: a request
// that waits for a server holds memory and seems to make no progress. Its caller isn't to blame, so that it isn't evicted.
func TestRunningRequestIsNotEvicted(t *testing.T) {
	var late atomic.Int64
	budget := psbudget.New(8<<20, func() time.Time { return time.Now().Add(time.Duration(late.Load())) })
	l, err := pslistener.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
	qt.Assert(t, err, qt.IsNil)
	begun, release := make(chan bool), make(chan struct{})
	server := psserve.New(psserve.Options{
		Handler: handler(func(w http.ResponseWriter, r *http.Request) {
			qt.Check(t, psbudget.Of(r.Context()).Take(5<<20), qt.IsTrue)
			begun <- true
			<-release
			qt.Check(t, r.Context().Err(), qt.IsNil)
			_, _ = io.WriteString(w, "ok")
		}),
		Budget: budget, MaxConnections: 10, Limits: func() psconfig.Limits { return psconfig.Limits{} }, Logger: hclog.NewNullLogger(),
	})
	go func() { _ = server.Serve(l) }()
	defer server.Close() //nolint:errcheck // it always succeeds
	s := &served{address: l.Addr().String()}
	c := s.dial(t)
	c.send(t, get("/"))
	<-begun
	other, closeOther := budget.Open(func() {})
	defer closeOther()
	for range 3 {
		late.Add(int64(2 * time.Second))
		qt.Assert(t, other.Take(5<<20), qt.IsFalse)
		time.Sleep(20 * time.Millisecond)
	}
	close(release)
	_, body := c.receive(t, "GET")
	qt.Check(t, body, qt.Equals, "ok")
	qt.Check(t, budget.Usage().Evicted, qt.Equals, int64(0))
}

// TestNothingRunsBehindLastRequest covers a caller that states which request is its last: what follows isn't run (RFC 9112,
// section 9.6).
func TestNothingRunsBehindLastRequest(t *testing.T) {
	var behind atomic.Int32
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/safe/behind" {
			behind.Add(1)
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, r.URL.Path)
	}, psconfig.Limits{}, 10)
	for _, last := range []string{"GET /safe/last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "GET /safe/last HTTP/1.0\r\n\r\n"} {
		c := s.dial(t)
		c.send(t, get("/safe/first")+last+get("/safe/behind"))
		for _, path := range []string{"/safe/first", "/safe/last"} {
			r, body := c.receive(t, "GET")
			qt.Check(t, body, qt.Equals, path)
			qt.Check(t, r.Close, qt.Equals, path == "/safe/last")
		}
		c.ends(t)
	}
	qt.Check(t, behind.Load(), qt.Equals, int32(0))
}
