package psproxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/pslimit"
	"persimmonstep/platform/psheader"
	"persimmonstep/platform/psstandin"
)

// respondDraining sends a complete response that announces the server's shutdown.
func respondDraining(c net.Conn, r *http.Request) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+psstandin.SignedLines(psstandin.ReadForwardHeaders(r.Header).ID)+psstandin.LeavingLine()+"Content-Length: 2\r\n\r\nok")
	return true
}

// rejectWithRetryAfter rejects a request without executing it and asks for a pause in requests.
func rejectWithRetryAfter(retryAfter string) responder {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n"+psstandin.NotRunLines(psstandin.ReadForwardHeaders(r.Header).ID)+psstandin.RetryAfterLine(retryAfter)+"Content-Length: 0\r\n\r\n")
		return true
	}
}

// sendOrders sends orders for objects that are spread over all servers, and expects each to succeed.
func sendOrders(t *testing.T, s *httptest.Server) {
	t.Helper()
	for n := range 40 {
		r := request(t, s, http.MethodPost, "/orders/1", "x")
		psstandin.WriteRequestHeaders(r.Header, psheader.Request{ID: fmt.Sprint("id-", n), Object: fmt.Sprint(n), Left: time.Second, Key: "k-1"})
		status, _, _ := do(t, r)
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	}
}

// TestDrainingServerGetsNoMoreRequests sends requests to two servers, of which one announces its shutdown.
func TestDrainingServerGetsNoMoreRequests(t *testing.T) {
	a, b := startBackend(t, respondDraining), startBackend(t, respondOK)
	s, _ := startProxy(t, a, b)
	sendOrders(t, s)
	qt.Assert(t, a.count(), qt.Equals, 1)
}

// TestDrainNoticeOfAnotherServerIsIgnored guards against draining a server because another server, which responds at
// the same address, announces its shutdown.
func TestDrainNoticeOfAnotherServerIsIgnored(t *testing.T) {
	s, control := startProxy(t, startBackend(t, func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+psstandin.NotRunLines(psstandin.ReadForwardHeaders(r.Header).ID)+psstandin.LeavingLine()+"Content-Length: 0\r\n\r\n")
		return true
	}))
	_, _, _ = do(t, request(t, s, http.MethodPost, "/orders/1", "x"))
	qt.Assert(t, control.snapshot.Servers["prices"][0].Leaving(), qt.IsFalse)
}

// TestLimitIsReadFromResponsesOfTheServer names a limit in responses of each kind, and checks which of them count, and
// which of them would withdraw a limit if they named none.
func TestLimitIsReadFromResponsesOfTheServer(t *testing.T) {
	signed, notRun := psstandin.SignedLines, psstandin.NotRunLines
	for _, v := range []struct {
		name, response string
		counts         bool
		genuine        bool
	}{
		{"success", "HTTP/1.1 200 OK\r\n" + signed("id-1") + "Content-Length: 2\r\n\r\nok", true, true},
		{"failure", "HTTP/1.1 500 Internal Server Error\r\n" + signed("id-1") + "Content-Length: 0\r\n\r\n", true, true},
		{"rejection", "HTTP/1.1 503 Service Unavailable\r\n" + notRun("id-1") + "Content-Length: 0\r\n\r\n", true, true},
		{"rejection of the rate", "HTTP/1.1 429 Too Many Requests\r\n" + notRun("id-1") + "Content-Length: 0\r\n\r\n", true, true},
		{"truncated", "HTTP/1.1 200 OK\r\n" + signed("id-1") + "Content-Length: 9\r\nConnection: close\r\n\r\nok", true, true},
		{"unsigned", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true, false},
		{"of another request", "HTTP/1.1 200 OK\r\n" + signed("id-0") + "Content-Length: 2\r\n\r\nok", false, false},
		{"of another server", "HTTP/1.1 421 Misdirected Request\r\n" + notRun("id-1") + "Content-Length: 0\r\n\r\n", false, false},
	} {
		t.Run(v.name, func(t *testing.T) {
			s, control := startProxy(t, startBackend(t, func(c net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(c, strings.Replace(v.response, "\r\n", "\r\n"+psstandin.LimitLine("2.5"), 1))
				return false
			}))
			_, _, _ = do(t, request(t, s, http.MethodPost, "/orders/1", "x"))
			control.mutex.Lock()
			defer control.mutex.Unlock()
			qt.Assert(t, len(control.announcements) > 0, qt.Equals, v.counts)
			for _, a := range control.announcements {
				qt.Check(t, a.Limit, qt.Equals, pslimit.Limit{Named: true, PerSecond: 2.5})
				qt.Check(t, a.Genuine, qt.Equals, v.genuine)
			}
		})
	}
}

// TestRetryAfterOfServerIsHonored lets one of two servers ask for a pause in requests, so that the other one takes
// over, and then the only server, so that callers are rejected with a Retry-After time until the pause ends.
func TestRetryAfterOfServerIsHonored(t *testing.T) {
	a, b := startBackend(t, rejectWithRetryAfter("60")), startBackend(t, respondOK)
	s, _ := startProxy(t, a, b)
	sendOrders(t, s)
	qt.Assert(t, a.count(), qt.Equals, 1)

	a = startBackend(t, rejectWithRetryAfter("3"))
	s, _ = startProxy(t, a)
	for range 10 {
		status, header, _ := do(t, request(t, s, http.MethodPost, "/orders/1", "x"))
		qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, header.Get("Retry-After"), qt.Not(qt.Equals), "")
	}
	qt.Assert(t, a.count(), qt.Equals, 1)
	time.Sleep(3100 * time.Millisecond)
	_, _, _ = do(t, request(t, s, http.MethodPost, "/orders/1", "x"))
	qt.Assert(t, a.count(), qt.Equals, 2)
}

// TestQueuedRequestsAvoidDrainingServer guards against sending requests to a server that announced its shutdown while
// they were waiting for a connection to it.
func TestQueuedRequestsAvoidDrainingServer(t *testing.T) {
	var sent atomic.Int32
	b := startBackend(t, func(c net.Conn, r *http.Request) bool {
		sent.Add(1)
		time.Sleep(100 * time.Millisecond)
		return respondDraining(c, r)
	})
	s, control := startProxy(t, b)
	// With 40 VMs, this VM may open two connections to the server.
	control.snapshot.FleetSize = 40
	done := make(chan int)
	const callers = 6
	for range callers {
		go func() {
			response, err := http.DefaultTransport.RoundTrip(request(t, s, http.MethodPost, "/orders/1", "x"))
			if err != nil {
				done <- 0
				return
			}
			_ = response.Body.Close()
			done <- response.StatusCode
		}()
	}
	counts := map[int]int{}
	for range callers {
		counts[<-done]++
	}
	qt.Assert(t, sent.Load() <= 2, qt.IsTrue, qt.Commentf("%d requests sent", sent.Load()))
	qt.Assert(t, counts[http.StatusOK]+counts[http.StatusServiceUnavailable], qt.Equals, callers, qt.Commentf("%v", counts))
}
