package pstransport

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// maxHeaderBytes bounds a response header.
	maxHeaderBytes = 64 << 10
	// maxInformational bounds the 1xx responses before a final one, and maxUnmatched the final responses that are
	// read before the request fails, because none of them belongs to it.
	maxInformational = 8
	maxUnmatched     = 4
	// maxUnmatchedBytes bounds the body of each response to another request.
	maxUnmatchedBytes = 1 << 20
	// maxInlineBodyBytes is the length up to which a body in memory is written before the response is read. Other
	// bodies are written concurrently with reading the response.
	maxInlineBodyBytes = 16 << 10
)

var (
	errUpgrade       = errors.New("read response: unexpected 101 Switching Protocols")
	errInformational = errors.New("read response: too many informational responses")
	errUnmatched     = errors.New("read response: too many responses to other requests")
	errUnboundedBody = errors.New("read response to another request: body is unbounded or too large")
)

// BodyError is the error of a request whose body could not be read. It is not a failure of the server.
type BodyError struct {
	// Cause is the error of the body's reader.
	Cause error
}

// Error implements error.
func (e *BodyError) Error() string { return "read request body: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Cause }

// exchange is one request and its response on a connection.
type exchange struct {
	conn    *conn
	request *http.Request
	context context.Context
	options Options
	// sent says that at least one byte of the request may have reached the server.
	sent atomic.Bool
	// written is closed when the write of the request has ended.
	written chan struct{}
	// writeErr is the error of the write. It may be read once written is closed.
	writeErr error
	// bodyFailed says that the request's body could not be read.
	bodyFailed bool
	// stop cancels the close of the connection that the end of the context triggers. It returns false if the context
	// has already ended.
	stop func() bool
	// lastExchange says that the connection is closed after the response.
	lastExchange bool
	ended        sync.Once
}

// roundTrip sends the request and returns the response. The exchange lasts until the response body is read to
// its end or closed.
func (e *exchange) roundTrip() (*http.Response, error) {
	e.stop = context.AfterFunc(e.context, e.conn.discard)
	if e.inline() {
		e.write()
	} else {
		e.request.Body = &flushingBody{ReadCloser: e.request.Body, exchange: e}
		go e.write()
	}
	response, err := e.readResponse()
	if err != nil {
		e.abort()
		return nil, e.cause(err)
	}
	e.lastExchange = response.Close || e.request.Close
	if response.Body == http.NoBody {
		e.finish()
		return response, nil
	}
	response.Body = &responseBody{
		exchange: e, inner: response.Body,
		// Without a length or chunked encoding, the body ends with the connection, and a truncated body can't be
		// distinguished from a complete one.
		closeDelimited: response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !e.options.AcceptCloseDelimited,
	}
	return response, nil
}

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
	w := e.conn.writer
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
		e.conn.discard()
	}
}

// connWriter writes the request to the connection and records whether any of it may have been sent.
type connWriter struct {
	exchange *exchange
}

// Write implements [io.Writer].
func (w connWriter) Write(b []byte) (int, error) {
	before := w.exchange.sent.Swap(true)
	n, err := w.exchange.conn.raw.Write(b)
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
	if err := b.exchange.conn.writer.Flush(); err != nil {
		return 0, io.EOF
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.exchange.writeErr = err
	}
	return n, err
}

// readResponse reads the header of the final response to this request, and drops the responses to other requests.
func (e *exchange) readResponse() (*http.Response, error) {
	defer func() { e.conn.limit.N = math.MaxInt64 }()
	for range maxUnmatched {
		response, err := e.readFinal()
		if err != nil {
			return nil, err
		}
		if e.options.Matches == nil || e.options.Matches(response, e.conn.reused) {
			return response, nil
		}
		if err := e.dropResponse(response); err != nil {
			return nil, err
		}
	}
	return nil, errUnmatched
}

// readFinal reads the header of the next response that isn't informational.
func (e *exchange) readFinal() (*http.Response, error) {
	for range maxInformational {
		e.conn.limit.N = maxHeaderBytes
		response, err := http.ReadResponse(e.conn.reader, e.request)
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errUpgrade
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
	return nil, errInformational
}

// dropResponse reads the rest of a response that belongs to another request, so that the next one can follow.
func (e *exchange) dropResponse(response *http.Response) error {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errUnboundedBody
	}
	e.conn.limit.N = math.MaxInt64
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxUnmatchedBytes))
	if n == maxUnmatchedBytes {
		return errUnboundedBody
	}
	return err
}

// cause returns the reason why the exchange closed its own connection. Without such a reason, it returns err.
func (e *exchange) cause(err error) error {
	if ended := e.context.Err(); ended != nil {
		return ended
	}
	select {
	case <-e.written:
		if e.bodyFailed {
			return &BodyError{e.writeErr}
		}
	default:
	}
	return err
}

// finish ends the exchange after a complete response. The connection returns to its pool if the request was written
// completely, no further bytes were received and neither side asked to close it. Otherwise it is closed.
func (e *exchange) finish() {
	e.ended.Do(func() {
		finished := false
		select {
		case <-e.written:
			finished = e.writeErr == nil
		default:
		}
		if e.stop() && finished && !e.lastExchange && e.conn.reader.Buffered() == 0 {
			e.conn.pool.put(e.conn)
			return
		}
		e.conn.discard()
	})
}

// abort ends the exchange and closes the connection.
func (e *exchange) abort() {
	e.ended.Do(func() {
		e.stop()
		e.conn.discard()
	})
}

// responseBody is a response body that ends the exchange when it is read to its end or closed.
type responseBody struct {
	exchange *exchange
	inner    io.Reader
	// closeDelimited bodies are ended by the close of the connection, which is not accepted as a complete body.
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
	case b.closeDelimited:
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
