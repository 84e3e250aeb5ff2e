package pspool_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/pspool"
)

// counted is a connection in memory that counts itself.
type counted struct {
	net.Conn
	open *atomic.Int64
}

func (c counted) Close() error {
	c.open.Add(-1)
	return c.Conn.Close()
}

func newPools(maxOpen int) (*pspool.Pools, *atomic.Int64) {
	open := &atomic.Int64{}
	return &pspool.Pools{MaxOpen: maxOpen, Dial: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() { _, _ = far.Read(make([]byte, 1)) }()
		open.Add(1)
		return counted{near, open}, nil
	}}, open
}

func server(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80)
}

func get(t *testing.T, p *pspool.Pools, n, limit int) (*pspool.Conn, error) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()
	return p.Get(ctx, server(n), limit, 0)
}

// TestLongestIdleConnectionIsClosedAtTheLimit covers a VM with many servers and few descriptors: a request to one server gets
// a connection although idle ones to others use all, and is refused only if all are in use.
func TestLongestIdleConnectionIsClosedAtTheLimit(t *testing.T) {
	p, open := newPools(3)
	for n := range 3 {
		c, err := get(t, p, n, 5)
		qt.Assert(t, err, qt.IsNil)
		defer c.Discard()
		c.Put()
		time.Sleep(time.Millisecond)
	}
	c, err := get(t, p, 1, 5)
	qt.Assert(t, err, qt.IsNil)
	d, err := get(t, p, 9, 5)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.OpenConnections(server(0)), qt.Equals, 0)
	qt.Assert(t, p.OpenConnections(server(2)), qt.Equals, 1)
	e, err := get(t, p, 8, 0)
	qt.Assert(t, err, qt.IsNil)
	_, err = get(t, p, 7, 5)
	qt.Assert(t, err, qt.Equals, pspool.ErrNoDescriptors)
	qt.Assert(t, p.OpenConnections(server(7)), qt.Equals, 0)
	qt.Assert(t, p.Usage(), qt.Equals, pspool.Usage{Open: 3, Evicted: 2, Refused: 1})
	qt.Assert(t, p.Reach(t.Context(), server(7)), qt.IsNil)
	qt.Assert(t, open.Load(), qt.Equals, int64(3))
	e.Discard()
	f, err := get(t, p, 7, 5)
	qt.Assert(t, err, qt.IsNil)
	for _, c := range []*pspool.Conn{c, d, f} {
		c.Discard()
		c.Abandon()
	}
	qt.Assert(t, p.Usage().Open, qt.Equals, int64(0))
	qt.Assert(t, open.Load(), qt.Equals, int64(0))
}

// TestAbandonedConnectionCountsAWhile covers a server that still works on a request whose connection was closed.
func TestAbandonedConnectionCountsAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newPools(0)
		c, err := get(t, p, 1, 1)
		qt.Assert(t, err, qt.IsNil)
		c.Abandon()
		_, err = get(t, p, 1, 1)
		qt.Assert(t, err, qt.ErrorIs, context.DeadlineExceeded)
		d, err := p.Get(t.Context(), server(1), 1, 0)
		qt.Assert(t, err, qt.IsNil)
		d.Discard()
	})
}

// TestDedicatedConnectionsExceedLimitByOne covers probes of a server while requests use all connections to it.
func TestDedicatedConnectionsExceedLimitByOne(t *testing.T) {
	p, _ := newPools(0)
	c, err := get(t, p, 1, 1)
	qt.Assert(t, err, qt.IsNil)
	d, err := get(t, p, 1, 0)
	qt.Assert(t, err, qt.IsNil)
	_, err = get(t, p, 1, 0)
	qt.Assert(t, err, qt.ErrorIs, context.DeadlineExceeded)
	d.Discard()
	c.Put()
	e, err := get(t, p, 1, 0)
	qt.Assert(t, err, qt.IsNil)
	// The dedicated connection has replaced the idle one.
	qt.Assert(t, p.OpenConnections(server(1)), qt.Equals, 1)
	e.Discard()
}

// TestIdleConnectionsAreClosedWhenTheLimitFalls covers a fleet that grows.
func TestIdleConnectionsAreClosedWhenTheLimitFalls(t *testing.T) {
	p, _ := newPools(0)
	conns := make([]*pspool.Conn, 6)
	for i := range conns {
		c, err := get(t, p, 1, 6)
		qt.Assert(t, err, qt.IsNil)
		conns[i] = c
	}
	for _, c := range conns {
		c.Put()
	}
	c, err := get(t, p, 1, 2)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.OpenConnections(server(1)), qt.Equals, 2)
	c.Discard()
}
