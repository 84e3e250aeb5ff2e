package psdev_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psdev"
)

// lockedBuffer takes log lines of many goroutines.
type lockedBuffer struct {
	mutex sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) text() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.String()
}

// sendRaw writes a request as it stands and returns the answer.
func sendRaw(t *testing.T, to netip.AddrPort, text string) (*http.Response, string) {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", to.String())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close() //nolint:errcheck // the answer was read
	qt.Assert(t, conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	_, err = conn.Write([]byte(text))
	qt.Assert(t, err, qt.IsNil)
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(a.Body)
	qt.Assert(t, err, qt.IsNil)
	return a, string(body)
}

func TestKeyReachesNoBackendServer(t *testing.T) {
	t.Parallel()
	log := &lockedBuffer{}
	s, stop, err := psdev.New(context.Background(), psdev.Example(), hclog.New(&hclog.LoggerOptions{Output: log, Level: hclog.Trace}))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(stop)
	key, other := s.Ready.Workspaces[0].Key, s.Ready.Workspaces[1].Key
	_, secret, _ := strings.Cut(key, ".")
	_, otherSecret, _ := strings.Cut(other, ".")
	escaped := strings.ReplaceAll(url.QueryEscape(secret), secret[:1], fmt.Sprintf("%%%02x", secret[0]))
	twice := strings.ReplaceAll(escaped, "%", "%25")
	own := "Authorization: Bearer " + key + "\r\n"
	tests := []struct {
		name, target, header, body string
		status                     int
	}{
		{"plain", "/prices/a", own, "", 200},
		{"odd case", "/prices/a", "aUTHORIZATION: bEARER " + key + "\r\n", "", 200},
		{"doubled", "/prices/a", own + own, "", 200},
		{"doubled in another case", "/prices/a", own + "authorization: bearer " + key + "\r\n", "", 200},
		{"two keys", "/prices/a", own + "Authorization: Bearer " + other + "\r\n", "", 400},
		{"two keys in one value", "/prices/a", "Authorization: Bearer " + key + ", Bearer " + other + "\r\n", "", 401},
		{"other scheme", "/prices/a", "Authorization: Basic " + key + "\r\n", "", 400},
		{"proxy header", "/prices/a", own + "Proxy-Authorization: Bearer " + key + "\r\n", "", 200},
		{"query", "/prices/a?token=" + key, own, "", 400},
		{"query without the header", "/public/a?token=" + key, "", "", 400},
		{"query, escaped", "/prices/a?token=" + escaped, own, "", 400},
		{"query, escaped twice", "/prices/a?token=" + twice, own, "", 400},
		{"secret alone", "/prices/a?token=" + secret, own, "", 400},
		{"path", "/prices/" + key, own, "", 400},
		{"path on an open route", "/public/" + key + "/x", "", "", 400},
		{"path, escaped", "/prices/" + escaped, own, "", 400},
		{"other header", "/prices/a", own + "X-Api-Key: " + key + "\r\n", "", 400},
		{"other header, other case", "/prices/a", own + "X-Api-Key: " + strings.ToUpper(secret) + "\r\n", "", 400},
		{"header name", "/prices/a", own + secret + ": 1\r\n", "", 400},
		{"cookie", "/prices/a", own + "Cookie: a=b; session=" + escaped + "\r\n", "", 400},
		{"another workspace's key", "/prices/a", own + "X-Api-Key: " + other + "\r\n", "", 400},
		{"idempotency key", "/orders/a", own + "Idempotency-Key: " + key + "\r\n", "", 400},
		{"named by Connection", "/prices/a", own + "Connection: Authorization\r\n", "", 200},
		{"trailer", "/prices/a", own + "Transfer-Encoding: chunked\r\nTrailer: X-Late\r\n", "1\r\na\r\n0\r\nX-Late: " + key + "\r\nAuthorization: Bearer " + key + "\r\n\r\n", 200},
		{"trailer of an upload", "/photos/a", own + "Transfer-Encoding: chunked\r\nTrailer: X-Late\r\n", "1\r\na\r\n0\r\nX-Late: " + key + "\r\n\r\n", 200},
		{"credentials in the target", "http://" + key + "@host/prices/a", own, "", 200},
		{"host", "http://" + secret + "/prices/a", own, "", 400},
		{"directory", "/.well-known/persimmonstep/vms?workspace=" + secret, own, "", 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := "GET " + tt.target + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + tt.header + "\r\n" + tt.body
			a, body := sendRaw(t, s.Ready.Callers[0], text)
			qt.Assert(t, a.StatusCode, qt.Equals, tt.status, qt.Commentf("%s", body))
			// The stand-in echoes all that it received.
			for _, v := range []string{secret, otherSecret, strings.ToUpper(secret)} {
				qt.Assert(t, body, qt.Not(qt.Contains), v)
			}
			if tt.status >= 400 {
				qt.Assert(t, a.Header.Get("Persimmonstep-Ran"), qt.Equals, "no")
			}
		})
	}
	qt.Assert(t, log.text(), qt.Contains, "request routed")
	for _, v := range []string{secret, otherSecret} {
		qt.Assert(t, log.text(), qt.Not(qt.Contains), v)
	}
}

func TestInternalHeadersAreTheSystemsOwn(t *testing.T) {
	s := start(t)
	w := s.Ready.Workspaces[0]
	text := "GET /prices/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer " + w.Key + "\r\n" +
		"x-workspace: forged\r\nX_Workspace: forged\r\nX-Deadline-Millis: forged\r\nX-Request-Id: forged\r\n" +
		"Persimmonstep-Secret: forged\r\nX-Not-Run: forged\r\nX-Load: forged\r\nX-Draining: forged\r\nExpect: forged\r\n\r\n"
	a, body := sendRaw(t, s.Ready.Callers[0], strings.Replace(text, "Expect: forged\r\n", "", 1))
	qt.Assert(t, a.StatusCode, qt.Equals, http.StatusOK)
	qt.Assert(t, body, qt.Not(qt.Contains), "forged")
	qt.Assert(t, body, qt.Contains, `"workspace":"`+string(w.Name)+`"`)
	for _, n := range []string{"X-Workspace", "X-Load", "X-Draining", "X-Not-Run"} {
		qt.Check(t, a.Header.Get(n), qt.Equals, "", qt.Commentf("%s", n))
	}
}
