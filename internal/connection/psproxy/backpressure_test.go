package psproxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/platform"
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
		psstandin.WriteRequestHeaders(r.Header, platform.RequestHeaders{ID: fmt.Sprint("id-", n), Object: fmt.Sprint(n), Left: time.Second, Key: "k-1"})
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
