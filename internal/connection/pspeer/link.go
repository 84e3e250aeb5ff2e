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
	// failures counts the dials that failed since the last success.
	failures int
	// retryAt is when the next dial may begin, and failure why the last one failed.
	retryAt time.Time
	failure error
}

// connect returns the open connection or dials one, unless the last dial failed just now.
func (l *link) connect(ctx context.Context, h *Hub, to Peer) (*jsonrpc2.Conn, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.conn != nil {
		select {
		case <-l.conn.DisconnectNotify():
		default:
			return l.conn, nil
		}
	}
	if l.failure != nil && time.Now().Before(l.retryAt) {
		return nil, l.failure
	}
	c, raw, err := h.dial(ctx, to)
	if err != nil {
		l.fail(ctx, err)
		return nil, err
	}
	l.conn, l.raw, l.failures, l.failure = c, raw, 0, nil
	return c, nil
}

// fail notes a failed dial. One that its caller gave up says nothing about the VM.
func (l *link) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	l.failure = err
	l.retryAt = time.Now().Add(backoff(l.failures))
	l.failures++
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
	if l.conn != nil {
		_ = l.conn.Close()
	}
}
