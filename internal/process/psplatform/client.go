package psplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// callTimeout bounds one call to the platform.
	callTimeout = 2 * time.Second
	// maxAnswerBytes bounds the body of one answer.
	maxAnswerBytes = 64 << 20
)

// Client reaches the platform over HTTP/JSON.
type Client struct {
	address netip.AddrPort
	http    *http.Client
}

// NewClient returns a client and its clean-up function.
func NewClient(address netip.AddrPort) (*Client, func()) {
	t := &http.Transport{MaxIdleConnsPerHost: 16, MaxConnsPerHost: 64, IdleConnTimeout: time.Minute}
	return &Client{address: address, http: &http.Client{Transport: t}}, t.CloseIdleConnections
}

// Read returns the rows of the keys.
func (c *Client) Read(ctx context.Context, keys ...string) ([]Row, error) {
	var out RowsResponse
	if err := c.post(ctx, PathRead, ReadRequest{Keys: keys}, &out); err != nil {
		return nil, err
	}
	if len(out.Rows) != len(keys) {
		return nil, errors.Errorf("the platform answered %d rows for %d keys", len(out.Rows), len(keys))
	}
	return out.Rows, nil
}

// Scan returns rows by prefix.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var out RowsResponse
	err := c.post(ctx, PathScan, ScanRequest{Prefix: prefix, After: after, Limit: limit}, &out)
	return out.Rows, err
}

// Commit carries out a transaction.
func (c *Client) Commit(ctx context.Context, t Transaction) (uint64, error) {
	var out CommitResponse
	err := c.post(ctx, PathCommit, t, &out)
	var unavailable *UnavailableError
	switch {
	case errors.As(err, &unavailable):
		return 0, err
	case err != nil:
		return 0, &UnknownError{Cause: err}
	case out.Refused != nil:
		return 0, &RefusedError{Current: *out.Refused}
	}
	return out.Revision, nil
}

// Put stores an object.
func (c *Client) Put(ctx context.Context, name string, content []byte) error {
	_, err := c.call(ctx, http.MethodPut, PathObjects+url.PathEscape(name), content)
	return err
}

// Get returns an object.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	body, err := c.call(ctx, http.MethodGet, PathObjects+url.PathEscape(name), nil)
	var s *statusError
	if errors.As(err, &s) && s.status == http.StatusNotFound {
		return nil, &NotFoundError{Name: name}
	}
	return body, err
}

// Machines returns the platform's list and its age.
func (c *Client) Machines(ctx context.Context) ([]Machine, time.Duration, error) {
	body, err := c.call(ctx, http.MethodGet, PathMachines, nil)
	if err != nil {
		return nil, 0, err
	}
	var out MachinesResponse
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, 0, errors.Wrap(err, "decode the VM list")
	}
	return out.Machines, time.Duration(out.AgeMillis) * time.Millisecond, nil
}

func (c *Client) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode a platform call")
	}
	answer, err := c.call(ctx, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(answer, out), "decode a platform answer")
}

// statusError is an answer other than 200.
type statusError struct {
	status int
}

// Error gives the status.
func (e *statusError) Error() string {
	return "the platform answered " + http.StatusText(e.status)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make a platform call")
	}
	// A repeated commit could take effect twice, so the transport must not repeat it.
	r.GetBody = nil
	a, err := c.http.Do(r)
	if err != nil {
		return nil, sortError(err)
	}
	defer a.Body.Close() //nolint:errcheck // the body was read or the connection is dropped
	if a.StatusCode == http.StatusServiceUnavailable {
		return nil, &UnavailableError{Cause: &statusError{status: a.StatusCode}}
	}
	if a.StatusCode != http.StatusOK {
		return nil, &statusError{status: a.StatusCode}
	}
	answer, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	return answer, errors.Wrap(err, "read a platform answer")
}

// sortError tells a call that never left this VM from one whose end is unknown.
func sortError(err error) error {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return &UnavailableError{Cause: err}
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return &UnavailableError{Cause: err}
	}
	return errors.Wrap(err, "call the platform")
}
