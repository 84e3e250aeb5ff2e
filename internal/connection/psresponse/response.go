// Package psresponse reads the responses of backend servers, classifies them and forwards them to callers.
//
// A short response is buffered completely before any of it is forwarded, so that a truncated one can be replaced
// by a retry. A long response is streamed after its first part, as is a short one for which there is no memory.
package psresponse

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"persimmonstep/internal/connection/psbudget"
	"persimmonstep/platform/psheader"
)

const (
	// maxBufferedBytes is the length up to which a response is buffered completely before any of it is forwarded.
	maxBufferedBytes = 512 << 10
	// firstStepBytes is the size of the buffer at first. It doubles while the body is longer.
	firstStepBytes = 4 << 10
)

// Response is the response of a backend server.
type Response struct {
	Status int
	Header http.Header
	// Metadata holds the values of the platform's headers.
	Metadata psheader.Response
	// Body is the complete body of a short response, or the first part of a long one.
	Body []byte
	// Remainder reads what follows Body in a long response; nil for a short one.
	Remainder io.ReadCloser
	// length is the body's declared length in bytes; -1 if none was declared.
	length int64
	// head is set for the response to HEAD, which declares the length of a body that doesn't follow.
	head bool
	// account is that of the caller's connection, and held the number of bytes that are drawn from it.
	account *psbudget.Account
	held    int64
}

// Read reads a response. It fails if a short response, or the first part of a long one, is truncated. What is buffered is
// drawn from the account, in addition to the held bytes that were drawn for the header. Both are returned when the
// response has been relayed or closed.
func Read(raw *http.Response, a *psbudget.Account, held int64) (*Response, error) {
	r := &Response{
		Status: raw.StatusCode, Header: raw.Header,
		Metadata: psheader.ReadResponse(raw.StatusCode, raw.Header), length: raw.ContentLength,
		head: raw.Request != nil && raw.Request.Method == http.MethodHead, account: a, held: held,
	}
	complete, err := r.buffer(raw.Body)
	if err == nil && !complete {
		r.Remainder = raw.Body
		return r, nil
	}
	// The end of the body, or the error, has already ended the exchange, so that Close has no further effect.
	_ = raw.Body.Close()
	if err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// buffer buffers a body up to its end, which it reports, or as far as the limit and the account allow.
func (r *Response) buffer(body io.Reader) (complete bool, err error) {
	if body == http.NoBody {
		return true, nil
	}
	for len(r.Body) < maxBufferedBytes {
		if len(r.Body) == cap(r.Body) && !r.grow() {
			return false, nil
		}
		n, err := body.Read(r.Body[len(r.Body):cap(r.Body)])
		r.Body = r.Body[:len(r.Body)+n]
		switch {
		case err == io.EOF: //nolint:errorlint // io.EOF is never wrapped
			return true, nil
		case err != nil:
			return false, err
		}
	}
	return false, nil
}

// grow enlarges the buffer. It returns false if the account doesn't grant that.
func (r *Response) grow() bool {
	size := min(maxBufferedBytes, max(firstStepBytes, 2*cap(r.Body)))
	if r.length > int64(cap(r.Body)) {
		size = int(min(int64(size), r.length))
	}
	if !r.account.Take(int64(size)) {
		return false
	}
	old := cap(r.Body)
	r.Body = append(make([]byte, 0, size), r.Body...)
	r.account.Return(int64(old))
	r.held += int64(size - old)
	return true
}

// Length returns the body's length in bytes. For a long body of undeclared length it is the length of the first part.
func (r *Response) Length() int { return max(len(r.Body), int(r.length)) }

// Close closes the remainder of a long response without reading it, and returns what is held to the account. Further calls
// do nothing.
func (r *Response) Close() {
	if r.Remainder != nil {
		_ = r.Remainder.Close()
	}
	r.account.Return(r.held)
	r.held = 0
}

// Class determines how a response is handled.
type Class uint8

const (
	// Valid responses are forwarded to the caller.
	Valid Class = iota
	// Misdirected responses come from a server other than the addressed one, which executed nothing.
	Misdirected
	// Shed responses report that the server did not execute the request.
	Shed
	// Unsigned responses lack the signature of a backend server.
	Unsigned
	// ServerError responses report a failure of the server.
	ServerError
)

// Class classifies the response.
func (r *Response) Class() Class {
	switch {
	case r.Status == http.StatusMisdirectedRequest:
		return Misdirected
	case r.Metadata.NotRun:
		return Shed
	case !r.Metadata.Signed && r.Status < http.StatusInternalServerError:
		return Unsigned
	case r.Status >= http.StatusInternalServerError:
		return ServerError
	}
	return Valid
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEndHeaders copies the headers without the hop-by-hop ones, which include those that Connection lists.
func EndToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	// A map, because a header within the limits can name thousands of headers and have as many.
	named := make(map[string]bool)
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range h {
		if !slices.Contains(hopByHopHeaders, name) && !named[name] {
			out[name] = slices.Clone(values)
		}
	}
	return out
}

// HasLength reports whether the response declared its length.
func (r *Response) HasLength() bool { return r.length >= 0 }

// TruncatedError reports that a response ended too early, or that the server did not finish it in time.
type TruncatedError struct {
	// Cause is the error of reading from the server.
	Cause error
}

func (e *TruncatedError) Error() string { return "read response body: " + e.Cause.Error() }

func (e *TruncatedError) Unwrap() error { return e.Cause }

// Relay forwards the response to a caller. It returns a [TruncatedError] if reading from the server fails, and
// any other error if writing to the caller fails. It closes the response.
func (r *Response) Relay(w http.ResponseWriter) error {
	defer r.Close()
	h := w.Header()
	for name, values := range EndToEndHeaders(r.Header) {
		h[name] = values
	}
	if len(h["Content-Type"]) == 0 {
		// Without this, net/http adds a guessed Content-Type.
		h["Content-Type"] = nil
	}
	if r.Remainder == nil && !r.head && r.Status != http.StatusNoContent && r.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	w.WriteHeader(r.Status)
	if _, err := w.Write(r.Body); err != nil || r.Remainder == nil {
		return err
	}
	remainder := &remainderReader{source: r.Remainder}
	_, err := io.Copy(w, remainder)
	if remainder.err != nil {
		return &TruncatedError{remainder.err}
	}
	return err
}

// remainderReader records the error of reading the remainder of a response.
type remainderReader struct {
	source io.Reader
	err    error
}

func (r *remainderReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if err != nil && err != io.EOF { //nolint:errorlint // io.EOF is never wrapped
		r.err = err
	}
	return n, err
}
