package psproxy_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/platform/psstandin"
)

const (
	// deadlineTolerance is the time after the route's timeout within which the caller must have its response.
	deadlineTolerance = time.Second
	// maxHeapGrowth bounds the growth of the heap in bytes while a server sends without end.
	maxHeapGrowth = 16 << 20
)

// unboundedResponse writes a head once and then a piece repeatedly, until the connection is closed.
func unboundedResponse(head, piece string, pause time.Duration) responder {
	return func(c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, head)
		for err == nil {
			_, err = io.WriteString(c, piece)
			time.Sleep(pause)
		}
		return false
	}
}

// TestUnboundedResponseIsAborted guards against a server whose bytes never complete a response and so hold a caller,
// a connection or memory. The request may have been executed, so the caller gets a gateway error or a truncated
// response and the request is not retried. Memory stays bounded, and the server is avoided afterwards.
func TestUnboundedResponseIsAborted(t *testing.T) {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	signed := psstandin.SignedLines("id-1")
	filler := strings.Repeat("x", 32<<10)
	tests := []struct{ name, head, piece string }{
		{"status line", "HTTP/1.1 200 ", filler},
		{"header line", statusLine + "X: ", filler},
		{"headers", statusLine, "X-A: " + filler[:1000] + "\r\n"},
		{"informational responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"not HTTP", "", filler},
		{"chunk size", statusLine + signed + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"chunk extension", statusLine + signed + "Transfer-Encoding: chunked\r\n\r\n5;", filler},
		{"trailer", statusLine + signed + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X-A: " + filler[:1000] + "\r\n"},
		{"chunked body", statusLine + signed + "Transfer-Encoding: chunked\r\n\r\n", "8000\r\n" + filler + "\r\n"},
		{"body without length", statusLine + signed + "\r\n", filler},
		{"unsigned body", statusLine + "\r\n", filler},
		{"response to another request", statusLine + psstandin.SignedLines("other") + "Transfer-Encoding: chunked\r\n\r\n", "8000\r\n" + filler + "\r\n"},
	}
	for _, tt := range tests {
		for speed, pause := range map[string]time.Duration{"fast": 0, "slow": 200 * time.Millisecond} {
			t.Run(tt.name+" "+speed, func(t *testing.T) {
				piece := tt.piece
				if pause > 0 {
					piece = piece[:1]
				}
				b := startBackend(t, unboundedResponse(tt.head, piece, pause))
				s, control := startProxy(t, b)
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				start := time.Now()
				response, err := http.DefaultTransport.RoundTrip(request(t, s, http.MethodPost, "/orders/1", "x"))
				if err == nil && response.StatusCode == http.StatusOK {
					_, err = io.Copy(io.Discard, response.Body)
					qt.Check(t, err, qt.IsNotNil, qt.Commentf("the truncated response looks complete"))
				} else if err == nil {
					qt.Check(t, response.StatusCode == http.StatusBadGateway || response.StatusCode == http.StatusGatewayTimeout,
						qt.IsTrue, qt.Commentf("status %d", response.StatusCode))
					_ = response.Body.Close()
				}
				qt.Check(t, time.Since(start) < testConfiguration.Routes[1].Timeout+deadlineTolerance,
					qt.IsTrue, qt.Commentf("took %s", time.Since(start)))
				runtime.GC()
				runtime.ReadMemStats(&after)
				qt.Check(t, int64(after.HeapAlloc)-int64(before.HeapAlloc) < maxHeapGrowth, qt.IsTrue)
				qt.Check(t, b.count(), qt.Equals, 1)
				eventually(t, "the server is avoided", func() bool {
					w := control.snapshot.Servers["prices"][0].View(time.Now())
					return w.FailureRate > 0 || w.Slowness > 1 || !w.Usable
				})
				eventually(t, "the connection is closed", func() bool {
					select {
					case <-b.ended:
						return true
					default:
						return false
					}
				})
			})
		}
	}
}

// TestLongResponseArrivesComplete streams a response that is too long to be buffered.
func TestLongResponseArrivesComplete(t *testing.T) {
	body := strings.Repeat("certificate ", 200<<10)
	s, _ := startProxy(t, startBackend(t, func(c net.Conn, r *http.Request) bool {
		w := &http.Response{
			StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, ContentLength: int64(len(body)),
			Body: io.NopCloser(strings.NewReader(body)),
		}
		psstandin.Sign(w.Header, psstandin.ReadForwardHeaders(r.Header).ID)
		return w.Write(c) == nil
	}))
	for range 2 {
		status, _, got := do(t, request(t, s, http.MethodGet, "/boards/1", ""))
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		qt.Assert(t, got == body, qt.IsTrue, qt.Commentf("%d of %d bytes", len(got), len(body)))
	}
}

// TestSlowRequestBodyTimesOut guards against a caller that occupies memory and a connection by sending its body byte
// by byte beyond its own deadline.
func TestSlowRequestBodyTimesOut(t *testing.T) {
	b := startBackend(t, respondOK)
	s, _ := startProxy(t, b)
	c, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://")) //nolint:noctx // a test's connection
	qt.Assert(t, err, qt.IsNil)
	defer c.Close() //nolint:errcheck // the test is over with it
	start := time.Now()
	r := request(t, s, http.MethodPost, "/orders/1", "")
	r.Body, r.ContentLength = io.NopCloser(&slowBody{}), 100
	go func() { _ = r.Write(c) }()
	qt.Assert(t, c.SetReadDeadline(start.Add(5*time.Second)), qt.IsNil)
	_, err = io.ReadAll(c)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, time.Since(start) < testConfiguration.Routes[1].Timeout+deadlineTolerance,
		qt.IsTrue, qt.Commentf("took %s", time.Since(start)))
	qt.Assert(t, b.count(), qt.Equals, 0)
}

// slowBody is a body that yields one byte every 100 ms.
type slowBody struct{}

func (*slowBody) Read(p []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return copy(p, "x"), nil
}

// eventually waits up to 3 s until a condition holds.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for start := time.Now(); time.Since(start) < 3*time.Second; time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("condition not met within 3 s: %s", condition)
}
