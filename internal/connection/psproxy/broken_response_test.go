package psproxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/platform/psstandin"
)

// TestBrokenResponseLooksComplete covers a server that stops in its response, after each number of bytes of status line,
// header, body, chunks and trailer, and then closes or resets the connection. No caller may get a success for it.
func TestBrokenResponseLooksComplete(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + psstandin.SignedLines("id-1")
	for name, text := range map[string]string{
		"length":  head + "Content-Length: 12\r\n\r\nhello, world",
		"chunks":  head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
		"trailer": head + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n",
		"hint":    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 5\r\n\r\nhello",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " reset ", reset), func(t *testing.T) { breakOff(t, text, len(text)-1, reset) })
		}
	}
}

// TestResetResponseWithoutLengthLooksComplete covers a response that ends with its connection, which is reset.
func TestResetResponseWithoutLengthLooksComplete(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\n" + psstandin.SignedLines("id-1") + "\r\nhello"
	breakOff(t, text, len(text), true)
}

// breakOff sends an order for each beginning of a response up to a length. None of them may look like a success.
func breakOff(t *testing.T, text string, longest int, reset bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a test's listener
	qt.Assert(t, err, qt.IsNil)
	server, clean := psstandin.StartBreaking(l, text)
	defer clean()
	server.Reset = reset
	s, _ := startProxy(t, &backend{listener: l})
	for n := range longest + 1 {
		server.Length.Store(int64(n))
		status, complete := exchange(t, s.Listener.Addr().String())
		if complete && status < 500 {
			t.Fatalf("status %d after %d bytes: %q", status, n, text[max(0, n-20):n])
		}
	}
}

// exchange sends an order on a connection of its own. It returns the status, and whether the response is complete.
func exchange(t *testing.T, address string) (status int, complete bool) {
	t.Helper()
	c, err := net.Dial("tcp", address) //nolint:noctx // a test's connection
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()                                                                                 //nolint:errcheck // the test is over with it
	r, err := http.NewRequest(http.MethodPost, "http://eggs.test/orders/1", strings.NewReader("x")) //nolint:noctx // written by hand
	qt.Assert(t, err, qt.IsNil)
	psstandin.WriteRequestHeaders(r.Header, callerHeaders)
	qt.Assert(t, r.Write(c), qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close() //nolint:errcheck // the body was read
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err == nil
}
