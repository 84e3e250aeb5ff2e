// Package pscaller knows the connection of a caller behind a request that net/http serves.
//
// A request alone doesn't show that its caller has disconnected until some time later, and net/http waits for the rest of
// a body before a response goes out. Both need the connection, which [WithConn] adds to the context of its requests.
package pscaller

import (
	"context"
	"net"
	"net/http"
	"time"

	"persimmonstep/internal/connection/pslinger"
	"persimmonstep/internal/connection/pssocket"
	"persimmonstep/platform/psheader"
)

// connKey is the context key of the caller's connection.
type connKey struct{}

// WithConn adds a caller's connection to the context of its requests. It is the ConnContext of an [http.Server].
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request's caller, or nil if it is unknown.
func connOf(r *http.Request) net.Conn {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	return conn
}

// Gone reports whether the caller has closed its connection. It checks the socket, because net/http detects the close
// only some time after the request has begun, and an overloaded VM may start a request long after its caller
// disconnected.
func Gone(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	conn := connOf(r)
	return conn != nil && pssocket.StateOf(conn) == pssocket.Closed
}

// Abort ends a response so that it doesn't look complete. An HTTP/1.0 caller takes a regular close of the connection for
// the end of a response without a length. It panics with [http.ErrAbortHandler].
func Abort(r *http.Request) {
	pslinger.ResetOnClose(connOf(r))
	panic(http.ErrAbortHandler)
}

// RespondEarly lets the response go out before the request body was read to its end. The connection cannot be reused,
// because the rest of the body would be parsed as the next request. [StopReading] must be called after the response.
func RespondEarly(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	pslinger.MarkUnread(connOf(r))
	// Without this call, net/http waits for the rest of the body before the response. Only the response writers of tests
	// don't support it.
	_ = http.NewResponseController(w).EnableFullDuplex()
}

// StopReading ends the reading of the request body. Without it, net/http waits for the rest of the body after the response.
// It also ends the request's context, so it must not be called while the response is still read from a server.
func StopReading(w http.ResponseWriter) {
	// Only the response writers of tests don't support deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
}

// Refusal is a response to a caller without a response of a backend server.
type Refusal struct {
	Status    int
	RequestID string
	// RetryAfter is the time after which the caller should retry; 0 sends no Retry-After header.
	RetryAfter time.Duration
}

// WriteHeader sets the headers of the refusal.
func (f Refusal) WriteHeader(h http.Header) {
	psheader.WriteRequestID(h, f.RequestID)
	if f.RetryAfter > 0 {
		psheader.WriteRetryAfter(h, f.RetryAfter)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
}

// WriteBody writes the status and the body of the refusal.
func (f Refusal) WriteBody(w http.ResponseWriter) {
	w.WriteHeader(f.Status)
	_, _ = w.Write([]byte(http.StatusText(f.Status) + "\n"))
}
