package psproxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/version/psconfig"
	"persimmonstep/platform/psheader"
	"persimmonstep/platform/psstandin"
)

// respondWithLimit sends a complete response that names a limit.
func respondWithLimit(value string) responder {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+psstandin.SignedLines(psstandin.ReadForwardHeaders(r.Header).ID)+psstandin.LimitLine(value)+"Content-Length: 2\r\n\r\nok")
		return true
	}
}

// TestServerGetsNoMoreThanItsLimit sends requests to two servers, of which one names a limit. The other one takes over
// the rest, and no caller is rejected.
func TestServerGetsNoMoreThanItsLimit(t *testing.T) {
	a, b := startBackend(t, respondWithLimit("0.5")), startBackend(t, respondOK)
	s, _ := startProxy(t, a, b)
	sendOrders(t, s)
	// One request tells the VM of the limit, and the token bucket is empty then.
	qt.Assert(t, a.count() <= 2, qt.IsTrue, qt.Commentf("%d requests", a.count()))
	qt.Assert(t, a.count()+b.count(), qt.Equals, 40)
}

// TestRequestBeyondAllLimitsIsRejectedAtOnce sends requests to a service of which each server names a limit.
func TestRequestBeyondAllLimitsIsRejectedAtOnce(t *testing.T) {
	a, b := startBackend(t, respondWithLimit("0")), startBackend(t, respondWithLimit("0"))
	s, _ := startProxy(t, a, b)
	served, rejected := 0, 0
	began := time.Now()
	for n := range 40 {
		r := request(t, s, http.MethodPost, "/orders/1", "x")
		psstandin.WriteRequestHeaders(r.Header, psheader.Request{ID: fmt.Sprint("id-", n), Object: fmt.Sprint(n), Left: time.Second, Key: "k-1"})
		status, header, _ := do(t, r)
		if status == http.StatusOK {
			served++
			continue
		}
		rejected++
		qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, after > 0 && after <= 1.0/3, qt.IsTrue, qt.Commentf("%v s", after))
	}
	qt.Assert(t, time.Since(began) < time.Second, qt.IsTrue)
	// A request to each server tells the VM of the limit.
	qt.Assert(t, served <= 2, qt.IsTrue, qt.Commentf("%d served", served))
	qt.Assert(t, a.count()+b.count(), qt.Equals, served)
	qt.Assert(t, served+rejected, qt.Equals, 40)
}

// TestColdServerWithLimitNeedsBothTokens checks that the strictest statement of a server counts. Its cold start lets one
// request through, and its limit none before the first response states it.
func TestColdServerWithLimitNeedsBothTokens(t *testing.T) {
	for _, limit := range []string{"0", "1000"} {
		a := startBackend(t, respondWithLimit(limit))
		s, control := startProxy(t, a, startBackend(t, respondOK))
		cold := control.snapshot.Servers["prices"][0]
		cold.AssumeCold(time.Minute, time.Now())
		sendOrders(t, s)
		qt.Check(t, a.count() <= 1, qt.IsTrue, qt.Commentf("limit %s: %d requests", limit, a.count()))
	}
}

// TestRequestsWaitingForConnectionRespectLimit guards against sending requests that were waiting for a connection to a
// server when it named its limit. They go to the other server, although each may be sent to one server only.
func TestRequestsWaitingForConnectionRespectLimit(t *testing.T) {
	var sent atomic.Int32
	a := startBackend(t, func(c net.Conn, r *http.Request) bool {
		sent.Add(1)
		time.Sleep(100 * time.Millisecond)
		return respondWithLimit("0")(c, r)
	})
	s, control := startProxy(t, a, startBackend(t, respondOK))
	// With 40 VMs, this VM may open two connections to each server.
	control.snapshot.FleetSize = 40
	configuration := testConfiguration
	configuration.Routes = slices.Clone(configuration.Routes)
	for i := range configuration.Routes {
		configuration.Routes[i].MaxAttempts = 1
	}
	control.snapshot.Index = psconfig.NewIndex(&configuration)
	const callers = 12
	statuses := make(chan int)
	for n := range callers {
		r := request(t, s, http.MethodPost, "/orders/1", "x")
		psstandin.WriteRequestHeaders(r.Header, psheader.Request{ID: fmt.Sprint("id-", n), Object: fmt.Sprint(n), Left: time.Second, Key: "k-1"})
		go func() {
			response, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				statuses <- 0
				return
			}
			_ = response.Body.Close()
			statuses <- response.StatusCode
		}()
	}
	for range callers {
		qt.Check(t, <-statuses, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, sent.Load() <= 2, qt.IsTrue, qt.Commentf("%d requests sent", sent.Load()))
}
