package pscrash_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/pscrash"
)

func TestLostRequestsShareOneCheck(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := netip.MustParseAddrPort(l.Addr().String())
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	var detector pscrash.Detector
	qt.Assert(t, detector.Check("i-1", address, clock), qt.Equals, pscrash.Up)
	qt.Assert(t, l.Close(), qt.IsNil)
	qt.Assert(t, detector.Check("i-1", address, clock), qt.Equals, pscrash.Up, qt.Commentf("checked too recently for another check"))
	now = now.Add(time.Second)
	qt.Assert(t, detector.Check("i-1", address, clock), qt.Equals, pscrash.FoundDown)
	now = now.Add(100 * time.Millisecond)
	qt.Assert(t, detector.Check("i-1", address, clock), qt.Equals, pscrash.Down)
	now = now.Add(time.Second)
	qt.Assert(t, detector.Check("i-1", address, clock), qt.Equals, pscrash.FoundDown)
}
