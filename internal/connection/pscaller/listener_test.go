package pscaller_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/pscaller"
	"persimmonstep/internal/request/psproblem"
)

func newServer(t *testing.T) string {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusBadRequest)
		_, _ = io.WriteString(w, "a handler's own answer")
	}))
	s.Listener = pscaller.Listener(s.Listener)
	s.Config.MaxHeaderBytes = 1 << 10
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func TestUnreadableCallsGetProblems(t *testing.T) {
	address := newServer(t)
	tests := []struct {
		name, text string
		status     int
		code       string
	}{
		{"no HTTP", "hello\r\n\r\n", 400, "malformed"},
		{"bad header", "GET / HTTP/1.1\r\nHost: h\r\nbad header\r\n\r\n", 400, "malformed"},
		{"no host", "GET / HTTP/1.1\r\n\r\n", 400, "malformed"},
		{"two lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400, "malformed"},
		{"unknown coding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: odd\r\n\r\n", 501, "malformed"},
		{"version", "GET / HTTP/3.7\r\nHost: h\r\n\r\n", 505, "malformed"},
		{"header too large", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 8<<10) + "\r\n\r\n", 431, "headerTooLarge"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, text := send(t, address, tt.text)
			qt.Assert(t, a.StatusCode, qt.Equals, tt.status, qt.Commentf("%s", text))
			qt.Assert(t, a.Header.Get("Content-Type"), qt.Equals, "application/problem+json")
			qt.Assert(t, a.Header.Get(psproblem.HeaderRan), qt.Equals, "no")
			qt.Assert(t, a.Header.Get("X-Request-Id"), qt.HasLen, 24)
			var p psproblem.Problem
			qt.Assert(t, json.Unmarshal([]byte(text), &p), qt.IsNil)
			qt.Assert(t, p.Code, qt.Equals, tt.code)
			qt.Assert(t, p.Ran, qt.Equals, psproblem.RanNo)
		})
	}
}

func TestAnswersOfHandlersStayAsTheyAre(t *testing.T) {
	_, text := send(t, newServer(t), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	qt.Assert(t, text, qt.Equals, "a handler's own answer")
}

func send(t *testing.T, address, text string) (*http.Response, string) {
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer c.Close() //nolint:errcheck // the answer was read
	qt.Assert(t, c.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	_, err = io.WriteString(c, text)
	qt.Assert(t, err, qt.IsNil)
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(a.Body)
	qt.Assert(t, err, qt.IsNil)
	return a, string(body)
}
