package psfront_test

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

// leaves answers whole and says that the server ends.
func leaves(c net.Conn, r *http.Request) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+psstandin.SignedLines(psstandin.ReadArrival(r.Header).ID)+psstandin.LeavingLine()+"Content-Length: 2\r\n\r\nok")
	return true
}

// quietFor turns a request away and asks for a time without others.
func quietFor(text string) answerer {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n"+psstandin.NotRunLines(psstandin.ReadArrival(r.Header).ID)+psstandin.QuietLine(text)+"Content-Length: 0\r\n\r\n")
		return true
	}
}

// orderManyObjects sends orders that belong to all servers, and expects each to be answered.
func orderManyObjects(t *testing.T, s *httptest.Server) {
	t.Helper()
	for n := range 40 {
		r := request(t, s, http.MethodPost, "/orders/1", "x")
		psstandin.WriteCall(r.Header, platform.Call{ID: fmt.Sprint("id-", n), Object: fmt.Sprint(n), Left: time.Second, Key: "k-1"})
		status, _, _ := do(t, r)
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	}
}

// TestALeavingServerGetsNoMoreRequests sends requests to two servers, of which one says that it ends.
func TestALeavingServerGetsNoMoreRequests(t *testing.T) {
	a, b := startBackend(t, leaves), startBackend(t, whole)
	s, _ := startGate(t, a, b)
	orderManyObjects(t, s)
	qt.Assert(t, a.count(), qt.Equals, 1)
}

// TestAWarningOfAnotherServerDoesNotCount lets another server answer at the address that it ends.
func TestAWarningOfAnotherServerDoesNotCount(t *testing.T) {
	s, b := startGate(t, startBackend(t, func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+psstandin.NotRunLines(psstandin.ReadArrival(r.Header).ID)+psstandin.LeavingLine()+"Content-Length: 0\r\n\r\n")
		return true
	}))
	_, _, _ = do(t, request(t, s, http.MethodPost, "/orders/1", "x"))
	qt.Assert(t, b.snapshot.Servers["prices"][0].Leaving(), qt.IsFalse)
}

// TestAServerThatWantsNoRequestsGetsNone asks for quiet by one of two servers, and then by all. The
// other one takes over, and with none left callers are told the earliest end.
func TestAServerThatWantsNoRequestsGetsNone(t *testing.T) {
	a, b := startBackend(t, quietFor("60")), startBackend(t, whole)
	s, _ := startGate(t, a, b)
	orderManyObjects(t, s)
	qt.Assert(t, a.count(), qt.Equals, 1)

	a = startBackend(t, quietFor("3"))
	s, _ = startGate(t, a)
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

// TestARequestThatWaitsForAConnectionGoesElsewhere lets requests wait for a connection to a server
// that says that it ends meanwhile.
func TestARequestThatWaitsForAConnectionGoesElsewhere(t *testing.T) {
	var got atomic.Int32
	b := startBackend(t, func(c net.Conn, r *http.Request) bool {
		got.Add(1)
		time.Sleep(100 * time.Millisecond)
		return leaves(c, r)
	})
	s, v := startGate(t, b)
	// This VM has two connections to the server.
	v.snapshot.FleetSize = 40
	done := make(chan int)
	const callers = 6
	for range callers {
		go func() {
			answer, err := http.DefaultTransport.RoundTrip(request(t, s, http.MethodPost, "/orders/1", "x"))
			if err != nil {
				done <- 0
				return
			}
			_ = answer.Body.Close()
			done <- answer.StatusCode
		}()
	}
	counts := map[int]int{}
	for range callers {
		counts[<-done]++
	}
	qt.Assert(t, got.Load() <= 2, qt.IsTrue, qt.Commentf("%d requests", got.Load()))
	qt.Assert(t, counts[http.StatusOK]+counts[http.StatusServiceUnavailable], qt.Equals, callers, qt.Commentf("%v", counts))
}
