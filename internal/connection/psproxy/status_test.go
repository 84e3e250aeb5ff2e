package psproxy_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/platform/psstandin"
)

// noStatuses are status lines that are no response: codes outside 100 to 599, or none.
var noStatuses = []string{
	"HTTP/1.1 000 X", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 1000 X", "HTTP/1.1 20 X",
	"HTTP/1.1 abc X", "HTTP/1.1 2x0 X", "HTTP/1.1 +99 X", "HTTP/1.1 -01 X", "HTTP/1.1 ", "HTTP/1.1", "HTTP/1.1 000",
}

// TestStatusOutsideRangeIsNoResponse covers a server in trouble whose status is no status code. The caller must not get it
// as a response: the attempt is lost, its connection is closed, and only a request that may run twice is sent again. A
// valid response behind it doesn't count, because 000 to 099 are not informational.
func TestStatusOutsideRangeIsNoResponse(t *testing.T) {
	signed := psstandin.SignedLines("id-1")
	valid := "HTTP/1.1 200 OK\r\n" + signed + "Content-Length: 2\r\n\r\nno"
	for _, line := range noStatuses {
		for name, text := range map[string]string{
			"with a body":         line + "\r\n" + signed + "Content-Length: 2\r\n\r\nno",
			"before a response":   line + "\r\n\r\n" + valid,
			"after an early hint": "HTTP/1.1 103 Early Hints\r\n\r\n" + line + "\r\n" + signed + "Content-Length: 0\r\n\r\n" + valid,
		} {
			for _, path := range []string{"/orders/1", "/boards/1"} {
				for _, through := range []string{"server", "helper"} {
					t.Run(line+" "+name+" "+path+" "+through, func(t *testing.T) {
						checkNoStatus(t, text, path, through == "helper")
					})
				}
			}
		}
	}
}

// checkNoStatus sends a request of which the first server sends a text in place of a response.
func checkNoStatus(t *testing.T, text, path string, helper bool) {
	var received, closed atomic.Int32
	respond := func(c net.Conn, r *http.Request) bool {
		if received.Add(1) > 1 {
			return respondOK(c, r)
		}
		_, _ = io.WriteString(c, text)
		// The VM must close the connection.
		if _, err := c.Read(make([]byte, 1)); err != nil {
			closed.Add(1)
		}
		return false
	}
	s, control := startProxy(t, startBackend(t, respond), startBackend(t, respond))
	if helper {
		s = startForwarding(t, s, control, time.Second)
	}
	status, _, body := do(t, request(t, s, http.MethodPost, path, "x"))
	if strings.HasPrefix(path, "/orders") {
		qt.Assert(t, status, qt.Equals, http.StatusBadGateway)
		qt.Assert(t, received.Load(), qt.Equals, int32(1))
	} else {
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		qt.Assert(t, body, qt.Equals, "ok")
		qt.Assert(t, received.Load(), qt.Equals, int32(2))
	}
	eventually(t, "the connection is closed", func() bool { return closed.Load() == 1 })
}

// TestHelperStatusOutsideRangeIsNoResponse covers another VM that answers a forwarded request with no status code, also
// marked as its own: that is no promise that the request was not executed.
func TestHelperStatusOutsideRangeIsNoResponse(t *testing.T) {
	for _, line := range noStatuses {
		for _, lines := range []string{
			psstandin.SignedLines("id-1"), "Steer-Outcome: rejected\r\nSteer-Reason: overload\r\n", "Steer-Outcome: failed\r\nSteer-Reason: lost\r\n",
		} {
			b := startBackend(t, func(c net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(c, line+"\r\n"+lines+"Content-Length: 0\r\n\r\n")
				return false
			})
			s := startForwardingTo(t, b)
			status, _, _ := do(t, request(t, s, http.MethodPost, "/orders/1", "x"))
			qt.Assert(t, status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", line))
			qt.Assert(t, b.count(), qt.Equals, 1)
		}
	}
}

// startForwardingTo starts a proxy that forwards its requests to a stand-in of a helper.
func startForwardingTo(t *testing.T, helper *backend) *httptest.Server {
	t.Helper()
	first, control := startProxy(t)
	l := helper.listener.Addr().(*net.TCPAddr).AddrPort()
	control.snapshot.NoServers, control.snapshot.Helpers = true, helperAt(l)
	return first
}

// TestChunksOfHTTP10AreNoResponse covers a response of HTTP/1.0 in chunks, which that version doesn't have. net/http ignores the
// encoding, so that callers would get the chunk sizes as part of a body that ends anywhere.
func TestChunksOfHTTP10AreNoResponse(t *testing.T) {
	for _, name := range []string{"Transfer-Encoding", "transfer-encoding"} {
		for _, end := range []string{"", "0\r\n\r\n"} {
			s, _ := startProxy(t, startBackend(t, func(c net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\n"+psstandin.SignedLines("id-1")+name+": chunked\r\n\r\n5\r\nhello\r\n"+end)
				return false
			}))
			status, _, body := do(t, request(t, s, http.MethodPost, "/orders/1", "x"))
			qt.Check(t, status, qt.Equals, http.StatusBadGateway, qt.Commentf("%q", body))
		}
	}
}

// TestHeadResponseKeepsLength covers the response to HEAD, which declares the length of a body that doesn't follow.
func TestHeadResponseKeepsLength(t *testing.T) {
	s, _ := startProxy(t, startBackend(t, func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+psstandin.SignedLines("id-1")+"Content-Length: 5\r\n\r\n")
		return r.Method == http.MethodHead
	}))
	status, h, body := do(t, request(t, s, http.MethodHead, "/boards/1", ""))
	qt.Check(t, status, qt.Equals, http.StatusOK)
	qt.Check(t, h.Get("Content-Length"), qt.Equals, "5")
	qt.Check(t, body, qt.Equals, "")
}
