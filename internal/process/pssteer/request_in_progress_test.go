package pssteer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/platform/psheader"
	"persimmonstep/platform/psstandin"
)

// slowRequest sends a request whose body a caller completes only after a change has taken effect, and returns the
// status of the response.
func slowRequest(t *testing.T, v *vm, change func()) int {
	t.Helper()
	c, err := net.Dial("tcp", v.callers)
	qt.Assert(t, err, qt.IsNil)
	defer c.Close() //nolint:errcheck // the test is over with it
	header := http.Header{"Content-Length": {"4"}}
	psstandin.WriteRequestHeaders(header, psheader.Request{ID: "id-slow", Left: 2 * time.Second})
	var text strings.Builder
	qt.Assert(t, header.Write(&text), qt.IsNil)
	_, err = io.WriteString(c, "POST /orders/1 HTTP/1.1\r\nHost: eggs.test\r\n"+text.String()+"\r\nab")
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(100 * time.Millisecond)
	change()
	_, err = io.WriteString(c, "cd")
	qt.Assert(t, err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close() //nolint:errcheck // only the status matters
	return response.StatusCode
}

// TestRequestInProgressReachesServerThatLeft guards against requests that use the servers and evacuations of their
// arrival. A caller sends its body slowly, and meanwhile the server is removed or its failure domain is evacuated.
func TestRequestInProgressReachesServerThatLeft(t *testing.T) {
	t.Parallel()
	server := startBackend(t, 0)
	for name, change := range map[string]func(s *psstandin.Store){
		"removed":   func(s *psstandin.Store) { s.Remove("servers", "i-1") },
		"evacuated": func(s *psstandin.Store) { s.Put("op", "evacuate/north-a", "{}") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startStore(t, server)
			v := startVM(t, "vm-1", s)
			eventually(t, "served", func() bool { return status(v) == http.StatusOK })
			got := slowRequest(t, v, func() {
				change(s)
				eventually(t, "not served", func() bool { return status(v) == http.StatusServiceUnavailable })
			})
			qt.Assert(t, got, qt.Equals, http.StatusServiceUnavailable)
		})
	}
}
