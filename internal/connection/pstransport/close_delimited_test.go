package pstransport_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/pstransport"
)

// opaqueConn is a connection that doesn't give access to its socket.
type opaqueConn struct{ net.Conn }

// TestCloseDelimitedBodyWithoutSocketState covers systems that don't tell the state of a socket: then a regular close is
// accepted only if the request was written completely.
func TestCloseDelimitedBodyWithoutSocketState(t *testing.T) {
	to, _ := newServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, r)
	})
	for name, v := range map[string]struct{ opaque, upload, complete bool }{
		"socket":                    {false, false, true},
		"socket, upload":            {false, true, true},
		"without a socket":          {true, false, true},
		"without a socket, upload ": {true, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTransport(t)
			s.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if v.opaque {
					c = opaqueConn{c}
				}
				return c, err
			}
			r := request("GET", "/")
			if v.upload {
				b := &blockingBody{first: strings.NewReader("abc"), end: make(chan struct{}), fault: io.EOF, closed: make(chan struct{})}
				defer func() {
					close(b.end)
					<-b.closed
				}()
				r = upload(b, -1)
			}
			result, err := s.SendWith(t.Context(), to, 1, r, pstransport.Options{AcceptCloseDelimited: true})
			qt.Assert(t, err, qt.IsNil)
			defer result.Response.Body.Close() //nolint:errcheck // the body was read
			body, err := io.ReadAll(result.Response.Body)
			qt.Assert(t, string(body), qt.Equals, "whole")
			qt.Assert(t, err == nil, qt.Equals, v.complete, qt.Commentf("%v", err))
		})
	}
}
