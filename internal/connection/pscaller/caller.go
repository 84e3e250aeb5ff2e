// Package pscaller knows the connection of a caller behind a request that an HTTP server serves.
//
// A request alone doesn't show that its caller has disconnected until some time later. The connection does, which [WithConn]
// adds to the context of its requests.
package pscaller

import (
	"context"
	"net"
	"net/http"
	"time"

	"persimmonstep/internal/connection/pssocket"
	"persimmonstep/platform/psheader"
)

// connKey is the context key of the caller's connection.
type connKey struct{}

// WithConn adds a caller's connection to the context of its requests. It is the ConnContext of an [http.Server].
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// arrivalKey is the context key of the time at which a request arrived.
type arrivalKey struct{}

// WithArrival adds the time at which a request was read to its context, if it has waited for earlier requests of its
// connection since.
func WithArrival(ctx context.Context, at time.Time) context.Context {
	return context.WithValue(ctx, arrivalKey{}, at)
}

// ArrivedAt returns the time at which a request arrived, which is now unless it has waited.
func ArrivedAt(r *http.Request, now time.Time) time.Time {
	if at, waited := r.Context().Value(arrivalKey{}).(time.Time); waited {
		return at
	}
	return now
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

// Abort ends a response so that it doesn't look complete. Package psserve resets the connection if a part of the response was
// written: an HTTP/1.0 caller takes a regular close for the end of a response without a length. It panics with
// [http.ErrAbortHandler].
func Abort() { panic(http.ErrAbortHandler) }

// RespondEarly lets the response go out before the request body was read to its end. The connection cannot be reused,
// because the rest of the body would be parsed as the next request. [StopReading] must be called after the response.
func RespondEarly(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	// Without this call, a server may wait for the rest of the body before the response. Only the response writers of
	// tests don't support it.
	_ = http.NewResponseController(w).EnableFullDuplex()
}

// StopReading ends the reading of the request body. Without it, a server may wait for the rest of the body after the
// response. It must not be called while the response is still read from a backend server, to which the body may be sent.
func StopReading(w http.ResponseWriter) {
	// Only the response writers of tests don't support deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
}

// CloseWhenLast lets the connection close with a response if no further request of its caller has begun.
func CloseWhenLast(w http.ResponseWriter) {
	if v, found := w.(interface{ CloseWhenLast() }); found {
		v.CloseWhenLast()
		return
	}
	w.Header().Set("Connection", "close")
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
