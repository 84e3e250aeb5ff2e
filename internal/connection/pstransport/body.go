package pstransport

import (
	"io"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/pssocket"
)

// responseBody is a response body that ends the exchange when it is read to its end or closed.
type responseBody struct {
	exchange *exchange
	inner    io.Reader
	// closeDelimited bodies have neither a length nor chunked encoding, and end with the connection.
	closeDelimited bool
}

// Read implements [io.Reader]. It returns [io.ErrUnexpectedEOF] if it is unknown whether the body is complete.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF):
		b.exchange.abort()
		return n, b.exchange.cause(err)
	case b.closeDelimited && !(b.exchange.options.AcceptCloseDelimited && b.exchange.endedRegularly()):
		b.exchange.abort()
		return n, io.ErrUnexpectedEOF
	}
	b.exchange.finish()
	return n, io.EOF
}

// Close ends the exchange. The connection is closed if the body was not read to its end.
func (b *responseBody) Close() error {
	b.exchange.abort()
	return nil
}

// writeState is the state of the write of a request.
type writeState uint8

const (
	writing writeState = iota
	written
	writeFailed
)

// closedRegularly reports whether the server has closed a connection regularly that was read to its end. A reset makes
// the next call fail that reads or writes, and only that one. After a write that has got the error, the read sees a
// plain end. So the end counts only if the socket shows a regular close, or if the request was written completely, so
// that no write can have got the error.
func closedRegularly(end pssocket.Ending, w writeState) bool {
	return end == pssocket.EndedRegularly || w == written
}

// endedRegularly reports whether the server has closed the connection regularly, once all of its bytes were read.
func (e *exchange) endedRegularly() bool {
	state := writing
	select {
	case <-e.written:
		state = written
		if e.writeErr != nil {
			state = writeFailed
		}
	default:
	}
	return closedRegularly(pssocket.EndingOf(e.conn.Raw), state)
}
