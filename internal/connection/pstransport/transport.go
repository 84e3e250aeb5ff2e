// Package pstransport holds the connections to backend servers.
//
// Each backend server has a connection pool of its own, bounded by this VM's part of the
// connections that the server holds. A connection whose answer was not read to its end is
// closed and never reused. A request that must not run twice gets a connection of its own,
// because a server may close an idle connection just as a request is written to it, and
// nobody can tell then whether the request ran.
package pstransport

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	dialTimeout     = time.Second
	idleTimeout     = 90 * time.Second
	maxHeaderBytes  = 64 << 10
	readBufferBytes = 16 << 10
)

// Transports holds one connection pool for each backend server.
type Transports struct {
	mutex sync.Mutex
	pools map[poolKey]*http.Transport
}

// poolKey identifies a connection pool.
type poolKey struct {
	address netip.AddrPort
	// single pools use each connection for one request.
	single bool
}

// New returns an empty set and its clean-up function.
func New() (*Transports, func()) {
	t := &Transports{pools: make(map[poolKey]*http.Transport)}
	return t, t.close
}

func (t *Transports) close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, p := range t.pools {
		p.CloseIdleConnections()
	}
}

func (t *Transports) pool(k poolKey, limit int) *http.Transport {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p, found := t.pools[k]
	if !found {
		p = &http.Transport{
			DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxConnsPerHost:        limit,
			MaxIdleConnsPerHost:    limit,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			ReadBufferSize:         readBufferBytes,
			DisableCompression:     true,
			DisableKeepAlives:      k.single,
		}
		t.pools[k] = p
	}
	return p
}

// Result is the end of one exchange.
type Result struct {
	// Response is the answer, nil after an error.
	Response *http.Response
	// Sent says that a byte of the request may have reached the server.
	Sent bool
}

// Send sends a request to the server at the address, over at most limit connections. A
// request with Close set gets a connection of its own.
func (t *Transports) Send(ctx context.Context, address netip.AddrPort, limit int, r *http.Request) (Result, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	answer, err := t.pool(poolKey{address: address, single: r.Close}, limit).RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	return Result{Response: answer, Sent: sent.Load()}, err
}
