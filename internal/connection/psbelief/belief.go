// Package psbelief lets a VM that can't reach the store learn from another VM.
//
// A VM serves what it believes at its peer address, over HTTP. One that has lost the store,
// or that starts while the store is away, asks a VM that still reads it.
package psbelief

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psfleet"
)

const (
	// Path is where a VM serves its beliefs.
	Path = "/beliefs"
	// timeout bounds a call.
	timeout = 700 * time.Millisecond
	// maxBytes bounds an answer.
	maxBytes = 16 << 20
)

// Source gives what a VM believes.
type Source interface {
	Beliefs() (psfleet.Beliefs, bool)
}

// Handler serves beliefs; 404 before there are any.
func Handler(s Source) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		b, found := s.Beliefs()
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(b); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
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
	t := &http.Transport{DisableKeepAlives: true, DialContext: dial}
	return &Client{&http.Client{Transport: t, Timeout: timeout}}, t.CloseIdleConnections
}

// Ask returns what the VM at a peer address believes.
func (c *Client) Ask(ctx context.Context, at netip.AddrPort) (psfleet.Beliefs, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+Path, nil)
	if err != nil {
		return psfleet.Beliefs{}, errors.Wrap(err, "ask for beliefs")
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return psfleet.Beliefs{}, errors.Wrap(err, "ask for beliefs")
	}
	defer answer.Body.Close() //nolint:errcheck // the body was read
	if answer.StatusCode != http.StatusOK {
		return psfleet.Beliefs{}, errors.Errorf("ask for beliefs: status %d", answer.StatusCode)
	}
	var b psfleet.Beliefs
	err = json.NewDecoder(io.LimitReader(answer.Body, maxBytes)).Decode(&b)
	return b, errors.Wrap(err, "decode beliefs")
}
