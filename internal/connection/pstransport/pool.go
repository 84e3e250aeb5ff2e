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
	// unackedTimeout is how long the server's machine may leave sent bytes unacknowledged.
	unackedTimeout = 1200 * time.Millisecond
	// idleTimeout is how long a connection is kept without a request.
	idleTimeout = 90 * time.Second
)

// keepAlive finds connections whose other end is gone without a word.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// limitSilence ends a connection whose other end no longer acknowledges what is sent.
func limitSilence(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// pool holds the connections to one server.
type pool struct {
	address netip.AddrPort
	// source is the address that connections come from, if it is valid.
	source netip.Addr

	mutex sync.Mutex
	limit int
	// open counts the connections that are idle, in use or being dialed.
	open int
	// idle lists unused connections, the latest used last.
	idle []*conn
	// waiting lists calls that found the limit reached, the first come first.
	waiting []chan grant
	// expiry runs while there are idle connections.
	expiry *time.Timer
	closed bool
}

// grant ends a wait: it holds an open connection, or none and the right to dial one.
type grant struct {
	conn *conn
}

// get returns an unused connection or dials one, and waits while the limit is reached.
func (p *pool) get(ctx context.Context, limit int, maxIdle time.Duration) (*conn, error) {
	if limit <= 0 {
		return p.dialOnce(ctx)
	}
	for {
		g, err := p.take(ctx, limit)
		if err != nil {
			return nil, err
		}
		if g.conn == nil {
			return p.dial(ctx)
		}
		if g.conn.quiet() && (maxIdle <= 0 || time.Since(g.conn.idleSince) <= maxIdle) {
			return g.conn, nil
		}
		g.conn.discard()
	}
}

// take gets an idle connection or the right to dial one.
func (p *pool) take(ctx context.Context, limit int) (grant, error) {
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
	p.waiting = append(p.waiting, w)
	p.mutex.Unlock()
	select {
	case g := <-w:
		return g, nil
	case <-ctx.Done():
	}
	p.abandon(w)
	return grant{}, ctx.Err()
}

// abandon ends a wait and passes on what it was granted in the meantime.
func (p *pool) abandon(w chan grant) {
	p.mutex.Lock()
	p.waiting = slices.DeleteFunc(p.waiting, func(v chan grant) bool { return v == w })
	p.mutex.Unlock()
	select {
	case g := <-w:
		if g.conn != nil {
			p.put(g.conn)
		} else {
			p.forget()
		}
	default:
	}
}

// dial opens a connection that take has counted.
func (p *pool) dial(ctx context.Context) (*conn, error) {
	d := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: limitSilence}
	if p.source.IsValid() {
		d.LocalAddr = &net.TCPAddr{IP: p.source.AsSlice()}
	}
	begun := time.Now()
	raw, err := d.DialContext(ctx, "tcp", p.address.String())
	if err != nil {
		p.forget()
		return nil, err
	}
	c := newConn(p, raw, false)
	c.dialed = time.Since(begun)
	return c, nil
}

// dialOnce opens a connection that is closed after one exchange. Its number is bounded by
// the slots of the server, of which each exchange holds one.
func (p *pool) dialOnce(ctx context.Context) (*conn, error) {
	p.mutex.Lock()
	p.open++
	p.mutex.Unlock()
	c, err := p.dial(ctx)
	if err == nil {
		c.once = true
	}
	return c, err
}

// put takes back a connection that is ready for another request.
func (p *pool) put(c *conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || c.once || p.open > p.limit {
		_ = c.raw.Close()
		p.release()
		return
	}
	c.idleSince = time.Now()
	c.dialed = 0
	if len(p.waiting) > 0 {
		p.grant(grant{c})
		return
	}
	p.idle = append(p.idle, c)
	if p.expiry == nil {
		p.expiry = time.AfterFunc(idleTimeout, p.expire)
	}
}

// forget counts out a connection that is closed.
func (p *pool) forget() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.release()
}

// release gives a connection's place to the first waiting call. The mutex is held.
func (p *pool) release() {
	p.open--
	if len(p.waiting) > 0 && p.open < p.limit {
		p.open++
		p.grant(grant{})
	}
}

// grant ends the first wait. The mutex is held.
func (p *pool) grant(g grant) {
	p.waiting[0] <- g
	p.waiting = p.waiting[1:]
}

// expire closes the connections that were idle for too long.
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

// close closes the idle connections; the others close when their exchanges end.
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
