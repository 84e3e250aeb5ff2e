// Package pstransport is an HTTP/1.1 client transport with one connection pool for each backend server.
//
// Each pool is bounded by this VM's share of the connections that the server accepts. A connection is reused only if
// its last response was read to the end and nothing followed it, so that a late or unsolicited response is never
// matched to another request. A request with Close set gets a dedicated connection: a server may close an idle
// connection just as a request is written to it, and then it is unknown whether the request was executed. By default
// a response counts as truncated if only the close of the connection marks its end.
package pstransport

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/psbudget"
)

// Transport sends requests to backend servers. It is safe for concurrent use.
type Transport struct {
	// Source is the local address of the connections; the system chooses it if it is zero. It must be set before
	// the first use.
	Source netip.Addr
	// Dial replaces the opening of connections, unless it is nil. It must be set before the first use.
	Dial Dial

	mutex sync.Mutex
	pools map[netip.AddrPort]*pool
}

// Dial opens a connection, as [net.Dialer.DialContext] does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a transport and its clean-up function, which closes the unused connections.
func New() (*Transport, func()) {
	t := &Transport{pools: make(map[netip.AddrPort]*pool)}
	return t, func() { t.Retain(func(netip.AddrPort) bool { return false }) }
}

// Retain closes the pools of servers for which keep returns false. Exchanges in progress continue.
func (t *Transport) Retain(keep func(netip.AddrPort) bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for a, p := range t.pools {
		if !keep(a) {
			delete(t.pools, a)
			p.close()
		}
	}
}

// OpenConnections returns the number of open connections to a server, including those being dialed.
func (t *Transport) OpenConnections(address netip.AddrPort) int {
	t.mutex.Lock()
	p, found := t.pools[address]
	t.mutex.Unlock()
	if !found {
		return 0
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}

func (t *Transport) pool(address netip.AddrPort) *pool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p, found := t.pools[address]
	if !found {
		p = &pool{address: address, connect: t.connect}
		t.pools[address] = p
	}
	return p
}

// connect opens a connection to a server.
func (t *Transport) connect(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	dial := t.Dial
	if dial == nil {
		dial = t.dialer().DialContext
	}
	return dial(ctx, "tcp", address.String())
}

// Reach opens a connection to a server and closes it at once. It returns an error if that fails.
func (t *Transport) Reach(ctx context.Context, address netip.AddrPort) error {
	c, err := t.connect(ctx, address)
	if err != nil {
		return err
	}
	return c.Close()
}

// Result is the result of one exchange.
type Result struct {
	// Response is nil after an error.
	Response *http.Response
	// Sent says that at least one byte of the request may have reached the server.
	Sent bool
	// DialTime is how long opening the connection took; 0 if one was reused.
	DialTime time.Duration
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
	c, err := t.pool(address).get(ctx, limit, options.MaxIdle)
	if err != nil {
		closeBody(r)
		return Result{}, err
	}
	if options.MaySend != nil && !options.MaySend() {
		closeBody(r)
		c.pool.put(c)
		return Result{}, ErrMayNotSend
	}
	dialTime := c.dialTime
	e := &exchange{conn: c, request: r, context: ctx, written: make(chan struct{}), options: options, account: psbudget.Of(ctx)}
	response, err := e.roundTrip()
	return Result{Response: response, Sent: e.sent.Load(), DialTime: dialTime, Held: e.held}, err
}

func closeBody(r *http.Request) {
	if r.Body != nil {
		_ = r.Body.Close()
	}
}
