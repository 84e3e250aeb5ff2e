package pspeer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	dialTimeout = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed dial.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// stallTimeout is how long a call may wait on a link on which nothing arrives at all.
	stallTimeout = 800 * time.Millisecond
)

// link is the dialed connection to one VM.
type link struct {
	address netip.AddrPort

	mutex sync.Mutex
	conn  *jsonrpc2.Conn
	raw   *watched
	// dialing is closed when the dial under way is over; nil while there is none.
	dialing chan struct{}
	// failures counts the dials that failed since the last success.
	failures int
	// retryAt is when the next dial may begin, and failure why the last one failed.
	retryAt time.Time
	failure error
	closed  bool
}

// connect returns the open connection or waits for a dial, unless the last one failed just
// now. All calls wait for the same dial, each for as long as its own context allows.
func (l *link) connect(ctx context.Context, h *Hub, to Peer) (*jsonrpc2.Conn, error) {
	for {
		c, dialing, err := l.current(h, to)
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// current returns the open connection, the dial under way, or why there is neither.
func (l *link) current(h *Hub, to Peer) (*jsonrpc2.Conn, <-chan struct{}, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case l.closed:
		return nil, nil, jsonrpc2.ErrClosed
	case l.isOpen():
		return l.conn, nil, nil
	case l.dialing != nil:
		return nil, l.dialing, nil
	case l.failure != nil && time.Now().Before(l.retryAt):
		return nil, nil, l.failure
	}
	l.dialing = make(chan struct{})
	go l.dial(h, to)
	return nil, l.dialing, nil
}

// retryNow lets the next call dial at once.
func (l *link) retryNow() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.failures, l.failure = 0, nil
}

// isOpen reports whether the connection can be used. The mutex is held.
func (l *link) isOpen() bool {
	if l.conn == nil {
		return false
	}
	select {
	case <-l.conn.DisconnectNotify():
		return false
	default:
		return true
	}
}

// dial makes the connection and wakes those that wait for it.
func (l *link) dial(h *Hub, to Peer) {
	c, raw, err := h.dial(h.base, to)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.dialing)
	l.dialing = nil
	switch {
	case err != nil:
		l.failure = err
		l.retryAt = time.Now().Add(backoff(l.failures))
		l.failures++
	case l.closed:
		_ = c.Close()
	default:
		l.conn, l.raw, l.failures, l.failure = c, raw, 0, nil
	}
}

// backoff is the pause after the n-th failure in a row, counted from 0: it doubles up to its
// bound, and half of it is random, so that VMs do not dial a returning one all at once.
func backoff(n int) time.Duration {
	d := maxBackoff
	if n < 10 {
		d = min(minBackoff<<n, maxBackoff)
	}
	return d/2 + rand.N(d/2)
}

// dial opens, secures and greets a connection.
func (h *Hub) dial(ctx context.Context, to Peer) (*jsonrpc2.Conn, *watched, error) {
	tcp, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", to.Address.String())
	if err != nil {
		return nil, nil, err
	}
	raw := watch(tcp)
	secure := h.wrapper.Client(raw, to.Name)
	if err := handshake(ctx, secure); err != nil {
		_ = tcp.Close()
		return nil, nil, errors.Wrap(err, "secure the link")
	}
	refuse := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go the other way"}
	})
	c := jsonrpc2.NewConn(h.base, newStream(secure), refuse, jsonrpc2.SetLogger(discard{}))
	if err := c.Notify(ctx, methodHello, hello{VM: h.self}); err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	return c, raw, nil
}

// handshaker is a connection that must agree with its other end before use.
type handshaker interface {
	HandshakeContext(ctx context.Context) error
}

func handshake(ctx context.Context, c net.Conn) error {
	s, found := c.(handshaker)
	if !found {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return s.HandshakeContext(ctx)
}

// stalled reports whether a call that began at a time waited on a silent connection.
func (l *link) stalled(c *jsonrpc2.Conn, began time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.conn != c {
		return false
	}
	since := l.raw.silentSince()
	if since.Before(began) {
		since = began
	}
	return time.Since(since) >= stallTimeout
}

// drop closes a connection, so that the next call dials a new one.
func (l *link) drop(c *jsonrpc2.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.conn == c {
		l.conn = nil
	}
	_ = c.Close()
}

func (l *link) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed = true
	if l.conn != nil {
		_ = l.conn.Close()
	}
}
