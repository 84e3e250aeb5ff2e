package psfront_test

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
	// endlessAllowance is the time after the route's timeout by which the caller knows.
	endlessAllowance = time.Second
	// endlessMemory bounds what the heap may grow by while a server sends without end.
	endlessMemory = 16 << 20
)

// endless writes a head once and then a piece again and again, until the caller closes.
func endless(head, piece string, pause time.Duration) answerer {
	return func(c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, head)
		for err == nil {
			_, err = io.WriteString(c, piece)
			time.Sleep(pause)
		}
		return false
	}
}

// TestBytesWithoutEnd lets a server send bytes that never make an answer. The caller of a request
// that may have run is told nothing else, nothing piles up, and the server is avoided.
func TestBytesWithoutEnd(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\n"
	signed := psstandin.SignedLines("id-1")
	filler := strings.Repeat("x", 32<<10)
	tests := []struct{ name, head, piece string }{
		{"status line", "HTTP/1.1 200 ", filler},
		{"header line", start + "X: ", filler},
		{"headers", start, "X-A: " + filler[:1000] + "\r\n"},
		{"informational answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"no protocol", "", filler},
		{"chunk size", start + signed + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"chunk extension", start + signed + "Transfer-Encoding: chunked\r\n\r\n5;", filler},
		{"trailer", start + signed + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X-A: " + filler[:1000] + "\r\n"},
		{"body in chunks", start + signed + "Transfer-Encoding: chunked\r\n\r\n", "8000\r\n" + filler + "\r\n"},
		{"body without length", start + signed + "\r\n", filler},
		{"unsigned body", start + "\r\n", filler},
		{"answer to another request", start + psstandin.SignedLines("other") + "Transfer-Encoding: chunked\r\n\r\n", "8000\r\n" + filler + "\r\n"},
	}
	for _, tt := range tests {
		for speed, pause := range map[string]time.Duration{"fast": 0, "slow": 200 * time.Millisecond} {
			t.Run(tt.name+" "+speed, func(t *testing.T) {
				piece := tt.piece
				if pause > 0 {
					piece = piece[:1]
				}
				b := startBackend(t, endless(tt.head, piece, pause))
				s, v := startGate(t, b)
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				begun := time.Now()
				answer, err := http.DefaultTransport.RoundTrip(request(t, s, http.MethodPost, "/orders/1", "x"))
				if err == nil && answer.StatusCode == http.StatusOK {
					_, err = io.Copy(io.Discard, answer.Body)
					qt.Check(t, err, qt.IsNotNil, qt.Commentf("the answer looks whole"))
				} else if err == nil {
					qt.Check(t, answer.StatusCode == http.StatusBadGateway || answer.StatusCode == http.StatusGatewayTimeout, qt.IsTrue, qt.Commentf("status %d", answer.StatusCode))
					_ = answer.Body.Close()
				}
				qt.Check(t, time.Since(begun) < testConfiguration.Routes[1].Timeout+endlessAllowance, qt.IsTrue, qt.Commentf("took %s", time.Since(begun)))
				runtime.GC()
				runtime.ReadMemStats(&after)
				qt.Check(t, int64(after.HeapAlloc)-int64(before.HeapAlloc) < endlessMemory, qt.IsTrue)
				qt.Check(t, b.count(), qt.Equals, 1)
				eventually(t, "the server is avoided", func() bool {
					w := v.snapshot.Servers["prices"][0].View(time.Now())
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

// TestLongAnswersArriveWhole streams an answer that is not held in memory.
func TestLongAnswersArriveWhole(t *testing.T) {
	body := strings.Repeat("certificate ", 200<<10)
	s, _ := startGate(t, startBackend(t, func(c net.Conn, r *http.Request) bool {
		w := &http.Response{
			StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, ContentLength: int64(len(body)),
			Body: io.NopCloser(strings.NewReader(body)),
		}
		psstandin.Sign(w.Header, psstandin.ReadArrival(r.Header).ID)
		return w.Write(c) == nil
	}))
	for range 2 {
		status, _, got := do(t, request(t, s, http.MethodGet, "/boards/1", ""))
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		qt.Assert(t, got == body, qt.IsTrue, qt.Commentf("%d of %d bytes", len(got), len(body)))
	}
}

// TestACallerThatSendsSlowlyHoldsNothing sends a body byte by byte, for longer than the caller says that
// it waits.
func TestACallerThatSendsSlowlyHoldsNothing(t *testing.T) {
	b := startBackend(t, whole)
	s, _ := startGate(t, b)
	c, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://")) //nolint:noctx // a test's connection
	qt.Assert(t, err, qt.IsNil)
	defer c.Close() //nolint:errcheck // the test is over with it
	begun := time.Now()
	r := request(t, s, http.MethodPost, "/orders/1", "")
	r.Body, r.ContentLength = io.NopCloser(&drip{}), 100
	go func() { _ = r.Write(c) }()
	qt.Assert(t, c.SetReadDeadline(begun.Add(5*time.Second)), qt.IsNil)
	_, err = io.ReadAll(c)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, time.Since(begun) < testConfiguration.Routes[1].Timeout+endlessAllowance, qt.IsTrue, qt.Commentf("took %s", time.Since(begun)))
	qt.Assert(t, b.count(), qt.Equals, 0)
}

// drip is a body that brings a byte now and then.
type drip struct{}

func (*drip) Read(p []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return copy(p, "x"), nil
}

// eventually waits until something holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < 3*time.Second; time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not in time: %s", what)
}
