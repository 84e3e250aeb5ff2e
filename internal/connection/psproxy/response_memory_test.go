package psproxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/psbudget"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/platform/psstandin"
)

const (
	// hostileCallers is the number of requests that hostile servers respond to at the same time.
	hostileCallers = 60
	// hostileBudget is the memory budget in bytes, and maxHostileHeap what the heap may grow by, which includes the buffers
	// of the connections at both ends.
	hostileBudget  = 4 << 20
	maxHostileHeap = 16 << 20
	// piecePause is the least pause between two pieces, because the stand-ins would otherwise use all processor time of the
	// process that they share with the VM.
	piecePause = 5 * time.Millisecond
	// maxOrdinaryTime is the time limit of ordinary requests, long enough for a process that has little processor time.
	maxOrdinaryTime = 3 * time.Second
)

// TestHostileResponsesStayWithinBudget covers servers whose responses take much memory, at once or slowly, each within the
// limits on its own. What is held stays within the budget, an ordinary request is answered meanwhile, no part of a
// response counts as complete, and nothing is kept afterwards.
func TestHostileResponsesStayWithinBudget(t *testing.T) {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	signed := psstandin.SignedLines("id-1")
	shortLines := strings.Repeat("a:\r\n", 1400)
	unique := ""
	for n := range 1400 {
		unique += fmt.Sprintf("%x:\r\n", n)
	}
	filler := strings.Repeat("x", 32<<10)
	for _, tt := range []struct{ name, head, piece string }{
		{"short header lines", statusLine + signed + strings.Repeat(shortLines, 10), "\r\n"},
		{"header lines with a body", statusLine + signed + unique + "Content-Length: 500000\r\n\r\n" + strings.Repeat("x", 499999), ""},
		{"long header", statusLine + signed + "X: " + strings.Repeat("x", 60<<10) + "\r\nContent-Length: 500000\r\n\r\n" + filler, ""},
		{"endless header", statusLine, "X-A: " + filler[:1000] + "\r\n"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n" + shortLines + "\r\n"},
		{"body that stalls", statusLine + signed + "Content-Length: 500000\r\n\r\n" + strings.Repeat("x", 499999), ""},
		{"body in chunks that stalls", statusLine + signed + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("8000\r\n"+filler+"\r\n", 15), ""},
		{"body without end", statusLine + signed + "\r\n", filler},
		{"short chunks", statusLine + signed + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 1000)},
		{"chunk extensions", statusLine + signed + "Transfer-Encoding: chunked\r\n\r\n", "1;" + filler[:3000] + "\r\nx\r\n"},
		{"chunk size", statusLine + signed + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"trailer", statusLine + signed + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + shortLines, "a:\r\n"},
		{"response to another request", statusLine + psstandin.SignedLines("other") + unique + "Transfer-Encoding: chunked\r\n\r\n", "8000\r\n" + filler + "\r\n"},
	} {
		for speed, pause := range map[string]time.Duration{"at once": 0, "slowly": 100 * time.Millisecond} {
			t.Run(tt.name+" "+speed, func(t *testing.T) {
				s, budget := startBudgeted(t, startBackend(t, hostileResponse(tt.head, tt.piece, pause)), startBackend(t, respondOK))
				heap := liveHeap()
				var callers sync.WaitGroup
				for range hostileCallers {
					callers.Go(func() {
						response, err := http.DefaultTransport.RoundTrip(request(t, s, http.MethodPost, "/orders/1", "x"))
						if err != nil {
							return
						}
						defer response.Body.Close() //nolint:errcheck // the body was read
						_, err = io.Copy(io.Discard, response.Body)
						qt.Check(t, response.StatusCode >= 500 || err != nil, qt.IsTrue, qt.Commentf("status %d, complete", response.StatusCode))
					})
				}
				done := make(chan struct{})
				go func() {
					defer close(done)
					callers.Wait()
				}()
				for ended := false; !ended; {
					start := time.Now()
					ordinary := request(t, s, http.MethodGet, "/boards/1", "")
					headers := callerHeaders
					headers.Left = maxOrdinaryTime
					psstandin.WriteRequestHeaders(ordinary.Header, headers)
					status, _, _ := do(t, ordinary)
					qt.Check(t, status, qt.Equals, http.StatusOK)
					qt.Check(t, time.Since(start) < maxOrdinaryTime, qt.IsTrue, qt.Commentf("ordinary request took %s", time.Since(start)))
					qt.Check(t, budget.Usage().Used <= hostileBudget, qt.IsTrue)
					grown := liveHeap() - heap
					qt.Check(t, grown < maxHostileHeap, qt.IsTrue, qt.Commentf("heap grew by %d bytes", grown))
					select {
					case <-done:
						ended = true
					case <-time.After(50 * time.Millisecond):
					}
				}
				eventually(t, "nothing is held", func() bool { return budget.Usage().Used == 0 })
			})
		}
	}
}

// hostileResponse writes a head, and then a piece repeatedly, or nothing if the piece is empty. A slow one writes single
// bytes after the first half of the head.
func hostileResponse(head, piece string, pause time.Duration) responder {
	// These are shared by all connections, and nothing is allocated per write, because that would count as memory of the VM.
	first, next := []byte(head), []byte(piece)
	return func(c net.Conn, _ *http.Request) bool {
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = io.Copy(io.Discard, c)
		}()
		text := first
		if pause > 0 {
			_, _ = c.Write(text[:len(text)/2])
			text = text[len(text)/2:]
		}
		for ; ; text = next {
			n := len(text)
			if pause > 0 {
				n = min(n, 1)
			}
			if _, err := c.Write(text[:n]); err != nil {
				return false
			}
			if len(next) == 0 {
				<-ended
				return false
			}
			time.Sleep(max(pause, piecePause))
		}
	}
}

// startBudgeted starts a proxy whose connections have accounts of a budget. Orders go to the first server, and boards to the
// second one.
func startBudgeted(t *testing.T, hostile, ordinary *backend) (*httptest.Server, *psbudget.Budget) {
	t.Helper()
	first, control := startProxy(t, hostile)
	v := testConfiguration
	v.Services = append(v.Services, psconfig.Service{Name: "ordinary", MaxConnections: 100})
	v.Routes = []psconfig.Route{testRoute("boards", "/boards/", psconfig.Idempotent), testRoute("orders", "/orders/", psconfig.AtMostOnce)}
	v.Routes[0].Backends = []psconfig.Backend{{Service: "ordinary", Weight: 1}}
	v.Routes[0].Timeout = maxOrdinaryTime
	v.Services[0].MaxConnections = 1000
	control.snapshot.Index = psconfig.NewIndex(&v)
	entry := psserver.Entry{ID: "o-1", Service: "ordinary", Slots: 5, FailureDomain: "north-a", Address: netip.MustParseAddrPort(ordinary.listener.Addr().String())}
	control.snapshot.Servers["ordinary"] = []*psserver.Server{psserver.New(entry, "north", time.Now())}
	large := control.snapshot.Servers["prices"][0].Entry()
	large.Slots = 2 * hostileCallers
	control.snapshot.Servers["prices"] = []*psserver.Server{psserver.New(large, "north", time.Now())}
	return serveBudgeted(t, first.Config.Handler)
}

// serveBudgeted serves a handler with a budget.
func serveBudgeted(t *testing.T, h http.Handler) (*httptest.Server, *psbudget.Budget) {
	t.Helper()
	budget := psbudget.New(hostileBudget, time.Now)
	return serve(t, h, budget), budget
}

// liveHeap returns the size of the objects in use, in bytes.
func liveHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestUnreadResponseIsTruncated covers callers that read too slowly while there is no memory to buffer: the server aborts the
// response, and the caller must not get the part as a complete one.
func TestUnreadResponseIsTruncated(t *testing.T) {
	const length = 32 << 20
	chunk := strings.Repeat("x", 64<<10)
	for name, v := range map[string]struct{ head, piece string }{
		"length":      {fmt.Sprintf("Content-Length: %d\r\n\r\n", length), chunk},
		"chunks":      {"Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + chunk + "\r\n"},
		"no length":   {"\r\n", chunk},
		"short parts": {fmt.Sprintf("Content-Length: %d\r\n\r\n", length), chunk[:1000]},
	} {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(name+" HTTP "+version, func(t *testing.T) {
				t.Parallel()
				aborted := make(chan struct{})
				first, control := startProxy(t, startBackend(t, func(c net.Conn, _ *http.Request) bool {
					defer close(aborted)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+psstandin.SignedLines("id-1")+v.head)
					for range length / len(v.piece) {
						_ = c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
						if _, err := io.WriteString(c, v.piece); err != nil {
							break
						}
					}
					_ = c.(*net.TCPConn).SetLinger(0)
					return false
				}))
				allowLongUploads(control, closeDelimitedTimeout)
				s, budget := serveBudgeted(t, first.Config.Handler)
				others, closeOthers := budget.Open(func() {})
				defer closeOthers()
				for granted := true; granted; {
					granted = others.Take(64 << 10)
				}
				c, err := net.Dial("tcp", s.Listener.Addr().String()) //nolint:noctx // a test's connection
				qt.Assert(t, err, qt.IsNil)
				defer c.Close() //nolint:errcheck // the test is over with it
				h := http.Header{}
				psstandin.WriteRequestHeaders(h, callerHeaders)
				var head strings.Builder
				_ = h.Write(&head)
				_, err = fmt.Fprintf(c, "GET /boards/1 HTTP/%s\r\nHost: eggs.test\r\n%s\r\n", version, head.String())
				qt.Assert(t, err, qt.IsNil)
				<-aborted
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				qt.Assert(t, err, qt.IsNil)
				n, err := io.Copy(io.Discard, response.Body)
				qt.Assert(t, err, qt.IsNotNil, qt.Commentf("status %d, %d bytes", response.StatusCode, n))
			})
		}
	}
}

// TestReplacedResponseIsReturnedToBudget covers a connection that stays open after a response was replaced by that of a retry,
// or after an attempt without a response: nothing may remain drawn.
func TestReplacedResponseIsReturnedToBudget(t *testing.T) {
	for name, respond := range map[string]responder{
		"server error": func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\n"+psstandin.SignedLines("id-1")+"Content-Length: 9000\r\n\r\n"+strings.Repeat("x", 9000))
			return true
		},
		"truncated": func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+psstandin.SignedLines("id-1")+strings.Repeat("a:\r\n", 100)+"Content-Length: 9000\r\n\r\nx")
			return false
		},
		"unsigned": func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+strings.Repeat("a:\r\n", 100)+"Content-Length: 1\r\n\r\nx")
			return true
		},
		"other request": func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+psstandin.SignedLines("other")+strings.Repeat("a:\r\n", 100)+"Content-Length: 1\r\n\r\nx")
			return false
		},
		"not executed": respondNotExecuted,
	} {
		t.Run(name, func(t *testing.T) {
			var received atomic.Int32
			one := func(c net.Conn, r *http.Request) bool {
				if received.Add(1)%2 == 1 {
					return respond(c, r)
				}
				return respondOK(c, r)
			}
			first, _ := startProxy(t, startBackend(t, one), startBackend(t, one))
			s, budget := serveBudgeted(t, first.Config.Handler)
			status, _, _ := do(t, request(t, s, http.MethodGet, "/boards/1", ""))
			qt.Assert(t, status, qt.Equals, http.StatusOK)
			qt.Assert(t, received.Load(), qt.Equals, int32(2))
			eventually(t, "nothing is held", func() bool { return budget.Usage().Used == 0 })
			qt.Assert(t, budget.Usage().Accounts, qt.Equals, 1)
		})
	}
}
