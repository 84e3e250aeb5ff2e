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
	// maxHeaderBytes bounds an answer's header.
	maxHeaderBytes = 64 << 10
	// maxInformational bounds the 1xx answers before the final one, and maxSurplus the
	// answers to other requests.
	maxInformational = 8
	maxSurplus       = 4
	// maxSurplusBytes bounds the body of each of them.
	maxSurplusBytes = 1 << 20
	// maxInlineBodyBytes is the length up to which a body in memory is written before the
	// answer is read; all others are written while the answer is read.
	maxInlineBodyBytes = 16 << 10
)

var (
	errUpgrade       = errors.New("the server switched protocols unasked")
	errInformational = errors.New("the server sent too many 1xx answers")
	errSurplus       = errors.New("the server sent too many answers to other requests")
	errEndless       = errors.New("the server sent an answer without a near end to another request")
)

// BodyError says that the request's body could not be read; the server is not to blame.
type BodyError struct {
	// Cause is the failure of the body's reader.
	Cause error
}

// Error names the failure.
func (e *BodyError) Error() string { return "read the request's body: " + e.Cause.Error() }

// Unwrap returns the failure.
func (e *BodyError) Unwrap() error { return e.Cause }

// exchange is one request and its answer on a connection.
type exchange struct {
	conn    *conn
	request *http.Request
	context context.Context
	rules   Rules
	// sent says that a byte of the request may have reached the server.
	sent atomic.Bool
	// written is closed when nothing more of the request is written.
	written chan struct{}
	// failure is what ended the writing; it may be read once written is closed.
	failure error
	// callerFailed says that the request's body could not be read.
	callerFailed bool
	// stop ends the wait for the context.
	stop func() bool
	// closes says that the server closes the connection after the answer.
	closes bool
	ended  sync.Once
}

// run returns the answer. Its body ends the exchange.
func (e *exchange) run() (*http.Response, error) {
	e.stop = context.AfterFunc(e.context, e.conn.discard)
	if e.inline() {
		e.write()
	} else {
		e.request.Body = &requestBody{ReadCloser: e.request.Body, exchange: e}
		go e.write()
	}
	answer, err := e.read()
	if err != nil {
		e.abort()
		return nil, e.cause(err)
	}
	e.closes = answer.Close || e.request.Close
	if answer.Body == http.NoBody {
		e.end()
		return answer, nil
	}
	answer.Body = &answerBody{
		exchange: e, inner: answer.Body,
		// Without a length or chunks the end of the body is a closed connection, as a break is.
		endless: answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 && !e.rules.EndByClose,
	}
	return answer, nil
}

// inline reports whether writing the request can wait for nobody but the server.
func (e *exchange) inline() bool {
	if e.request.ContentLength == 0 {
		closeBody(e.request)
		e.request.Body = nil
		return true
	}
	_, memory := e.request.Body.(*memoryBody)
	return memory && e.request.ContentLength <= maxInlineBodyBytes
}

// memoryBody is a request's body that is in memory.
type memoryBody struct {
	bytes.Reader
}

// Close does nothing.
func (*memoryBody) Close() error { return nil }

// Body returns a request's body that is in memory.
func Body(b []byte) io.ReadCloser {
	m := &memoryBody{}
	m.Reset(b)
	return m
}

// write writes the request.
func (e *exchange) write() {
	defer closeBody(e.request)
	w := e.conn.writer
	w.Reset(connWriter{e})
	err := e.request.Write(bufferedWriter{w})
	if err == nil {
		err = w.Flush()
	}
	e.callerFailed = e.failure != nil
	if !e.callerFailed {
		e.failure = err
	}
	// The reader of the answer looks for the cause once the connection is closed.
	close(e.written)
	if e.callerFailed {
		// Half a request must not look like one that the server is slow to answer.
		e.conn.discard()
	}
}

// connWriter passes the request to the connection and notes that it did.
type connWriter struct {
	exchange *exchange
}

// Write writes to the connection.
func (w connWriter) Write(b []byte) (int, error) {
	before := w.exchange.sent.Swap(true)
	n, err := w.exchange.conn.raw.Write(b)
	if n == 0 && !before {
		w.exchange.sent.Store(false)
	}
	return n, err
}

// bufferedWriter hides all of a bufio.Writer but writing: net/http would flush between
// header and body, and read a body straight into the buffer.
type bufferedWriter struct {
	buffer *bufio.Writer
}

// Write writes to the buffer.
func (w bufferedWriter) Write(b []byte) (int, error) { return w.buffer.Write(b) }

// WriteByte writes to the buffer.
func (w bufferedWriter) WriteByte(b byte) error { return w.buffer.WriteByte(b) }

// WriteString writes to the buffer.
func (w bufferedWriter) WriteString(s string) (int, error) { return w.buffer.WriteString(s) }

// requestBody is a body that may keep the writer waiting.
type requestBody struct {
	io.ReadCloser
	exchange *exchange
	closed   sync.Once
}

// Close closes the caller's body once; net/http closes it as well, but not after each failure.
func (b *requestBody) Close() error {
	b.closed.Do(func() { _ = b.ReadCloser.Close() })
	return nil
}

// Read passes on what was read before, and then reads.
func (b *requestBody) Read(p []byte) (int, error) {
	if err := b.exchange.conn.writer.Flush(); err != nil {
		return 0, io.EOF
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.exchange.failure = err
	}
	return n, err
}

// read reads the header of the final answer to this request.
func (e *exchange) read() (*http.Response, error) {
	defer func() { e.conn.limit.N = math.MaxInt64 }()
	for range maxSurplus {
		answer, err := e.readFinal()
		if err != nil {
			return nil, err
		}
		if e.rules.Mine == nil || e.rules.Mine(answer) {
			return answer, nil
		}
		if err := e.drop(answer); err != nil {
			return nil, err
		}
	}
	return nil, errSurplus
}

// readFinal reads the header of the next answer that isn't informational.
func (e *exchange) readFinal() (*http.Response, error) {
	for range maxInformational {
		e.conn.limit.N = maxHeaderBytes
		answer, err := http.ReadResponse(e.conn.reader, e.request)
		switch {
		case err != nil:
			return nil, err
		case answer.StatusCode == http.StatusSwitchingProtocols:
			return nil, errUpgrade
		case answer.StatusCode >= http.StatusOK:
			return answer, nil
		}
	}
	return nil, errInformational
}

// drop reads the rest of an answer that belongs to another request.
func (e *exchange) drop(answer *http.Response) error {
	if answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
		return errEndless
	}
	e.conn.limit.N = math.MaxInt64
	n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxSurplusBytes))
	if n == maxSurplusBytes {
		return errEndless
	}
	return err
}

// cause prefers what made the connection fail over the failure itself.
func (e *exchange) cause(err error) error {
	if ended := e.context.Err(); ended != nil {
		return ended
	}
	select {
	case <-e.written:
		if e.callerFailed {
			return &BodyError{e.failure}
		}
	default:
	}
	return err
}

// end gives the connection back after a whole answer if nothing is left on it.
func (e *exchange) end() {
	e.ended.Do(func() {
		finished := false
		select {
		case <-e.written:
			finished = e.failure == nil
		default:
		}
		if e.stop() && finished && !e.closes && e.conn.reader.Buffered() == 0 {
			e.conn.pool.put(e.conn)
			return
		}
		e.conn.discard()
	})
}

// abort closes the connection.
func (e *exchange) abort() {
	e.ended.Do(func() {
		e.stop()
		e.conn.discard()
	})
}

// answerBody ends the exchange with the answer's body.
type answerBody struct {
	exchange *exchange
	inner    io.Reader
	endless  bool
}

// Read reads the body. It reports io.ErrUnexpectedEOF where the body's end is not certain.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF):
		b.exchange.abort()
		return n, b.exchange.cause(err)
	case b.endless:
		b.exchange.abort()
		return n, io.ErrUnexpectedEOF
	}
	b.exchange.end()
	return n, io.EOF
}

// Close ends the exchange. A body that was not read to its end takes its connection along.
func (b *answerBody) Close() error {
	b.exchange.abort()
	return nil
}
