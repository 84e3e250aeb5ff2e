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

func TestOneLookServesRequestsThatAreLostTogether(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	at := netip.MustParseAddrPort(l.Addr().String())
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	var looks pscrash.Looks
	qt.Assert(t, looks.Look("i-1", at, clock), qt.Equals, pscrash.Up)
	qt.Assert(t, l.Close(), qt.IsNil)
	qt.Assert(t, looks.Look("i-1", at, clock), qt.Equals, pscrash.Up, qt.Commentf("too soon to tell"))
	now = now.Add(time.Second)
	qt.Assert(t, looks.Look("i-1", at, clock), qt.Equals, pscrash.FoundDown)
	now = now.Add(100 * time.Millisecond)
	qt.Assert(t, looks.Look("i-1", at, clock), qt.Equals, pscrash.Down)
	now = now.Add(time.Second)
	qt.Assert(t, looks.Look("i-1", at, clock), qt.Equals, pscrash.FoundDown)
}
