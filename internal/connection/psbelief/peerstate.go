// Package psbelief lets a VM that can't reach the store learn from another VM.
//
// A VM serves what it believes at its peer address, over HTTP. One that has lost the store,
// or that starts while the store is away, asks a VM that still reads it.
package psbelief

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psfleet"
)

const (
	// Path is where a VM serves its beliefs.
	Path = "/beliefs"
	// PathOrders is where it serves them without the servers.
	PathOrders = "/beliefs/orders"
	// headerTimeout bounds the time to connect, and then until the VM answers; timeout bounds a whole
	// call. The beliefs of
	// a large fleet take seconds over the slowest links.
	headerTimeout = 700 * time.Millisecond
	timeout       = 5 * time.Second
	// maxBytes bounds an answer.
	maxBytes = 16 << 20
	// maxHeaderBytes bounds an answer's header.
	maxHeaderBytes = 64 << 10
)

// Source gives what a VM believes.
type Source interface {
	// Mark returns a mark that changes whenever the beliefs do, and their age; false before
	// there are any.
	Mark() (mark string, age time.Duration, found bool)
	Beliefs() (psfleet.ControlState, bool)
}

// headerAge tells the age of beliefs, as text such as "1.5s".
const headerAge = "Beliefs-Age"

// Handler serves beliefs; 404 before there are any, and 304 if the caller knows them.
func Handler(s Source) http.HandlerFunc {
	return handler(s, func(*psfleet.ControlState) {})
}

// OrdersHandler serves beliefs without the servers.
func OrdersHandler(s Source) http.HandlerFunc {
	return handler(s, func(b *psfleet.ControlState) { b.Servers = nil })
}

// handler serves the part of the beliefs that a function leaves.
func handler(s Source, shorten func(*psfleet.ControlState)) http.HandlerFunc {
	e := &encoder{source: s, shorten: shorten}
	return func(w http.ResponseWriter, r *http.Request) {
		mark, age, found := s.Mark()
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set("ETag", quote(mark))
		w.Header().Set(headerAge, age.String())
		if r.Header.Get("If-None-Match") == quote(mark) {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		body, err := e.encode(mark)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = w.Write(body)
	}
}

func quote(mark string) string { return `"` + mark + `"` }

// encoder keeps the encoded beliefs, which many VMs may ask for at the same time.
type encoder struct {
	source  Source
	shorten func(*psfleet.ControlState)

	mutex sync.Mutex
	mark  string
	body  []byte
}

func (e *encoder) encode(mark string) ([]byte, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.body != nil && e.mark == mark {
		return e.body, nil
	}
	// What is encoded may be newer than the mark. The next answer then comes as a whole again.
	b, _ := e.source.Beliefs()
	e.shorten(&b)
	var body bytes.Buffer
	z := gzip.NewWriter(&body)
	if err := json.NewEncoder(z).Encode(b); err != nil {
		return nil, errors.Wrap(err, "encode beliefs")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "compress beliefs")
	}
	e.mark, e.body = mark, body.Bytes()
	return e.body, nil
}

// Client asks other VMs.
type Client struct {
	http *http.Client
}

// Dial connects to another VM.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client and its clean-up function. A nil dial connects over the
// machine's own network.
func NewClient(dial Dial) (*Client, func()) {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	limited := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, stop := context.WithTimeout(ctx, headerTimeout)
		defer stop()
		return dial(ctx, network, address)
	}
	t := &http.Transport{DisableKeepAlives: true, DialContext: limited, ResponseHeaderTimeout: headerTimeout, MaxResponseHeaderBytes: maxHeaderBytes}
	return &Client{&http.Client{Transport: t, Timeout: timeout}}, t.CloseIdleConnections
}

// Ask returns what the VM at a peer address believes. Beliefs with a mark that is known are not
// told again.
func (c *Client) Ask(ctx context.Context, at netip.AddrPort, known string) (psfleet.StateResponse, error) {
	return c.ask(ctx, at, Path, known)
}

// AskOrders returns what the VM at a peer address believes, without the servers.
func (c *Client) AskOrders(ctx context.Context, at netip.AddrPort) (psfleet.ControlState, error) {
	t, err := c.ask(ctx, at, PathOrders, "")
	return t.State, err
}

func (c *Client) ask(ctx context.Context, at netip.AddrPort, path, known string) (psfleet.StateResponse, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+path, nil)
	if err != nil {
		return psfleet.StateResponse{}, errors.Wrap(err, "ask for beliefs")
	}
	if known != "" {
		r.Header.Set("If-None-Match", quote(known))
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return psfleet.StateResponse{}, errors.Wrap(err, "ask for beliefs")
	}
	defer answer.Body.Close() //nolint:errcheck // the body was read
	t := psfleet.StateResponse{ETag: strings.Trim(answer.Header.Get("ETag"), `"`), Unchanged: answer.StatusCode == http.StatusNotModified}
	if !t.Unchanged && answer.StatusCode != http.StatusOK {
		return psfleet.StateResponse{}, errors.Errorf("ask for beliefs: status %d", answer.StatusCode)
	}
	if !t.Unchanged {
		if err := json.NewDecoder(io.LimitReader(answer.Body, maxBytes)).Decode(&t.State); err != nil {
			return psfleet.StateResponse{}, errors.Wrap(err, "decode beliefs")
		}
		if err := t.State.Check(); err != nil {
			return psfleet.StateResponse{}, err
		}
	}
	t.State.Age, err = time.ParseDuration(answer.Header.Get(headerAge))
	return t, errors.Wrap(err, "read the age of beliefs")
}
