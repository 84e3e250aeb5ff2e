package pstransport

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection fails.
	unackedTimeout = 1200 * time.Millisecond
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 90 * time.Second
)

// keepAlive detects connections whose other end has disappeared without closing them, while nothing is sent. Because
// unackedTimeout is set as well, the first unanswered probe decides: the connection fails at the next one, 3 s after
// the last bytes.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// dialer returns the dialer of connections to servers.
func (t *Transport) dialer() *net.Dialer {
	d := &net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	if t.Source.IsValid() {
		d.LocalAddr = &net.TCPAddr{IP: t.Source.AsSlice()}
	}
	return d
}

// setUserTimeout makes a connection fail if its other end doesn't acknowledge sent bytes in time.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// pool holds the connections to one backend server and bounds their number.
type pool struct {
	address netip.AddrPort
	// connect opens a connection to the server.
	connect func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	mutex sync.Mutex
	limit int
	// open counts the connections that are idle, in use or being dialed.
	open int
	// idle lists the unused connections, the most recently used one last.
	idle []*conn
	// waiters lists the calls that wait because the limit is reached, in the order of their arrival.
	waiters []chan grant
	// expiry is the timer that closes idle connections; nil without any.
	expiry *time.Timer
	closed bool
}

// grant is what a waiter receives: an open connection, or none and the right to dial one.
type grant struct {
	conn *conn
}

// get returns an unused connection or dials one, and waits while the limit is reached. Connections that were idle for
// longer than maxIdle are not reused; 0 allows any idle time.
func (p *pool) get(ctx context.Context, limit int, maxIdle time.Duration) (*conn, error) {
	if limit <= 0 {
		return p.dialDedicated(ctx)
	}
	for {
		g, err := p.acquire(ctx, limit)
		if err != nil {
			return nil, err
		}
		if g.conn == nil {
			return p.dial(ctx)
		}
		if g.conn.reusable() && (maxIdle <= 0 || time.Since(g.conn.idleSince) <= maxIdle) {
			return g.conn, nil
		}
		g.conn.discard()
	}
}

// acquire returns an idle connection or the right to dial one.
func (p *pool) acquire(ctx context.Context, limit int) (grant, error) {
	p.mutex.Lock()
	p.limit = limit
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mutex.Unlock()
		return grant{c}, nil
	}
	if p.open < p.limit {
		p.open++
		p.mutex.Unlock()
		return grant{}, nil
	}
	w := make(chan grant, 1)
	p.waiters = append(p.waiters, w)
	p.mutex.Unlock()
	select {
	case g := <-w:
		return g, nil
	case <-ctx.Done():
	}
	p.cancelWait(w)
	return grant{}, ctx.Err()
}

// cancelWait removes a waiter and returns what it was granted in the meantime.
func (p *pool) cancelWait(w chan grant) {
	p.mutex.Lock()
	p.waiters = slices.DeleteFunc(p.waiters, func(v chan grant) bool { return v == w })
	p.mutex.Unlock()
	select {
	case g := <-w:
		if g.conn != nil {
			p.put(g.conn)
		} else {
			p.removeClosed()
		}
	default:
	}
}

// dial opens a connection that is already counted as open.
func (p *pool) dial(ctx context.Context) (*conn, error) {
	start := time.Now()
	raw, err := p.connect(ctx, p.address)
	if err != nil {
		p.removeClosed()
		return nil, err
	}
	c := newConn(p, raw, false)
	c.dialTime = time.Since(start)
	return c, nil
}

// dialDedicated opens a connection that is closed after one exchange. The pool's limit doesn't apply: the number of
// such connections is bounded by the server's slots, of which each exchange holds one.
func (p *pool) dialDedicated(ctx context.Context) (*conn, error) {
	p.mutex.Lock()
	p.open++
	p.mutex.Unlock()
	c, err := p.dial(ctx)
	if err == nil {
		c.dedicated = true
	}
	return c, err
}

// put returns a connection that is ready for another request to the pool.
func (p *pool) put(c *conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || c.dedicated || p.open > p.limit {
		_ = c.raw.Close()
		p.release()
		return
	}
	c.idleSince = time.Now()
	c.dialTime, c.reused = 0, true
	if len(p.waiters) > 0 {
		p.grantFirst(grant{c})
		return
	}
	p.idle = append(p.idle, c)
	if p.expiry == nil {
		p.expiry = time.AfterFunc(idleTimeout, p.expire)
	}
}

// removeClosed subtracts a connection that was closed, or never opened, from the count of open ones.
func (p *pool) removeClosed() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.release()
}

// release decrements the count of open connections. If the limit allows it, the first waiter may then dial one. The
// caller holds the mutex.
func (p *pool) release() {
	p.open--
	if len(p.waiters) > 0 && p.open < p.limit {
		p.open++
		p.grantFirst(grant{})
	}
}

// grantFirst passes a grant to the first waiter. The caller holds the mutex.
func (p *pool) grantFirst(g grant) {
	p.waiters[0] <- g
	p.waiters = p.waiters[1:]
}

// expire closes the connections that were idle for [idleTimeout].
func (p *pool) expire() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	limit := time.Now().Add(-idleTimeout)
	for len(p.idle) > 0 && !p.idle[0].idleSince.After(limit) {
		_ = p.idle[0].raw.Close()
		p.idle = p.idle[1:]
		p.release()
	}
	p.expiry = nil
	if len(p.idle) > 0 {
		p.expiry = time.AfterFunc(p.idle[0].idleSince.Sub(limit), p.expire)
	}
}

// close closes the idle connections. The others are closed when their exchanges end.
func (p *pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	if p.expiry != nil {
		p.expiry.Stop()
	}
	for _, c := range p.idle {
		_ = c.raw.Close()
		p.open--
	}
	p.idle = nil
}
