package psproxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/pssnapshot"
	"persimmonstep/platform/psstandin"
)

// earlyResponseTimeout bounds the time to a response that does not wait for the request body.
const earlyResponseTimeout = 500 * time.Millisecond

// maxChunkedBytes bounds a body without a length; it is far above the configured limit.
const maxChunkedBytes = 64 << 20

// TestErrorResponseDoesNotWaitForRequestBody guards against an error response that is delayed or truncated while
// the caller still sends its body, slowly or without a pause, and against parts of the body being parsed as a request.
func TestErrorResponseDoesNotWaitForRequestBody(t *testing.T) {
	tests := map[string]struct {
		status int
		length int64
		change func(r *http.Request, control *fakeControl)
	}{
		"unknown key":        {401, 10 << 10, func(r *http.Request, _ *fakeControl) { r.Header.Set("Authorization", "Bearer other") }},
		"no route":           {404, 10 << 10, func(r *http.Request, _ *fakeControl) { r.URL.Path = "/nowhere/" }},
		"no configuration":   {503, 10 << 10, func(_ *http.Request, control *fakeControl) { control.snapshot = &pssnapshot.Snapshot{} }},
		"too large":          {413, 3 << 20, func(*http.Request, *fakeControl) {}},
		"too large, chunked": {413, -1, func(*http.Request, *fakeControl) {}},
	}
	for name, tt := range tests {
		for speed, pause := range map[string]time.Duration{"fast": 0, "slow": 50 * time.Millisecond} {
			if pause > 0 && tt.length < 0 {
				// The proxy sees that a chunked body is too large only after it has received more than the limit.
				continue
			}
			t.Run(name+" "+speed, func(t *testing.T) {
				server := startBackend(t, respondOK)
				s, control := startProxy(t, server)
				c, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://")) //nolint:noctx // a test's connection
				qt.Assert(t, err, qt.IsNil)
				defer c.Close() //nolint:errcheck // the test is over with it
				r := request(t, s, http.MethodPost, "/orders/1", "")
				r.ContentLength, r.Body = tt.length, io.NopCloser(io.LimitReader(&requestLikeBody{pause}, maxChunkedBytes))
				if tt.length >= 0 {
					// Request.Write reads the body to its end, even beyond ContentLength.
					r.Body = io.NopCloser(io.LimitReader(&requestLikeBody{pause}, tt.length))
				}
				tt.change(r, control)
				start := time.Now()
				go func() { _ = r.Write(c) }()
				time.Sleep(pause)
				qt.Assert(t, c.SetReadDeadline(start.Add(5*time.Second)), qt.IsNil)
				reader := bufio.NewReader(c)
				response, err := http.ReadResponse(reader, r)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, response.StatusCode, qt.Equals, tt.status)
				_, err = io.ReadAll(response.Body)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, time.Since(start) < earlyResponseTimeout, qt.IsTrue, qt.Commentf("after %s", time.Since(start)))
				rest, err := io.ReadAll(reader)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, string(rest), qt.Equals, "")
				if tt.length >= 0 {
					qt.Check(t, server.count(), qt.Equals, 0)
				}
			})
		}
	}
}

// requestLikeBody is a body in which each part looks like a request.
type requestLikeBody struct{ pause time.Duration }

func (b *requestLikeBody) Read(p []byte) (int, error) {
	time.Sleep(b.pause)
	const inner = "GET /boards/1 HTTP/1.1\r\nHost: eggs.test\r\nRequest-Id: inner\r\nAuthorization: Bearer k-1\r\n\r\n"
	return copy(p, strings.Repeat(inner, 1+len(p)/len(inner))), nil
}

// TestTruncatedResponseIsVisibleToHTTP10Caller guards against a truncated response that looks complete. It truncates
// a long response without a length, which an HTTP/1.0 caller reads until the connection closes.
func TestTruncatedResponseIsVisibleToHTTP10Caller(t *testing.T) {
	s, _ := startProxy(t, startBackend(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+psstandin.SignedLines("id-1")+"Transfer-Encoding: chunked\r\n\r\n")
		chunk := strings.Repeat("x", 64<<10)
		for range 16 {
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(chunk), chunk)
		}
		return false
	}))
	c, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://")) //nolint:noctx // a test's connection
	qt.Assert(t, err, qt.IsNil)
	defer c.Close() //nolint:errcheck // the test is over with it
	r := request(t, s, http.MethodGet, "/boards/1", "")
	_, err = fmt.Fprintf(c, "GET /boards/1 HTTP/1.0\r\nHost: eggs.test\r\n")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Header.Write(c), qt.IsNil)
	_, err = io.WriteString(c, "\r\n")
	qt.Assert(t, err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil || response.StatusCode != http.StatusOK {
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	qt.Assert(t, err, qt.IsNotNil)
}
