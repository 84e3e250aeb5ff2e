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

	"persimmonstep/internal/process/pscontrol"
	"persimmonstep/platform/psstandin"
)

// earlyAnswerWithin is the time in which an answer arrives that doesn't wait for the body.
const earlyAnswerWithin = 500 * time.Millisecond

// maxSmuggled bounds a body without a length; it is far above the limit of the configuration.
const maxSmuggled = 64 << 20

// TestAnAnswerDoesNotWaitForTheBody answers while the caller still sends, slowly or without a pause.
// The answer arrives at once and whole, and nothing of the body is taken for a request.
func TestAnAnswerDoesNotWaitForTheBody(t *testing.T) {
	tests := map[string]struct {
		status int
		length int64
		change func(r *http.Request, b *beliefs)
	}{
		"unknown key":          {401, 10 << 10, func(r *http.Request, _ *beliefs) { r.Header.Set("Authorization", "Bearer other") }},
		"no route":             {404, 10 << 10, func(r *http.Request, _ *beliefs) { r.URL.Path = "/nowhere/" }},
		"no configuration":     {503, 10 << 10, func(_ *http.Request, b *beliefs) { b.snapshot = &pscontrol.Snapshot{} }},
		"too large":            {413, 3 << 20, func(*http.Request, *beliefs) {}},
		"too large, in chunks": {413, -1, func(*http.Request, *beliefs) {}},
	}
	for name, tt := range tests {
		for speed, pause := range map[string]time.Duration{"fast": 0, "slow": 50 * time.Millisecond} {
			if pause > 0 && tt.length < 0 {
				// That the body is too large shows only once so much of it is in.
				continue
			}
			t.Run(name+" "+speed, func(t *testing.T) {
				back := startBackend(t, whole)
				s, b := startGate(t, back)
				c, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://")) //nolint:noctx // a test's connection
				qt.Assert(t, err, qt.IsNil)
				defer c.Close() //nolint:errcheck // the test is over with it
				r := request(t, s, http.MethodPost, "/orders/1", "")
				r.ContentLength, r.Body = tt.length, io.NopCloser(io.LimitReader(&smuggler{pause}, maxSmuggled))
				if tt.length >= 0 {
					// The writer reads on until the body's end, also beyond its length.
					r.Body = io.NopCloser(io.LimitReader(&smuggler{pause}, tt.length))
				}
				tt.change(r, b)
				begun := time.Now()
				go func() { _ = r.Write(c) }()
				time.Sleep(pause)
				qt.Assert(t, c.SetReadDeadline(begun.Add(5*time.Second)), qt.IsNil)
				reader := bufio.NewReader(c)
				answer, err := http.ReadResponse(reader, r)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, answer.StatusCode, qt.Equals, tt.status)
				_, err = io.ReadAll(answer.Body)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, time.Since(begun) < earlyAnswerWithin, qt.IsTrue, qt.Commentf("after %s", time.Since(begun)))
				rest, err := io.ReadAll(reader)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, string(rest), qt.Equals, "")
				if tt.length >= 0 {
					qt.Check(t, back.count(), qt.Equals, 0)
				}
			})
		}
	}
}

// smuggler is a body whose every piece looks like a request.
type smuggler struct{ pause time.Duration }

func (s *smuggler) Read(p []byte) (int, error) {
	time.Sleep(s.pause)
	const inner = "GET /boards/1 HTTP/1.1\r\nHost: eggs.test\r\nRequest-Id: inner\r\nAuthorization: Bearer k-1\r\n\r\n"
	return copy(p, strings.Repeat(inner, 1+len(p)/len(inner))), nil
}

// TestABrokenAnswerDoesNotLookWhole breaks off a long answer without a length. To a caller of the
// older protocol version, for which such an answer ends with its connection, it must not look whole.
func TestABrokenAnswerDoesNotLookWhole(t *testing.T) {
	s, _ := startGate(t, startBackend(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+psstandin.SignedLines("id-1")+"Transfer-Encoding: chunked\r\n\r\n")
		piece := strings.Repeat("x", 64<<10)
		for range 16 {
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
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
	answer, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil || answer.StatusCode != http.StatusOK {
		return
	}
	_, err = io.Copy(io.Discard, answer.Body)
	qt.Assert(t, err, qt.IsNotNil)
}
