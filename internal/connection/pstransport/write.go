package pstransport

import (
	"bufio"
	"bytes"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// inline reports whether the request is written before the response is read, without a goroutine of its own. Its body
// must be empty, or short and in memory, so that only the server can delay the write.
func (e *exchange) inline() bool {
	if e.request.ContentLength == 0 {
		closeBody(e.request)
		e.request.Body = nil
		return true
	}
	_, memory := e.request.Body.(*memoryBody)
	return memory && e.request.ContentLength <= maxInlineBodyBytes
}

// memoryBody is a request body that is held in memory.
type memoryBody struct {
	bytes.Reader
}

// Close implements [io.Closer]. It does nothing.
func (*memoryBody) Close() error { return nil }

// MemoryBody returns a request body that is held in memory. A short one is written without a goroutine of its own.
func MemoryBody(b []byte) io.ReadCloser {
	m := &memoryBody{}
	m.Reset(b)
	return m
}

// write writes the request and closes its body.
func (e *exchange) write() {
	defer closeBody(e.request)
	w := e.conn.Writer
	w.Reset(connWriter{e})
	err := e.request.Write(bufferedWriter{w})
	if err == nil {
		err = w.Flush()
	}
	e.bodyFailed = e.writeErr != nil
	if !e.bodyFailed {
		e.writeErr = err
	}
	// The channel is closed before the connection, because the close makes the goroutine that reads the response fail
	// and read the cause.
	close(e.written)
	if e.bodyFailed {
		// The server would wait for the rest of a truncated request, which would look like a slow response.
		e.conn.Discard()
	}
}

// connWriter writes the request to the connection and records whether any of it may have been sent.
type connWriter struct {
	exchange *exchange
}

// Write implements [io.Writer].
func (w connWriter) Write(b []byte) (int, error) {
	before := w.exchange.sent.Swap(true)
	n, err := w.exchange.conn.Raw.Write(b)
	if n == 0 && !before {
		w.exchange.sent.Store(false)
	}
	return n, err
}

// bufferedWriter exposes only the write methods of a [bufio.Writer]. With the others, net/http would flush between
// header and body, and read a body directly into the buffer.
type bufferedWriter struct {
	buffer *bufio.Writer
}

// Write implements [io.Writer].
func (w bufferedWriter) Write(b []byte) (int, error) { return w.buffer.Write(b) }

// WriteByte implements [io.ByteWriter].
func (w bufferedWriter) WriteByte(b byte) error { return w.buffer.WriteByte(b) }

// WriteString implements [io.StringWriter].
func (w bufferedWriter) WriteString(s string) (int, error) { return w.buffer.WriteString(s) }

// flushingBody is a request body that may block. It flushes buffered bytes before each read.
type flushingBody struct {
	io.ReadCloser
	exchange *exchange
	closed   sync.Once
}

// Close closes the caller's body once. net/http also closes it, but not after every error.
func (b *flushingBody) Close() error {
	b.closed.Do(func() { _ = b.ReadCloser.Close() })
	return nil
}

// Read sends the bytes that were read before, and then reads more.
func (b *flushingBody) Read(p []byte) (int, error) {
	if err := b.exchange.conn.Writer.Flush(); err != nil {
		return 0, io.EOF
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.exchange.writeErr = err
	}
	return n, err
}
