package psproxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/platform"
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
		psstandin.WriteRequestHeaders(r.Header, platform.RequestHeaders{ID: fmt.Sprint("id-", n), Object: fmt.Sprint(n), Left: time.Second, Key: "k-1"})
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
