package pspool

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"persimmonstep/internal/connection/pssocket"
)

const (
	readBufferBytes  = 16 << 10
	writeBufferBytes = 8 << 10
)

// Conn is a connection to a backend server. It is used by one exchange at a time.
type Conn struct {
	// Raw is the connection itself. It must be closed by the methods of Conn only.
	Raw net.Conn
	// Limit bounds the bytes that Reader reads, and Writer is reset by each exchange.
	Limit  *io.LimitedReader
	Reader *bufio.Reader
	Writer *bufio.Writer
	// Reused is set if the connection has served a request before.
	Reused bool
	// IdleTime is how long the connection was idle before it was reused.
	IdleTime time.Duration
	// DialTime is how long opening the connection took; 0 if it is reused.
	DialTime time.Duration

	pool *pool
	// dedicated connections are closed after one exchange.
	dedicated bool
	idleSince time.Time
	closed    sync.Once
}

func newConn(p *pool, raw net.Conn, dedicated bool, dialTime time.Duration) *Conn {
	l := &io.LimitedReader{R: raw}
	return &Conn{
		Raw: raw, Limit: l, pool: p, dedicated: dedicated, DialTime: dialTime,
		Reader: bufio.NewReaderSize(l, readBufferBytes), Writer: bufio.NewWriterSize(nil, writeBufferBytes),
	}
}

// Put returns the connection to its pool, for another exchange.
func (c *Conn) Put() { c.pool.put(c) }

// Discard closes the connection. Further calls of it, or of Abandon, do nothing.
func (c *Conn) Discard() {
	c.closed.Do(func() {
		c.shut()
		c.pool.removeClosed()
	})
}

// Abandon closes the connection while the server still works on its request. The server learns of it later, so that the
// connection counts toward the server's limit a little longer.
func (c *Conn) Abandon() {
	c.closed.Do(func() {
		c.shut()
		c.pool.removeAbandoned()
	})
}

// shut closes the connection, which must be neither in use nor idle afterwards.
func (c *Conn) shut() {
	_ = c.Raw.Close()
	c.pool.pools.open.Add(-1)
}

// reusable reports whether the server has neither closed the connection nor sent anything since the last response.
// It reads the state of the socket and consumes no bytes.
func (c *Conn) reusable() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	state := pssocket.StateOf(c.Raw)
	return state == pssocket.Idle || state == pssocket.Unknown
}
