package pspool

import (
	"context"
	"net/netip"
	"sync"
	"time"
)

const (
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 90 * time.Second
	// abandonedTime is how long a connection counts after it was closed during an exchange: twice the one-way latency
	// between regions (12 ms) and as much again.
	abandonedTime = 50 * time.Millisecond
)

// pool holds the connections to one backend server and bounds their number.
type pool struct {
	address netip.AddrPort
	pools   *Pools

	mutex sync.Mutex
	// limit is that of the latest exchange without a dedicated connection; 0 before the first.
	limit int
	// open counts the connections that are idle, in use or being dialed, and abandoned those that the server may not know
	// to be closed yet.
	open, abandoned int
	// idle lists the unused connections, the most recently used one last.
	idle []*Conn
	// waiters lists the calls that wait because the limit is reached, in the order of their arrival.
	waiters []chan grant
	// expiry is the timer that closes idle connections; nil without any.
	expiry *time.Timer
	closed bool
}

// grant is what a waiter receives: an open connection, or none and the right to dial one.
type grant struct {
	conn *Conn
}

func (p *pool) get(ctx context.Context, limit int, maxIdle time.Duration) (*Conn, error) {
	if limit <= 0 {
		return p.dialDedicated(ctx)
	}
	for {
		g, err := p.acquire(ctx, limit)
		if err != nil {
			return nil, err
		}
		if g.conn == nil {
			return p.dial(ctx, false)
		}
		g.conn.IdleTime = time.Since(g.conn.idleSince)
		if g.conn.reusable() && (maxIdle <= 0 || g.conn.IdleTime <= maxIdle) {
			return g.conn, nil
		}
		g.conn.Discard()
	}
}

// full reports whether no connection may be opened within a limit. The caller holds the mutex.
func (p *pool) full(limit int) bool { return p.open+p.abandoned >= limit }

// acquire returns an idle connection or the right to dial one.
func (p *pool) acquire(ctx context.Context, limit int) (grant, error) {
	p.mutex.Lock()
	p.limit = limit
	for len(p.idle) > 1 && p.open > p.limit {
		// The fleet has grown, and with it the number of VMs that share the server's connections.
		p.shutIdle()
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mutex.Unlock()
		return grant{c}, nil
	}
	if !p.full(p.limit) {
		p.open++
		p.mutex.Unlock()
		return grant{}, nil
	}
	return p.wait(ctx)
}

// wait waits for a grant. The caller holds the mutex, which wait unlocks.
func (p *pool) wait(ctx context.Context) (grant, error) {
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
	p.waiters = remove(p.waiters, w)
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
func (p *pool) dial(ctx context.Context, dedicated bool) (*Conn, error) {
	start := time.Now()
	raw, err := p.pools.connect(ctx, p.address)
	if err != nil {
		p.removeClosed()
		return nil, err
	}
	return newConn(p, raw, dedicated, time.Since(start)), nil
}

// dialDedicated opens a connection that is closed after one exchange. It may exceed the limit by one, so that a server can be
// probed while requests wait for it. Beyond that it replaces an idle connection, or waits.
func (p *pool) dialDedicated(ctx context.Context) (*Conn, error) {
	for {
		p.mutex.Lock()
		if p.limit > 0 && p.full(p.limit) && len(p.idle) > 0 {
			p.shutIdle()
		}
		if p.limit == 0 || !p.full(p.limit+1) {
			p.open++
			p.mutex.Unlock()
			return p.dial(ctx, true)
		}
		g, err := p.wait(ctx)
		if err != nil {
			return nil, err
		}
		if g.conn == nil {
			return p.dial(ctx, true)
		}
		g.conn.Discard()
	}
}

// put returns a connection that is ready for another request to the pool.
func (p *pool) put(c *Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || c.dedicated || p.open > p.limit {
		c.shut()
		p.release()
		return
	}
	c.idleSince = time.Now()
	c.DialTime, c.Reused = 0, true
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

// removeAbandoned subtracts a connection that was closed during an exchange, once the server can know of it.
func (p *pool) removeAbandoned() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open--
	p.abandoned++
	time.AfterFunc(abandonedTime, func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.abandoned--
		p.grantDial()
	})
}

// release decrements the count of open connections. The caller holds the mutex.
func (p *pool) release() {
	p.open--
	p.grantDial()
}

// grantDial lets the first waiter dial a connection if the limit allows it. The caller holds the mutex.
func (p *pool) grantDial() {
	if len(p.waiters) > 0 && !p.full(p.limit) {
		p.open++
		p.grantFirst(grant{})
	}
}

// grantFirst passes a grant to the first waiter. The caller holds the mutex.
func (p *pool) grantFirst(g grant) {
	p.waiters[0] <- g
	p.waiters = p.waiters[1:]
}

// longestIdleSince returns since when the connection has been idle that is longest; false if none is idle.
func (p *pool) longestIdleSince() (time.Time, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle) == 0 {
		return time.Time{}, false
	}
	return p.idle[0].idleSince, true
}

// closeIdle closes the connection that has been idle longest. It returns false if none is idle.
func (p *pool) closeIdle() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle) == 0 {
		return false
	}
	p.shutIdle()
	return true
}

// shutIdle closes the connection that has been idle longest. The caller holds the mutex.
func (p *pool) shutIdle() {
	p.idle[0].shut()
	p.idle = p.idle[1:]
	p.release()
}

// expire closes the connections that were idle for [idleTimeout].
func (p *pool) expire() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	limit := time.Now().Add(-idleTimeout)
	for len(p.idle) > 0 && !p.idle[0].idleSince.After(limit) {
		p.shutIdle()
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
		c.shut()
		p.open--
	}
	p.idle = nil
}
