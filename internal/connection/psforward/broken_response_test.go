package psforward_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/psbody"
	"persimmonstep/internal/connection/psforward"
	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/platform/psstandin"
)

// TestBrokenResponseOfHelperLooksComplete covers a helper whose response breaks off after each number of bytes. The first
// VM must neither take it for a success nor for a promise that the request was not executed.
func TestBrokenResponseOfHelperLooksComplete(t *testing.T) {
	for name, text := range map[string]string{
		"of a server": "HTTP/1.1 200 OK\r\n" + psstandin.SignedLines("id-1") + "Content-Length: 5\r\n\r\nhello",
		"in chunks":   "HTTP/1.1 200 OK\r\n" + psstandin.SignedLines("id-1") + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"of its own":  "HTTP/1.1 503 Service Unavailable\r\nSteer-Outcome: rejected\r\nSteer-Reason: overload\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			peer := netip.MustParseAddrPort("127.9.9.1:7600")
			l, err := net.Listen("tcp", psforward.Address(peer).String()) //nolint:noctx // a test's listener
			qt.Assert(t, err, qt.IsNil)
			server, clean := psstandin.StartBreaking(l, text)
			defer clean()
			transport, closeIdle := pstransport.New()
			defer closeIdle()
			f := &psforward.Forwarder{Self: "vm-1", Transport: transport}
			for n := range len(text) {
				server.Length.Store(int64(n))
				reply := f.Send(t.Context(), helper("vm-2", "north-a", peer), psforward.Request{Caller: caller(t), Body: &psbody.Body{}, Left: time.Second})
				if _, failed := reply.(psforward.Failed); !failed {
					t.Fatalf("%T after %d bytes", reply, n)
				}
			}
		})
	}
}
