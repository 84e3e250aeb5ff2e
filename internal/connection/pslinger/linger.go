// Package pslinger implements lingering close for callers' connections, so that the last response arrives.
//
// Closing a TCP connection with unread received bytes resets it, and the reset may destroy a response that the other end
// hasn't read yet. This happens if the response is sent before the request was read completely. Such a connection is
// closed in two steps: its sending side is shut down while received bytes are read and dropped, for a bounded time and
// up to a bounded size, and then it is closed.
package pslinger

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"persimmonstep/internal/connection/pssocket"
)

const (
	// lingerTimeout bounds the time for which received bytes are dropped.
	lingerTimeout = 2 * time.Second
	// maxBytes bounds the number of dropped bytes.
	maxBytes = 4 << 20
	// maxLingering bounds the number of lingering connections. Further ones are closed at once.
	maxLingering = 256
	// unacknowledgedInterval is how often a connection is checked that must not be closed before its last response has
	// arrived.
	unacknowledgedInterval = 10 * time.Millisecond
)

// Listener accepts connections that support lingering close.
type Listener struct {
	net.Listener
	// closing waits for the lingering connections, and lingering counts them.
	closing   sync.WaitGroup
	lingering atomic.Int32
}

// NewListener wraps a listener. The clean-up function waits until all lingering connections are closed.
func NewListener(l net.Listener) (*Listener, func()) {
	v := &Listener{Listener: l}
	return v, v.closing.Wait
}

// Accept implements [net.Listener]. TCP connections are returned as [Conn].
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t, found := c.(*net.TCPConn)
	if !found {
		return c, nil
	}
	return &Conn{TCPConn: t, listener: l}, nil
}

// Conn is a caller's connection.
type Conn struct {
	*net.TCPConn

	listener *Listener
	unread   atomic.Bool
	once     sync.Once
}

// MarkUnread marks a connection whose request was not read to its end, so that Close lingers. It does nothing for
// connections of other listeners.
func MarkUnread(c net.Conn) {
	if v, found := c.(*Conn); found {
		v.unread.Store(true)
	}
}

// ResetOnClose makes the close of a connection reset it. If only the close marks the end of a response, the other end
// would otherwise accept a truncated response as complete.
func ResetOnClose(c net.Conn) {
	if v, found := c.(*Conn); found {
		// A lingering close would send the regular end first.
		v.unread.Store(false)
	}
	if v, found := c.(interface{ SetLinger(seconds int) error }); found {
		// An error means that the connection is already closed, so nothing is left to do.
		_ = v.SetLinger(0)
	}
}

// Close closes the connection. It lingers, without blocking, if the request was marked as unread.
func (c *Conn) Close() error {
	if !c.unread.Load() {
		return c.TCPConn.Close()
	}
	var err error
	c.once.Do(func() { err = c.linger() })
	return err
}

func (c *Conn) linger() error {
	if c.listener.lingering.Add(1) > maxLingering || c.CloseWrite() != nil {
		c.listener.lingering.Add(-1)
		return c.TCPConn.Close()
	}
	c.listener.closing.Add(1)
	go func() {
		defer c.listener.closing.Done()
		defer c.listener.lingering.Add(-1)
		c.drain()
	}()
	return nil
}

// drain drops received bytes and then closes the connection.
func (c *Conn) drain() {
	// Errors only end the lingering early.
	end := time.Now().Add(lingerTimeout)
	_ = c.SetReadDeadline(end)
	dropped, _ := io.CopyN(io.Discard, c.TCPConn, maxBytes)
	// Closing with unread bytes also drops the part of the response that the other end hasn't received yet.
	for dropped == maxBytes && pssocket.Unacknowledged(c.TCPConn) > 0 && time.Now().Before(end) {
		time.Sleep(unacknowledgedInterval)
	}
	_ = c.TCPConn.Close()
}
