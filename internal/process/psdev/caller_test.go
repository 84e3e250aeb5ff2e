package psdev_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/net/http2"

	"persimmonstep/internal/process/psdev"
	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/version/psversion"
)

// routeDeadline bounds the runs on the routes of these tests.
const routeDeadline = "700ms"

// requestTimeout bounds each request of a test, so that none hangs.
const requestTimeout = 30 * time.Second

// backend is a backend server that answers as a test wants, in one slot.
type backend struct {
	system *psdev.System
	// path is what its route begins with.
	path string
	// conns counts its connections.
	conns atomic.Int64
}

// attach puts a backend server with a route of its own behind the VMs. It has one slot, so
// that a slot which is not given back shows in the next request.
func attach(t *testing.T, s *psdev.System, name, kind string, script func(c net.Conn, r *bufio.Reader)) *backend {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	b := &backend{system: s, path: "/" + name + "/"}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.conns.Add(1)
			go func() {
				script(c, bufio.NewReader(c))
				_ = c.Close()
			}()
		}
	}()
	text := fmt.Sprintf(`document = %q
[[servers]]
name = %q
failureDomain = %q
address = %q
pool = %q
slots = 1
[[routes]]
name = %q
prefix = %q
kind = %q
pool = %q
deadline = %q
maxBodyBytes = 100000
`, name, name, s.Ready.Servers[0].FailureDomain, l.Addr(), name, name, b.path, kind, name, routeDeadline)
	client, clean := psplatform.NewClient(s.Ready.Platform)
	defer clean()
	store := &psversion.Store{Platform: client, Now: time.Now}
	h, err := store.Apply(t.Context(), psversion.Change{OperationID: name, Author: "test", Put: map[string]string{name: text}})
	qt.Assert(t, err, qt.IsNil)
	eventually(t, func() bool { return s.VMs[0].Version() >= h.Version && b.usable(t) })
	return b
}

// usable asks the VM whether a request would be sent now.
func (b *backend) usable(t *testing.T) bool {
	token, err := os.ReadFile(b.system.Ready.OperatorTokenFile)
	qt.Assert(t, err, qt.IsNil)
	in := fmt.Sprintf(`{"path":%q,"workspace":%q}`, b.path, b.system.Ready.Workspaces[0].Name)
	r, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+b.system.Ready.Operators[0].String()+"/v1/explain", strings.NewReader(in))
	qt.Assert(t, err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	r.Header.Set("Content-Type", "application/json")
	a, err := http.DefaultClient.Do(r)
	qt.Assert(t, err, qt.IsNil)
	defer a.Body.Close() //nolint:errcheck // the body was read
	text, err := io.ReadAll(a.Body)
	qt.Assert(t, err, qt.IsNil)
	return strings.Contains(string(text), `"action":"send"`)
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue)
	}
}

func (b *backend) request(t *testing.T, method, path string, body io.Reader) *http.Request {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
	t.Cleanup(cancel)
	r, err := http.NewRequestWithContext(ctx, method, "http://"+b.system.Ready.Callers[0].String()+b.path+path, body)
	qt.Assert(t, err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+b.system.Ready.Workspaces[0].Key)
	return r
}

// clients are the protocols that callers may speak.
func clients(t *testing.T) map[string]*http.Client {
	plain := &http.Transport{DisableCompression: true}
	h2 := &http2.Transport{AllowHTTP: true, DialTLSContext: func(ctx context.Context, network, address string, _ *tls.Config) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	t.Cleanup(plain.CloseIdleConnections)
	t.Cleanup(h2.CloseIdleConnections)
	return map[string]*http.Client{"HTTP/1.1": {Transport: plain}, "HTTP/2": {Transport: h2}}
}

// respond answers each request with the text of its path.
func respond(texts map[string]string) func(c net.Conn, r *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			name := q.URL.Path[strings.LastIndexByte(q.URL.Path, '/')+1:]
			if _, err := io.WriteString(c, texts[name]); err != nil || strings.HasPrefix(name, "cut") {
				return
			}
		}
	}
}

func TestAnswersReachCallersWholeOrNotAtAll(t *testing.T) {
	t.Parallel()
	s := start(t)
	const large = 200 << 10
	body := strings.Repeat("x", large)
	b := attach(t, s, "raw", "lookup", respond(map[string]string{
		"whole":       fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", large, body),
		"chunked":     fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum, X-Load\r\n\r\n%x\r\n%s\r\n0\r\nX-Sum: 7\r\nX-Load: 9\r\n\r\n", large, body),
		"cutlength":   fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*large, body),
		"cutchunk":    fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", large, body),
		"cutendless":  "HTTP/1.1 200 OK\r\n\r\n" + body,
		"cutshort":    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
		"stalled":     fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*large, body),
		"malformed":   "HTTP/1.1 abc\r\n\r\n",
		"nocontent":   "HTTP/1.1 204 No Content\r\nX-Load: 1\r\nX-Draining: 1\r\nX-Not-Run: 1\r\nX-Workspace: w\r\nPersimmonstep-Ran: no\r\n\r\n",
		"notmodified": "HTTP/1.1 304 Not Modified\r\nEtag: \"e\"\r\n\r\n",
		"early":       "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	}))
	tests := []struct {
		path   string
		status int
		bytes  int
		broken bool
	}{
		{"whole", 200, large, false},
		{"chunked", 200, large, false},
		{"cutlength", 200, 0, true},
		{"cutchunk", 200, 0, true},
		{"cutendless", 200, 0, true},
		{"cutshort", 502, -1, false},
		{"stalled", 200, 0, true},
		{"malformed", 502, -1, false},
		{"nocontent", 204, 0, false},
		{"notmodified", 304, 0, false},
		{"early", 200, 2, false},
	}
	for protocol, client := range clients(t) {
		for _, tt := range tests {
			t.Run(protocol+" "+tt.path, func(t *testing.T) {
				// One target for each client: a repeat of an answer that broke off is quarantined.
				a, err := client.Do(b.request(t, "GET", tt.path+"?by="+url.QueryEscape(protocol), nil))
				qt.Assert(t, err, qt.IsNil)
				defer a.Body.Close() //nolint:errcheck // the body was read
				text, err := io.ReadAll(a.Body)
				qt.Assert(t, a.StatusCode, qt.Equals, tt.status, qt.Commentf("%s", text))
				if tt.broken {
					qt.Assert(t, err, qt.IsNotNil)
					return
				}
				qt.Assert(t, err, qt.IsNil)
				if tt.bytes >= 0 {
					qt.Assert(t, len(text), qt.Equals, tt.bytes)
				} else {
					qt.Assert(t, string(text), qt.Contains, `"ran":"unknown"`)
				}
				for _, n := range []string{"X-Load", "X-Draining", "X-Not-Run", "X-Workspace"} {
					qt.Check(t, a.Header.Get(n), qt.Equals, "", qt.Commentf("%s", n))
				}
				if tt.path == "chunked" {
					qt.Assert(t, a.Trailer, qt.DeepEquals, http.Header{"X-Sum": {"7"}})
				}
				qt.Assert(t, a.Header.Get("X-Request-Id"), qt.Not(qt.Equals), "")
			})
		}
		t.Run(protocol+" HEAD", func(t *testing.T) {
			a, err := client.Do(b.request(t, "HEAD", "whole", nil))
			qt.Assert(t, err, qt.IsNil)
			_ = a.Body.Close()
			qt.Assert(t, a.ContentLength, qt.Equals, int64(large))
		})
	}
}

func TestUploadStreamsBothWays(t *testing.T) {
	t.Parallel()
	s := start(t)
	b := attach(t, s, "duplex", "upload", func(c net.Conn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		part := make([]byte, 4)
		for {
			if _, err := io.ReadFull(q.Body, part); err != nil {
				break
			}
			_, _ = fmt.Fprintf(c, "4\r\n%s\r\n", bytes.ToUpper(part))
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	})
	for protocol, client := range clients(t) {
		t.Run(protocol, func(t *testing.T) {
			reader, writer := io.Pipe()
			a, err := client.Do(b.request(t, "POST", "x", reader))
			qt.Assert(t, err, qt.IsNil)
			defer a.Body.Close() //nolint:errcheck // the body was read
			part := make([]byte, 4)
			for range 5 {
				_, err := io.WriteString(writer, "part")
				qt.Assert(t, err, qt.IsNil)
				_, err = io.ReadFull(a.Body, part)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(part), qt.Equals, "PART")
				// The whole takes longer than the deadline, each part does not.
				time.Sleep(200 * time.Millisecond)
			}
			_ = writer.Close()
			rest, err := io.ReadAll(a.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, rest, qt.HasLen, 0)
		})
	}
}

// TestUploadThatIsAnsweredEarlyEndsItsConnection covers a panic of the HTTP server, which read
// the rest of a full-duplex body after the handler.
func TestUploadThatIsAnsweredEarlyEndsItsConnection(t *testing.T) {
	t.Parallel()
	s := start(t)
	b := attach(t, s, "early", "upload", func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	reader, writer := io.Pipe()
	defer writer.Close() //nolint:errcheck // ends the upload
	a, err := clients(t)["HTTP/1.1"].Do(b.request(t, "POST", "x", reader))
	qt.Assert(t, err, qt.IsNil)
	defer a.Body.Close() //nolint:errcheck // the body was read
	text, err := io.ReadAll(a.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(text), qt.Equals, "ok")
	qt.Assert(t, a.Close, qt.IsTrue)
}

// stalls brings some bytes and then nothing until the test ends.
type stalls struct {
	first io.Reader
	done  <-chan struct{}
}

func (s stalls) Read(p []byte) (int, error) {
	if n, err := s.first.Read(p); err == nil {
		return n, nil
	}
	<-s.done
	return 0, io.ErrUnexpectedEOF
}

func TestStalledExchangesGetAClearEnd(t *testing.T) {
	t.Parallel()
	s := start(t)
	silent := func(_ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) }
	kinds := map[string]*backend{
		"upload": attach(t, s, "silent-upload", "upload", silent),
		"lookup": attach(t, s, "silent-lookup", "lookup", silent),
	}
	many := strings.Repeat("x", 50<<10)
	tests := []struct {
		name, kind string
		body       func(done <-chan struct{}) io.Reader
		status     int
		code, ran  string
	}{
		{"caller stalls", "upload", func(d <-chan struct{}) io.Reader { return stalls{strings.NewReader(many), d} }, 408, "uploadStalled", "unknown"},
		{"backend server stalls", "upload", func(<-chan struct{}) io.Reader { return strings.NewReader(many) }, 504, "timeout", "unknown"},
		{"no body, backend server stalls", "upload", func(<-chan struct{}) io.Reader { return nil }, 504, "timeout", "unknown"},
		{"upload too large", "upload", func(<-chan struct{}) io.Reader { return strings.NewReader(many + many) }, 413, "bodyTooLarge", "no"},
		{"upload too large without length", "upload", func(<-chan struct{}) io.Reader { return io.MultiReader(strings.NewReader(many + many)) }, 413, "bodyTooLarge", "unknown"},
		{"lookup stalls", "lookup", func(<-chan struct{}) io.Reader { return nil }, 504, "timeout", "unknown"},
		{"slow body", "lookup", func(d <-chan struct{}) io.Reader { return stalls{strings.NewReader(many), d} }, 408, "slowBody", "no"},
		{"body too large", "lookup", func(<-chan struct{}) io.Reader { return strings.NewReader(many + many) }, 413, "bodyTooLarge", "no"},
		{"body too large without length", "lookup", func(<-chan struct{}) io.Reader { return io.MultiReader(strings.NewReader(many + many)) }, 413, "bodyTooLarge", "no"},
	}
	for protocol, client := range clients(t) {
		for _, tt := range tests {
			t.Run(protocol+" "+tt.name, func(t *testing.T) {
				done := make(chan struct{})
				a, err := client.Do(kinds[tt.kind].request(t, "POST", "x", tt.body(done)))
				// Closing the answer waits for the body's reader.
				defer func() {
					close(done)
					if err == nil {
						_ = a.Body.Close()
					}
				}()
				qt.Assert(t, err, qt.IsNil)
				text, err := io.ReadAll(a.Body)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, a.StatusCode, qt.Equals, tt.status, qt.Commentf("%s", text))
				qt.Assert(t, string(text), qt.Contains, `"code":"`+tt.code+`"`)
				qt.Assert(t, a.Header.Get("Persimmonstep-Ran"), qt.Equals, tt.ran)
			})
		}
	}
}

func TestCancellationReachesTheBackendServer(t *testing.T) {
	t.Parallel()
	s := start(t)
	arrived, closed := make(chan struct{}), make(chan struct{})
	b := attach(t, s, "cancel", "lookup", func(_ net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		arrived <- struct{}{}
		_, _ = r.ReadByte()
		closed <- struct{}{}
	})
	for protocol, client := range clients(t) {
		t.Run(protocol, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-arrived
				cancel()
			}()
			began := time.Now()
			_, err := client.Do(b.request(t, "GET", "x", nil).WithContext(ctx))
			qt.Assert(t, err, qt.ErrorIs, context.Canceled)
			<-closed
			qt.Assert(t, time.Since(began) < 600*time.Millisecond, qt.IsTrue)
		})
	}
}

func TestUnreadableCallsGetProblems(t *testing.T) {
	s := start(t)
	to := netip.MustParseAddrPort(s.Ready.Callers[0].String())
	a, text := sendRaw(t, to, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 100<<10)+"\r\n\r\n")
	qt.Assert(t, a.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	qt.Assert(t, text, qt.Contains, `"ran":"no"`)
	a, text = sendRaw(t, to, "GET nonsense\r\n\r\n")
	qt.Assert(t, a.StatusCode, qt.Equals, http.StatusBadRequest)
	qt.Assert(t, text, qt.Contains, `"ran":"no"`)
}
