package pstransport_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"persimmonstep/internal/connection/pstransport"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// connHandler serves one connection of a server. It reads the requests and writes the raw responses.
type connHandler func(c net.Conn, r *bufio.Reader)

// newServer starts a server that runs the handler on each connection. It returns the address and a function that
// returns the number of accepted connections.
func newServer(t *testing.T, h connHandler) (netip.AddrPort, func() int) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var mutex sync.Mutex
	var serving sync.WaitGroup
	var open []net.Conn
	serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mutex.Lock()
			open = append(open, c)
			mutex.Unlock()
			serving.Go(func() {
				h(c, bufio.NewReader(c))
				_ = c.Close()
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		mutex.Lock()
		for _, c := range open {
			_ = c.Close()
		}
		mutex.Unlock()
		serving.Wait()
	})
	return netip.MustParseAddrPort(l.Addr().String()), func() int {
		mutex.Lock()
		defer mutex.Unlock()
		return len(open)
	}
}

// respondWith responds to each request on a connection with the same text. It closes the connection after a text that
// contains "close".
func respondWith(text string) connHandler {
	return func(c net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
			if _, err := io.WriteString(c, strings.ReplaceAll(text, "PATH", q.URL.Path)); err != nil || strings.Contains(text, "close") {
				return
			}
		}
	}
}

func newTransport(t *testing.T) *pstransport.Transport {
	s, clean := pstransport.New()
	t.Cleanup(clean)
	return s
}

func request(method, path string) *http.Request {
	r, err := http.NewRequest(method, "http://backend"+path, nil) //nolint:noctx // Send carries the context
	if err != nil {
		panic(err)
	}
	return r
}

// fetch sends a request and reads its response.
func fetch(ctx context.Context, s *pstransport.Transport, to netip.AddrPort, limit int, r *http.Request) (pstransport.Result, string, error) {
	result, err := s.Send(ctx, to, limit, r)
	if err != nil {
		return result, "", err
	}
	defer result.Response.Body.Close() //nolint:errcheck // the body was read
	body, err := io.ReadAll(result.Response.Body)
	return result, string(body), err
}

func TestSendOutcomeByResponse(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	tests := []struct {
		name, method, text string
		status             int
		body, fault        string
		// reused says that the second request must use the connection of the first one.
		reused bool
	}{
		{"whole", "GET", whole, 200, "whole", "", true},
		{"chunked", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", 200, "whole", "", true},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", 200, "", "", true},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, "", "", true},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", 304, "", "", true},
		{"informational first", "GET", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + whole, 200, "whole", "", true},
		{"connection close", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole", 200, "whole", "", false},
		{"two responses at once", "GET", whole + "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ncrossed", 200, "whole", "", false},
		{"more bytes than the length", "GET", whole + "x", 200, "whole", "", false},
		{"short length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\nX: close\r\n\r\nhalf", 200, "half", "unexpected EOF", false},
		{"short chunk", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: close\r\n\r\n50\r\nhalf", 200, "half", "unexpected EOF", false},
		{"no last chunk", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: close\r\n\r\n4\r\nhalf\r\n", 200, "half", "unexpected EOF", false},
		{"no length", "GET", "HTTP/1.1 200 OK\r\nX: close\r\n\r\nhalf", 200, "half", "unexpected EOF", false},
		{"no header", "GET", "close"[:0] + "\r\n\r\nclose", 0, "", "malformed.*", false},
		{"malformed", "GET", "HTTP/1.1 2x0 OK\r\n\r\n", 0, "", "malformed.*", false},
		{"two lengths", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nwhole", 0, "", ".*Content-Length.*", false},
		{"upgrade", "GET", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", 0, "", "read response: unexpected 101 Switching Protocols", false},
		{"endless informational", "GET", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20), 0, "", "read response: too many informational responses", false},
		{"huge header", "GET", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20) + "\r\n\r\n", 0, "", "unexpected EOF", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			to, connections := newServer(t, respondWith(tt.text))
			s := newTransport(t)
			for range 2 {
				result, body, err := fetch(t.Context(), s, to, 5, request(tt.method, "/a"))
				qt.Assert(t, result.Sent, qt.IsTrue)
				qt.Assert(t, body, qt.Equals, tt.body)
				if tt.fault != "" {
					qt.Assert(t, err, qt.ErrorMatches, tt.fault)
				} else {
					qt.Assert(t, err, qt.IsNil)
				}
				if tt.status != 0 {
					qt.Assert(t, result.Response.StatusCode, qt.Equals, tt.status)
				}
			}
			if tt.reused {
				qt.Assert(t, connections(), qt.Equals, 1)
			} else {
				qt.Assert(t, connections(), qt.Equals, 2)
			}
		})
	}
}

func TestResponseTrailersArrive(t *testing.T) {
	to, _ := newServer(t, respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n1\r\na\r\n0\r\nX-Sum: 7\r\n\r\n"))
	result, _, err := fetch(t.Context(), newTransport(t), to, 1, request("GET", "/"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, result.Response.Trailer.Get("X-Sum"), qt.Equals, "7")
}

func TestTimedOutConnectionIsNotReused(t *testing.T) {
	release := make(chan struct{})
	to, connections := newServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if q.URL.Path == "/late" {
				<-release
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(q.URL.Path), q.URL.Path)
		}
	})
	s := newTransport(t)
	_, body, err := fetch(t.Context(), s, to, 1, request("GET", "/first"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "/first")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	result, _, err := fetch(ctx, s, to, 1, request("GET", "/late"))
	qt.Assert(t, err, qt.ErrorIs, context.DeadlineExceeded)
	qt.Assert(t, result.Sent, qt.IsTrue)
	close(release)
	for range 20 {
		_, body, err = fetch(t.Context(), s, to, 1, request("GET", "/next"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "/next")
	}
	qt.Assert(t, connections(), qt.Equals, 2)
}

func TestClosedConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 10)
	to, connections := newServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		_ = c.Close()
		closed <- struct{}{}
	})
	s := newTransport(t)
	for range 3 {
		_, _, err := fetch(t.Context(), s, to, 1, request("GET", "/"))
		qt.Assert(t, err, qt.IsNil)
		<-closed
	}
	qt.Assert(t, connections(), qt.Equals, 3)
}

func TestRefusedDialSendsNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a test's listener
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, l.Close(), qt.IsNil)
	s := newTransport(t)
	to := netip.MustParseAddrPort(l.Addr().String())
	for _, limit := range []int{1, 0} {
		result, _, err := fetch(t.Context(), s, to, limit, request("GET", "/"))
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, result.Sent, qt.IsFalse)
		qt.Assert(t, s.OpenConnections(to), qt.Equals, 0)
	}
}

func TestConnectionLimit(t *testing.T) {
	to, connections := newServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	s := newTransport(t)
	var sending sync.WaitGroup
	for i := range 40 {
		sending.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			if i%4 == 0 {
				// Some calls are canceled while they wait, which must not leak connections.
				time.AfterFunc(time.Duration(i)*100*time.Microsecond, cancel)
			}
			defer cancel()
			_, _, err := fetch(ctx, s, to, 3, request("GET", "/"))
			if i%4 != 0 {
				qt.Check(t, err, qt.IsNil)
			}
		})
	}
	sending.Wait()
	qt.Assert(t, s.OpenConnections(to) <= 3, qt.IsTrue)
	_, _, err := fetch(t.Context(), s, to, 3, request("GET", "/"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, connections() <= 3+10, qt.IsTrue)
	s.Retain(func(netip.AddrPort) bool { return false })
	qt.Assert(t, s.OpenConnections(to), qt.Equals, 0)
}

func TestTimeoutInConnectionQueueSendsNothing(t *testing.T) {
	to, _ := newServer(t, func(_ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
	s := newTransport(t)
	busy, cancelBusy := context.WithCancel(t.Context())
	var sending sync.WaitGroup
	sending.Go(func() { _, _, _ = fetch(busy, s, to, 1, request("GET", "/")) })
	for s.OpenConnections(to) == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	result, _, err := fetch(ctx, s, to, 1, request("GET", "/"))
	qt.Assert(t, err, qt.ErrorIs, context.DeadlineExceeded)
	qt.Assert(t, result.Sent, qt.IsFalse)
	cancelBusy()
	sending.Wait()
}

func TestDedicatedConnectionIsNotReused(t *testing.T) {
	to, connections := newServer(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	s := newTransport(t)
	for range 2 {
		_, body, err := fetch(t.Context(), s, to, 0, request("GET", "/"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "ok")
	}
	qt.Assert(t, connections(), qt.Equals, 2)
	qt.Assert(t, s.OpenConnections(to), qt.Equals, 0)
}

// blockingBody returns some bytes and then blocks until end is closed, after which it returns its error.
type blockingBody struct {
	first  io.Reader
	end    chan struct{}
	fault  error
	closed chan struct{}
}

func (b *blockingBody) Read(p []byte) (int, error) {
	if n, err := b.first.Read(p); err == nil {
		return n, nil
	}
	<-b.end
	return 0, b.fault
}

func (b *blockingBody) Close() error {
	close(b.closed)
	return nil
}

func upload(b io.ReadCloser, length int64) *http.Request {
	r := request("POST", "/")
	r.Body, r.ContentLength = b, length
	return r
}

func TestBodyIsStreamed(t *testing.T) {
	got := make(chan string, 1)
	to, _ := newServer(t, func(c net.Conn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		b := make([]byte, 3)
		_, _ = io.ReadFull(q.Body, b)
		got <- string(b)
		// The response is sent before the request has ended.
		_, _ = io.WriteString(c, "HTTP/1.1 413 Content Too Large\r\nContent-Length: 5\r\n\r\nlarge")
		_, _ = io.Copy(io.Discard, r)
	})
	s := newTransport(t)
	b := &blockingBody{first: strings.NewReader("abc"), end: make(chan struct{}), fault: io.EOF, closed: make(chan struct{})}
	result, body, err := fetch(t.Context(), s, to, 1, upload(b, -1))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, <-got, qt.Equals, "abc")
	qt.Assert(t, body, qt.Equals, "large")
	qt.Assert(t, result.Response.StatusCode, qt.Equals, 413)
	// The request was not sent completely, so the connection must not be reused.
	qt.Assert(t, s.OpenConnections(to), qt.Equals, 0)
	close(b.end)
	<-b.closed
}

func TestBodyReadErrorIsReported(t *testing.T) {
	broken := errors.New("caller disconnected")
	for _, length := range []int64{-1, 10} {
		to, _ := newServer(t, func(_ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
		b := &blockingBody{first: strings.NewReader("abc"), end: make(chan struct{}), fault: broken, closed: make(chan struct{})}
		close(b.end)
		result, _, err := fetch(t.Context(), newTransport(t), to, 1, upload(b, length))
		qt.Assert(t, err, qt.ErrorIs, broken)
		qt.Assert(t, result.Sent, qt.IsTrue)
		<-b.closed
	}
}

func BenchmarkSend(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a benchmark's listener
	qt.Assert(b, err, qt.IsNil)
	defer l.Close() //nolint:errcheck // ends the server
	go func() {
		c, err := l.Accept()
		if err == nil {
			respondWith("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")(c, bufio.NewReader(c))
		}
	}()
	s, clean := pstransport.New()
	defer clean()
	b.ReportAllocs()
	for b.Loop() {
		_, _, err := fetch(context.Background(), s, netip.MustParseAddrPort(l.Addr().String()), 1, request("GET", "/a"))
		if err != nil {
			b.Fatal(err)
		}
	}
}
