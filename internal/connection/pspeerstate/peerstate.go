// Package pspeerstate transfers control state between VMs, so that a VM that can't reach the store stays up to date.
//
// Each VM serves its control state over HTTP at its peer address. A VM that has lost the connection to the store, or
// that starts while the store is unavailable, fetches the state from a VM that still reads the store. It sends the
// entity tag of the state that it has, and unchanged state is not transferred again.
package pspeerstate

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/psdecode"
	"persimmonstep/internal/process/psmessage"
)

const (
	// Path is the path at which a VM serves its control state.
	Path = "/beliefs"
	// PathDesiredState is the path at which a VM serves its control state without the servers.
	PathDesiredState = "/beliefs/orders"
	// headerTimeout bounds the time to connect, and then the time until the response header. timeout bounds the whole
	// fetch: the control state of a large fleet takes seconds over the slowest links.
	headerTimeout = 700 * time.Millisecond
	timeout       = 5 * time.Second
	// maxBytes bounds a decompressed response body, and maxDecodedBytes what the state takes when decoded.
	maxBytes        = 16 << 20
	maxDecodedBytes = 64 << 20
	// maxHeaderBytes bounds a response header.
	maxHeaderBytes = 64 << 10
)

// Source provides the control state of a VM.
type Source interface {
	// StateTag returns a tag that changes whenever the control state changes, and the age of the state; false before
	// there is any.
	StateTag() (tag string, age time.Duration, found bool)
	// ControlState returns the control state; false before there is any.
	ControlState() (psmessage.ControlState, bool)
}

// headerAge is the header with the age of the control state, as a duration such as "1.5s".
const headerAge = "Beliefs-Age"

// Handler serves the control state. It responds with 404 before there is any, and with 304 if the requester has it.
func Handler(s Source) http.HandlerFunc {
	return handler(s, func(*psmessage.ControlState) {})
}

// DesiredStateHandler serves the control state without the servers.
func DesiredStateHandler(s Source) http.HandlerFunc {
	return handler(s, func(v *psmessage.ControlState) { v.Servers = nil })
}

// handler serves the control state after the function shorten has removed fields of it.
func handler(s Source, shorten func(*psmessage.ControlState)) http.HandlerFunc {
	e := &encoder{source: s, shorten: shorten}
	return func(w http.ResponseWriter, r *http.Request) {
		tag, age, found := s.StateTag()
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set("ETag", quote(tag))
		w.Header().Set(headerAge, age.String())
		if r.Header.Get("If-None-Match") == quote(tag) {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		body, err := e.encode(tag)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = w.Write(body)
	}
}

// quote returns a tag in the quotes that HTTP requires around entity tags.
func quote(tag string) string { return `"` + tag + `"` }

// encoder caches the encoded control state, because many VMs may fetch it at the same time.
type encoder struct {
	source  Source
	shorten func(*psmessage.ControlState)

	mutex sync.Mutex
	tag   string
	body  []byte
}

func (e *encoder) encode(tag string) ([]byte, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.body != nil && e.tag == tag {
		return e.body, nil
	}
	// The encoded state may be newer than its tag. Then the next response is not 304, but has the whole state again.
	v, _ := e.source.ControlState()
	e.shorten(&v)
	var body bytes.Buffer
	z := gzip.NewWriter(&body)
	if err := json.NewEncoder(z).Encode(v); err != nil {
		return nil, errors.Wrap(err, "encode control state")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "compress control state")
	}
	e.tag, e.body = tag, body.Bytes()
	return e.body, nil
}

// Client fetches the control state of other VMs.
type Client struct {
	http *http.Client
}

// Dial opens a connection to another VM, as [net.Dialer.DialContext] does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client and its clean-up function. A nil dial function stands for the one of a [net.Dialer].
func NewClient(dial Dial) (*Client, func()) {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	dialLimited := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, stop := context.WithTimeout(ctx, headerTimeout)
		defer stop()
		return dial(ctx, network, address)
	}
	t := &http.Transport{
		DisableKeepAlives: true, DialContext: dialLimited,
		ResponseHeaderTimeout: headerTimeout, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Client{&http.Client{Transport: t, Timeout: timeout}}, t.CloseIdleConnections
}

// Fetch returns the validated control state of the VM at a peer address. If the state still has the tag known, the
// response is marked as unchanged, and has the tag and the age but no state.
func (c *Client) Fetch(ctx context.Context, at netip.AddrPort, known string) (psmessage.StateResponse, error) {
	return c.fetch(ctx, at, Path, known)
}

// FetchDesiredState returns the validated control state of the VM at a peer address, without the servers.
func (c *Client) FetchDesiredState(ctx context.Context, at netip.AddrPort) (psmessage.ControlState, error) {
	v, err := c.fetch(ctx, at, PathDesiredState, "")
	return v.State, err
}

func (c *Client) fetch(ctx context.Context, at netip.AddrPort, path, known string) (psmessage.StateResponse, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+path, nil)
	if err != nil {
		return psmessage.StateResponse{}, errors.Wrap(err, "fetch control state")
	}
	if known != "" {
		r.Header.Set("If-None-Match", quote(known))
	}
	response, err := c.http.Do(r)
	if err != nil {
		return psmessage.StateResponse{}, errors.Wrap(err, "fetch control state")
	}
	defer response.Body.Close() //nolint:errcheck // the body was read
	v := psmessage.StateResponse{
		ETag:      strings.Trim(response.Header.Get("ETag"), `"`),
		Unchanged: response.StatusCode == http.StatusNotModified && known != "",
	}
	if !v.Unchanged && response.StatusCode != http.StatusOK {
		return psmessage.StateResponse{}, errors.Errorf("fetch control state: status %d", response.StatusCode)
	}
	if !v.Unchanged {
		data, err := psdecode.ReadAll(response.Body, maxBytes)
		if err == nil {
			err = psdecode.JSON(data, maxDecodedBytes, &v.State)
		}
		if err != nil {
			return psmessage.StateResponse{}, errors.Wrap(err, "decode control state")
		}
		if err := v.State.Check(); err != nil {
			return psmessage.StateResponse{}, err
		}
	}
	v.State.Age, err = time.ParseDuration(response.Header.Get(headerAge))
	return v, errors.Wrap(err, "parse age of control state")
}
