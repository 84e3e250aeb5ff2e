// Package psresponse reads the answers of backend servers.
//
// A short answer is read whole before any of it is passed on, so that one that is cut short
// can be replaced. Of a long one the rest follows while it arrives.
package psresponse

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"persimmonstep/platform"
)

// maxHeldBytes is the length up to which an answer is read whole before any of it is passed on.
const maxHeldBytes = 512 << 10

// Answer is a backend server's answer.
type Answer struct {
	Status int
	Header http.Header
	// Said is what the headers say.
	Said platform.Answer
	// Body is the whole body of a short answer, or the beginning of a long one.
	Body []byte
	// Rest follows the body of a long answer; nil otherwise.
	Rest io.ReadCloser
	// length is what the header says of the body's length; -1 where it says nothing.
	length int64
}

// Read reads an answer. It fails if the answer ends early.
func Read(r *http.Response) (*Answer, error) {
	a := &Answer{Status: r.StatusCode, Header: r.Header, Said: platform.ReadAnswer(r.StatusCode, r.Header), length: r.ContentLength}
	var b bytes.Buffer
	_, err := io.Copy(&b, io.LimitReader(r.Body, maxHeldBytes))
	a.Body = b.Bytes()
	if err == nil && len(a.Body) == maxHeldBytes {
		a.Rest = r.Body
		return a, nil
	}
	// The end of the body ended the exchange; closing it again does nothing.
	_ = r.Body.Close()
	if err != nil {
		return nil, err
	}
	return a, nil
}

// Length returns the size of the body in bytes, or of what is known of a long one.
func (a *Answer) Length() int { return max(len(a.Body), int(a.length)) }

// Close gives up the rest of a long answer.
func (a *Answer) Close() {
	if a.Rest != nil {
		_ = a.Rest.Close()
	}
}

// Class says what to do with an answer.
type Class uint8

const (
	// Good answers are passed on.
	Good Class = iota
	// Moved answers come from another server than the expected one, which ran nothing.
	Moved
	// Shed answers say that the server did not run the request.
	Shed
	// Spoilt answers don't bear the mark of a backend server.
	Spoilt
	// Failing answers report a failure of the server.
	Failing
)

// Class returns what to do with the answer.
func (a *Answer) Class() Class {
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		return Moved
	case a.Said.NotRun:
		return Shed
	case !a.Said.Signed && a.Status < http.StatusInternalServerError:
		return Spoilt
	case a.Status >= http.StatusInternalServerError:
		return Failing
	}
	return Good
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Forwardable copies the headers that don't concern one connection only.
func Forwardable(h http.Header) http.Header {
	out := make(http.Header, len(h))
	named := strings.Split(strings.Join(h["Connection"], ","), ",")
	for i := range named {
		named[i] = http.CanonicalHeaderKey(strings.TrimSpace(named[i]))
	}
	for name, values := range h {
		if !slices.Contains(hopHeaders, name) && !slices.Contains(named, name) {
			out[name] = slices.Clone(values)
		}
	}
	return out
}

// Bounded reports whether the answer said how long it is.
func (a *Answer) Bounded() bool { return a.length >= 0 }

// BrokenError says that a server broke an answer off, or didn't end it.
type BrokenError struct {
	// Cause is the failure of the server's connection.
	Cause error
}

// Error names the failure.
func (e *BrokenError) Error() string { return "the answer broke off: " + e.Cause.Error() }

// Unwrap returns the failure.
func (e *BrokenError) Unwrap() error { return e.Cause }

// Relay passes the answer on to a caller. It fails with a [BrokenError] if the server broke it off,
// and with another error if the caller takes no more of it.
func (a *Answer) Relay(w http.ResponseWriter) error {
	h := w.Header()
	for name, values := range Forwardable(a.Header) {
		h[name] = values
	}
	if len(h["Content-Type"]) == 0 {
		// net/http guesses one otherwise.
		h["Content-Type"] = nil
	}
	if a.Rest == nil && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil {
		a.Close()
		return err
	}
	if a.Rest == nil {
		return nil
	}
	defer a.Close()
	r := &restReader{inner: a.Rest}
	_, err := io.Copy(w, r)
	if r.err != nil {
		return &BrokenError{r.err}
	}
	return err
}

// restReader notes how reading the rest of an answer failed.
type restReader struct {
	inner io.Reader
	err   error
}

// Read reads from the server.
func (r *restReader) Read(p []byte) (int, error) {
	n, err := r.inner.Read(p)
	if err != nil && err != io.EOF { //nolint:errorlint // io.EOF is never wrapped
		r.err = err
	}
	return n, err
}
