package psproxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/psbudget"
	"persimmonstep/internal/connection/psforward"
	"persimmonstep/internal/connection/psproxy"
	"persimmonstep/internal/connection/pssocket"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/platform/psstandin"
)

const (
	// uploadBytes is the declared length of an upload that is never sent completely.
	uploadBytes = 32 << 20
	// closeDelimitedRuns is the number of times that each case is repeated, because reader and writer of a connection
	// race for the error of its socket.
	closeDelimitedRuns = 4
	// closeDelimitedTimeout is the time limit of the requests, and leftOpenTimeout that of those to a server that leaves its
	// connection open, whose exchange nothing else ends.
	closeDelimitedTimeout = 20 * time.Second
	leftOpenTimeout       = 2 * time.Second
)

// ending ends the connection of a server after the body of a response without a length.
type ending struct {
	name string
	end  func(c *net.TCPConn)
	// complete says that the body counts as complete without an upload in progress, and completeUpload with one.
	complete, completeUpload bool
	// either says that with an upload in progress the body may count as complete or not.
	either bool
}

const leftOpen = "left open"

var endings = []ending{
	{"closed after reading all", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}, true, true, false},
	{"half-closed", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(700 * time.Millisecond)
		_ = c.Close()
	}, true, true, false},
	// A server that hasn't read all of a request does this in place of a regular close. A reset also drops what hasn't arrived
	// yet, so that the response is complete only if all of it was acknowledged before.
	{"closed and then reset", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		for start := time.Now(); pssocket.Unacknowledged(c) > 0 && time.Since(start) < closeDelimitedTimeout; {
			time.Sleep(time.Millisecond)
		}
		_ = c.SetLinger(0)
		_ = c.Close()
	}, true, true, true},
	{"reset", func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}, false, false, false},
	{"reset later", func(c *net.TCPConn) {
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
	}, false, false, false},
	// With unread bytes of an upload, the system resets the connection.
	{"closed at once", func(c *net.TCPConn) { _ = c.Close() }, true, false, false},
	{leftOpen, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }, false, false, false},
}

// TestCloseDelimitedBodyIsCompleteOnlyAfterRegularClose covers each way in which a response without a length can end. A
// server that resets the connection has sent a part of the body. The write of an upload may get the error of the reset
// first, and the read of the response then sees a plain end of file. No caller may get such a part as a complete
// response, and a body that was closed regularly must arrive.
func TestCloseDelimitedBodyIsCompleteOnlyAfterRegularClose(t *testing.T) {
	for _, e := range endings {
		for _, upload := range []bool{false, true} {
			for _, version := range []string{"1.0", "1.1"} {
				for _, size := range []int{5, 700 << 10} {
					for _, through := range []string{"server", "helper"} {
						name := fmt.Sprintf("%s/upload=%v/HTTP %s/%d bytes/%s", e.name, upload, version, size, through)
						t.Run(name, func(t *testing.T) {
							t.Parallel()
							c := closeDelimitedCase{ending: e, upload: upload, version: version, size: size, timeout: closeDelimitedTimeout}
							if e.name == leftOpen {
								c.timeout = leftOpenTimeout
							}
							c.check(t, through == "helper")
						})
					}
				}
			}
		}
	}
}

type closeDelimitedCase struct {
	ending
	upload  bool
	version string
	size    int
	timeout time.Duration
}

func (v closeDelimitedCase) check(t *testing.T, helper bool) {
	// stalled is signaled when the caller's upload has filled all buffers up to the server.
	stalled := make(chan struct{}, 1)
	b := startRawBackend(t, func(c net.Conn, r *bufio.Reader) bool {
		q, err := http.ReadRequest(r)
		if err != nil {
			return false
		}
		if v.upload {
			<-stalled
			eventually(t, "bytes of the upload are unread", func() bool { return pssocket.StateOf(c) == pssocket.Pending })
		} else if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return false
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+psstandin.SignedLines("id-1")+"\r\n"+strings.Repeat("x", v.size))
		v.end(c.(*net.TCPConn))
		return false
	})
	s, control := startProxy(t, b)
	allowLongUploads(control, v.timeout)
	if helper {
		s = startForwarding(t, s, control, v.timeout)
	}
	want, runs := v.complete, closeDelimitedRuns
	if v.upload {
		want = v.completeUpload
	}
	if v.name == leftOpen || v.name == "half-closed" {
		runs = 1
	}
	for range runs {
		status, length, err := v.exchange(t, s.Listener.Addr().String(), stalled)
		complete := err == nil && status == http.StatusOK
		if v.upload && v.either {
			qt.Assert(t, !complete || length == v.size, qt.IsTrue, qt.Commentf("status %d, %d bytes", status, length))
			continue
		}
		qt.Assert(t, complete, qt.Equals, want, qt.Commentf("status %d, %d bytes, error %v", status, length, err))
		if want {
			qt.Assert(t, length, qt.Equals, v.size)
		}
	}
}

// exchange sends a request on a connection of its own and returns the status, the length of the body and the error of
// reading it.
func (v closeDelimitedCase) exchange(t *testing.T, address string, stalled chan<- struct{}) (status, length int, err error) {
	c, err := net.Dial("tcp", address) //nolint:noctx // a test's connection
	qt.Assert(t, err, qt.IsNil)
	defer c.Close() //nolint:errcheck // the test is over with it
	_ = c.SetReadDeadline(time.Now().Add(2 * v.timeout))
	body := 1
	if v.upload {
		body = uploadBytes
	}
	h := http.Header{}
	headers := callerHeaders
	headers.Left = v.timeout
	psstandin.WriteRequestHeaders(h, headers)
	var head strings.Builder
	_, _ = fmt.Fprintf(&head, "POST /orders/1 HTTP/%s\r\nHost: eggs.test\r\nContent-Length: %d\r\n", v.version, body)
	_ = h.Write(&head)
	_, err = io.WriteString(c, head.String()+"\r\n")
	qt.Assert(t, err, qt.IsNil)
	if v.upload {
		sendUntilStalled(c)
		select {
		case stalled <- struct{}{}:
		default:
		}
	} else {
		_, _ = io.WriteString(c, "x")
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, 0, err
	}
	n, err := io.Copy(io.Discard, response.Body)
	return response.StatusCode, int(n), err
}

// sendUntilStalled sends until nothing has been accepted for a while. The caller writes nothing afterwards, so that its
// own writes can't get the error of a reset.
func sendUntilStalled(c net.Conn) {
	piece := make([]byte, 64<<10)
	for range uploadBytes/len(piece) - 1 {
		_ = c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := c.Write(piece); err != nil {
			return
		}
	}
}

// allowLongUploads gives a proxy a configuration that allows uploads of any length and has a time limit.
func allowLongUploads(control *fakeControl, timeout time.Duration) {
	v := testConfiguration
	v.Limits.MaxBodyBytes = 0
	v.Routes = slices.Clone(v.Routes)
	for i := range v.Routes {
		v.Routes[i].Timeout = timeout
	}
	control.snapshot.Index = psconfig.NewIndex(&v)
}

// startForwarding starts a proxy that has lost its links to all servers and forwards its requests to the one of s.
func startForwarding(t *testing.T, s *httptest.Server, helperControl *fakeControl, timeout time.Duration) *httptest.Server {
	t.Helper()
	helperProxy := s.Config.Handler.(*psproxy.Proxy)
	sender := psmessage.Identity{VM: "vm-1", PeerAddress: netip.MustParseAddrPort("127.0.0.1:7600")}
	helperControl.snapshot.RecentVMs = []psmessage.Identity{sender}
	l := serve(t, helperProxy.ForwardedHandler(), psbudget.New(64<<20, time.Now)).Listener
	first, control := startProxy(t)
	allowLongUploads(control, timeout)
	control.snapshot.NoServers, control.snapshot.Helpers = true, helperAt(l.Addr().(*net.TCPAddr).AddrPort())
	return first
}

// helperAt returns the VM that takes forwarded requests at an address.
func helperAt(a netip.AddrPort) []psmessage.Identity {
	offset := psforward.Address(netip.AddrPortFrom(a.Addr(), 0)).Port()
	return []psmessage.Identity{{
		VM: "vm-2", FailureDomain: "north-a", Region: "north", PeerAddress: netip.AddrPortFrom(a.Addr(), a.Port()-offset), Features: psmessage.CurrentFeatures,
	}}
}
