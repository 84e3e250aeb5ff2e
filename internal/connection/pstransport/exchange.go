package pstransport

import (
	"context"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"

	"persimmonstep/internal/connection/psbudget"
	"persimmonstep/internal/connection/pspool"
)

const (
	// minStatus and maxStatus bound the status codes of HTTP (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
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

// InvalidResponseError is the error of an exchange in which the server sent what is no response, or more of it than is read.
type InvalidResponseError string

// Error implements error.
func (e InvalidResponseError) Error() string { return "read response: " + string(e) }

const (
	errStatus        InvalidResponseError = "status outside 100 to 599"
	errUpgrade       InvalidResponseError = "unexpected 101 Switching Protocols"
	errInformational InvalidResponseError = "too many informational responses"
	errUnmatched     InvalidResponseError = "too many responses to other requests"
	errUnboundedBody InvalidResponseError = "body of a response to another request is unbounded or too large"
	errHeaderSize    InvalidResponseError = "header is too large"
	errOldChunks     InvalidResponseError = "Transfer-Encoding in HTTP/1.0"
	errHeaderMemory  InvalidResponseError = "no memory for the header"
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
	conn    *pspool.Conn
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
	// account is that of the caller's connection. held is what was drawn from it for the header that was read last, and
	// buffer what was drawn for a larger buffer, until the end of the exchange.
	account      *psbudget.Account
	held, buffer int64
}

// roundTrip sends the request and returns the response. The exchange lasts until the response body is read to
// its end or closed.
func (e *exchange) roundTrip() (*http.Response, error) {
	e.stop = context.AfterFunc(e.context, e.conn.Abandon)
	if e.inline() {
		e.write()
	} else {
		e.request.Body = &flushingBody{ReadCloser: e.request.Body, exchange: e}
		go e.write()
	}
	response, err := e.readResponse()
	if err != nil {
		e.abort()
		e.account.Return(e.buffer)
		return nil, e.cause(err)
	}
	e.lastExchange = e.lastExchange || response.Close || e.request.Close
	if response.Body == http.NoBody {
		e.finish()
		return response, nil
	}
	response.Body = &responseBody{
		exchange: e, inner: response.Body,
		closeDelimited: response.ContentLength < 0 && len(response.TransferEncoding) == 0,
	}
	return response, nil
}

// readResponse reads the header of the final response to this request, and drops the responses to other requests.
func (e *exchange) readResponse() (*http.Response, error) {
	defer func() { e.conn.Limit.N = math.MaxInt64 }()
	for range maxUnmatched {
		response, err := e.readFinal()
		if err != nil {
			return nil, err
		}
		if e.options.Matches == nil || e.options.Matches(response, e.conn.Reused) {
			return response, nil
		}
		err = e.dropResponse(response)
		e.releaseHead()
		if err != nil {
			return nil, err
		}
	}
	return nil, errUnmatched
}

// readFinal reads the header of the next response that isn't informational.
func (e *exchange) readFinal() (*http.Response, error) {
	for range maxInformational {
		response, err := e.readHead()
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK && response.StatusCode <= maxStatus {
			return response, nil
		}
		e.releaseHead()
		switch {
		case response.StatusCode < minStatus || response.StatusCode > maxStatus:
			// net/http accepts any three digits. What follows such a header is not framed as HTTP, and it is unknown
			// whether the server has executed the request.
			return nil, errStatus
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errUpgrade
		}
	}
	return nil, errInformational
}

// readHead reads the header of the next response. What it takes is drawn from the account, until releaseHead is called.
func (e *exchange) readHead() (*http.Response, error) {
	e.conn.Limit.N = maxHeaderBytes
	h, err := receiveHead(e.conn.Reader, e.account)
	if err != nil {
		return nil, err
	}
	e.held = h.parsed
	e.buffer += h.buffer
	if h.buffer > 0 {
		// The larger buffer stays with the connection, which is therefore closed after the exchange.
		e.conn.Reader, e.lastExchange = h.reader, true
	}
	response, err := http.ReadResponse(h.reader, e.request)
	if err != nil {
		e.releaseHead()
	}
	return response, err
}

// releaseHead returns what was drawn for a header that is no longer used.
func (e *exchange) releaseHead() {
	e.account.Return(e.held)
	e.held = 0
}

// dropResponse reads the rest of a response that belongs to another request, so that the next one can follow.
func (e *exchange) dropResponse(response *http.Response) error {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errUnboundedBody
	}
	e.conn.Limit.N = math.MaxInt64
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
		if e.stop() && finished && !e.lastExchange && e.conn.Reader.Buffered() == 0 {
			e.conn.Put()
			return
		}
		e.conn.Discard()
	})
}

// abort ends the exchange and closes the connection.
func (e *exchange) abort() {
	e.ended.Do(func() {
		e.stop()
		e.conn.Discard()
	})
}
