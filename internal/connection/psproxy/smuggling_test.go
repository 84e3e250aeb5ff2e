package psproxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/platform/psstandin"
)

// smuggled is a request that must not reach a server, because it is a part of the body of another one. It claims to be one of
// another workspace.
const smuggled = "POST /orders/smuggled HTTP/1.1\r\nHost: eggs.test\r\nTenant-Id: other\r\nContent-Length: 2000000\r\n\r\n"

// TestBodyNeverBecomesRequest covers requests whose body looks like a further request, with a framing that programs may
// understand differently. A server gets no more than the first request, or none.
func TestBodyNeverBecomesRequest(t *testing.T) {
	long := smuggled + strings.Repeat("x", 2<<20)
	chunks := func(body string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	length := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }
	for name, text := range map[string]string{
		"tunnel, chunks":              "CONNECT /orders/1 HTTP/1.1\r\n" + chunks(long),
		"tunnel, short chunks":        "CONNECT /orders/1 HTTP/1.1\r\n" + chunks(smuggled),
		"tunnel, length":              "CONNECT /orders/1 HTTP/1.1\r\n" + length(long),
		"GET, chunks":                 "GET /orders/1 HTTP/1.1\r\n" + chunks(long),
		"GET, length":                 "GET /orders/1 HTTP/1.1\r\n" + length(smuggled),
		"HEAD, chunks":                "HEAD /orders/1 HTTP/1.1\r\n" + chunks(long),
		"OPTIONS, chunks":             "OPTIONS /orders/1 HTTP/1.1\r\n" + chunks(long),
		"length and chunks":           "POST /orders/1 HTTP/1.1\r\nContent-Length: 4\r\n" + chunks(smuggled),
		"chunks of HTTP/1.0":          "POST /orders/1 HTTP/1.0\r\nConnection: keep-alive\r\n" + chunks(smuggled),
		"upgrade":                     "POST /orders/1 HTTP/1.1\r\nConnection: Upgrade, Transfer-Encoding\r\nUpgrade: websocket\r\n" + chunks(long),
		"length named in Connection":  "POST /orders/1 HTTP/1.1\r\nConnection: Content-Length\r\n" + length(smuggled),
		"expectation":                 "POST /orders/1 HTTP/1.1\r\nExpect: 100-continue\r\n" + length(smuggled),
		"chunk size with a sign":      "POST /orders/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n" + smuggled,
		"chunk size that overflows":   "POST /orders/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000000\r\n" + smuggled,
		"chunk size with a prefix":    "POST /orders/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0x0\r\n\r\n" + smuggled,
		"chunk size ended by bare LF": "POST /orders/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;\nx\r\n0\r\n\r\n" + smuggled,
		"chunk longer than its size":  "POST /orders/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxx\r\n0\r\n\r\n" + smuggled,
		"absolute target":             "POST http://eggs.test/orders/1 HTTP/1.1\r\n" + length(smuggled),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := make(chan string, 16)
			b := startRawBackend(t, func(c net.Conn, r *bufio.Reader) bool {
				q, err := http.ReadRequest(r)
				if err != nil {
					return false
				}
				got <- q.URL.Path
				_, err = io.Copy(io.Discard, q.Body)
				// The VM ends the write of a body with the response.
				_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
				_, _ = r.Peek(len(smuggled))
				_ = c.SetReadDeadline(time.Time{})
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+psstandin.SignedLines("id-1")+"Content-Length: 0\r\n\r\n")
				return err == nil
			})
			s, control := startProxy(t, b)
			allowLongUploads(control, time.Second)
			c := dialCaller(t, s)
			defer c.Close() //nolint:errcheck // the test is over with it
			h := http.Header{}
			psstandin.WriteRequestHeaders(h, callerHeaders)
			var lines strings.Builder
			_ = h.Write(&lines)
			first, rest, _ := strings.Cut(text, "\r\n")
			go func() { _, _ = io.WriteString(c, first+"\r\nHost: eggs.test\r\n"+lines.String()+rest) }()
			// The connection ends, or stays idle.
			_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
			_, _ = io.Copy(io.Discard, c)
			close(got)
			paths := []string{}
			for p := range got {
				paths = append(paths, p)
			}
			qt.Check(t, len(paths) == 0 || len(paths) == 1 && paths[0] == "/orders/1", qt.IsTrue, qt.Commentf("%q", paths))
		})
	}
}

func dialCaller(t *testing.T, s *httptest.Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Listener.Addr().String()) //nolint:noctx // a test's connection
	qt.Assert(t, err, qt.IsNil)
	return c
}
