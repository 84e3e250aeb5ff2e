package pslistener_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/pslistener"
)

// TestWaitingConnectionsHaveAddresses covers connections that wait at a listener when it closes, of which some were reset
// meanwhile. Those have no remote address, which servers expect of each connection.
func TestWaitingConnectionsHaveAddresses(t *testing.T) {
	l, err := pslistener.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
	qt.Assert(t, err, qt.IsNil)
	for i := range 4 {
		c, err := net.Dial("tcp", l.Addr().String()) //nolint:noctx // a test's connection
		qt.Assert(t, err, qt.IsNil)
		defer c.Close() //nolint:errcheck // nothing is left to do
		if i%2 == 0 {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
	time.Sleep(50 * time.Millisecond)
	waiting := pslistener.Close(l)
	qt.Check(t, waiting, qt.HasLen, 2)
	for _, c := range waiting {
		qt.Check(t, c.RemoteAddr(), qt.IsNotNil)
		_ = c.Close()
	}
}
