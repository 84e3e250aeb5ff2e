package pstransport

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

// conn is a connection to a backend server.
type conn struct {
	pool *pool
	raw  net.Conn
	// limit bounds the bytes that are read while a response header is expected.
	limit  *io.LimitedReader
	reader *bufio.Reader
	writer *bufio.Writer
	// dedicated connections are closed after one exchange, reused ones have served a request before.
	dedicated, reused bool
	idleSince         time.Time
	// dialTime is how long opening the connection took; 0 if it is reused.
	dialTime  time.Duration
	discarded sync.Once
}

func newConn(p *pool, raw net.Conn, dedicated bool) *conn {
	l := &io.LimitedReader{R: raw}
	return &conn{
		pool: p, raw: raw, limit: l, dedicated: dedicated,
		reader: bufio.NewReaderSize(l, readBufferBytes), writer: bufio.NewWriterSize(nil, writeBufferBytes),
	}
}

// discard closes the connection and removes it from its pool. Further calls do nothing.
func (c *conn) discard() {
	c.discarded.Do(func() {
		_ = c.raw.Close()
		c.pool.removeClosed()
	})
}

// reusable reports whether the server has neither closed the connection nor sent anything since the last response.
// It reads the state of the socket and consumes no bytes.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	state := pssocket.StateOf(c.raw)
	return state == pssocket.Idle || state == pssocket.Unknown
}
