package pstransport

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"persimmonstep/internal/connection/pspeek"
)

const (
	readBufferBytes  = 16 << 10
	writeBufferBytes = 8 << 10
)

// conn is one connection to a backend server.
type conn struct {
	pool *pool
	raw  net.Conn
	// limit bounds what is read from the connection while a header is expected.
	limit  *io.LimitedReader
	reader *bufio.Reader
	writer *bufio.Writer
	// once closes the connection after one exchange.
	once      bool
	idleSince time.Time
	// dialed is how long it took to open the connection; 0 once it was used.
	dialed    time.Duration
	discarded sync.Once
}

func newConn(p *pool, raw net.Conn, once bool) *conn {
	l := &io.LimitedReader{R: raw}
	return &conn{
		pool: p, raw: raw, limit: l, once: once,
		reader: bufio.NewReaderSize(l, readBufferBytes), writer: bufio.NewWriterSize(nil, writeBufferBytes),
	}
}

// discard closes the connection for good.
func (c *conn) discard() {
	c.discarded.Do(func() {
		_ = c.raw.Close()
		c.pool.forget()
	})
}

// quiet reports whether the server has neither closed the connection nor sent anything
// since the last answer. It looks without taking anything from the socket.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	state := pspeek.At(c.raw)
	return state == pspeek.Quiet || state == pspeek.Unknown
}
