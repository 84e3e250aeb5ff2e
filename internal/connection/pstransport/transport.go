// Package pstransport is an HTTP/1.1 client transport with one connection pool for each backend server.
//
// A connection is reused only if its last response was read to the end and nothing followed it, so that a late or
// unsolicited response is never matched to another request. A request with Close set gets a dedicated connection: a server may close an idle
// connection just as a request is written to it, and then it is unknown whether the request was executed. By default
// a response counts as truncated if only the close of the connection marks its end.
package pstransport

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/psbudget"
	"persimmonstep/internal/connection/pspool"
)

// Transport sends requests to backend servers. It is safe for concurrent use.
type Transport struct {
	pspool.Pools
}

// Dial opens a connection, as [net.Dialer.DialContext] does.
type Dial = pspool.Dial

// New returns a transport and its clean-up function, which closes the unused connections.
func New() (*Transport, func()) {
	t := &Transport{}
	return t, func() { t.Retain(func(netip.AddrPort) bool { return false }) }
}

// Result is the result of one exchange.
type Result struct {
	// Response is nil after an error.
	Response *http.Response
	// Sent says that at least one byte of the request may have reached the server.
	Sent bool
	// DialTime is how long opening the connection took; 0 if one was reused.
	DialTime time.Duration
	// IdleTime is how long the connection had been idle; 0 if it was opened for this exchange.
	IdleTime time.Duration
	// Held is what was drawn for the response's header from the account in the request's context, in bytes. It must be
	// returned to the account when the header is no longer used.
	Held int64
}

// Send sends a request to the server at the address, over at most limit connections. With a limit of 0, or with Close
// set, the exchange gets a dedicated connection. The request's ContentLength must be the length of its body, or -1 if
// that is unknown. Send closes the request's body when it is no longer read, which may be after Send has returned.
func (t *Transport) Send(ctx context.Context, address netip.AddrPort, limit int, r *http.Request) (Result, error) {
	return t.SendWith(ctx, address, limit, r, Options{})
}

// ErrMayNotSend is returned for a request that wasn't sent because [Options.MaySend] returned false.
var ErrMayNotSend = errors.New("send request: no longer permitted")

// Options define which connections and responses an exchange may use. The zero value allows any idle connection, and
// accepts the first final response whose end is marked by its length or by chunked encoding.
type Options struct {
	// MaxIdle bounds the idle time of a reused connection; 0 means no bound.
	MaxIdle time.Duration
	// MaySend is called once a connection is available and reports whether the request may still be sent; nil means
	// that it may.
	MaySend func() bool
	// Matches reports whether a response belongs to the request; nil means that it does. reused states that the connection
	// has served other requests, whose responses may be sent again. Responses that don't match are read and dropped.
	Matches func(r *http.Response, reused bool) bool
	// AcceptCloseDelimited accepts a response without a length as complete if the server closes the connection
	// regularly.
	AcceptCloseDelimited bool
}

// SendWith is [Transport.Send] with options.
func (t *Transport) SendWith(ctx context.Context, address netip.AddrPort, limit int, r *http.Request, options Options) (Result, error) {
	if r.Close {
		limit = 0
	}
	c, err := t.Get(ctx, address, limit, options.MaxIdle)
	if err != nil {
		closeBody(r)
		return Result{}, err
	}
	if options.MaySend != nil && !options.MaySend() {
		closeBody(r)
		c.Put()
		return Result{}, ErrMayNotSend
	}
	dialTime, idleTime := c.DialTime, c.IdleTime
	e := &exchange{conn: c, request: r, context: ctx, written: make(chan struct{}), options: options, account: psbudget.Of(ctx)}
	response, err := e.roundTrip()
	if err != nil {
		return Result{Sent: e.sent.Load(), DialTime: dialTime, IdleTime: idleTime}, err
	}
	return Result{Response: response, Sent: e.sent.Load(), DialTime: dialTime, IdleTime: idleTime, Held: e.held + e.buffer}, nil
}

func closeBody(r *http.Request) {
	if r.Body != nil {
		_ = r.Body.Close()
	}
}
