// Package pspeer exchanges messages between VMs: JSON-RPC over UDP, with one message in each datagram.
//
// Reports, notices and digests are notifications. They are not acknowledged, and the next report replaces a lost one.
// A token request has a response, and is sent again if the response is late or lost. There are no connections, and the
// timeouts of requests are short, so that an unreachable VM doesn't delay messages to other VMs, and holds up a token
// request only briefly.
package pspeer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"persimmonstep/internal/connection/psdecode"
	"persimmonstep/internal/process/psmessage"
)

const (
	methodReport = "report"
	methodNotice = "notice"
	methodDigest = "digest"
	methodTake   = "take"
	// maxDatagramBytes bounds a received message, and maxMessageBytes what it takes when decoded.
	maxDatagramBytes = 32 << 10
	maxMessageBytes  = 2 << 20
	// requestAttempts is the number of times that a request is sent before it fails.
	requestAttempts = 2
)

// ErrNoResponse is returned for a request to which no response was received.
var ErrNoResponse = errors.New("request token: the VM did not respond")

// Handler handles the messages of other VMs.
type Handler interface {
	// HandleReport handles a valid report.
	HandleReport(r *psmessage.Report)
	// HandleNotice handles a valid notice.
	HandleNotice(n *psmessage.Notice)
	// HandleDigest handles a valid digest.
	HandleDigest(d *psmessage.Digest)
	// GrantToken responds to a request for a token of a workspace.
	GrantToken(r psmessage.TokenRequest) psmessage.TokenResponse
	// HandleInvalid handles a datagram that could not be processed.
	HandleInvalid(from netip.AddrPort, err error)
}

// Socket sends and receives datagrams. It is implemented by [net.UDPConn].
type Socket interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Endpoint sends and receives messages. It is safe for concurrent use, but Receive may run only once at a time.
type Endpoint struct {
	socket Socket
	codec  digestCodec

	mutex      sync.Mutex
	lastID     uint64
	pending    map[uint64]chan psmessage.TokenResponse
	roundTrips roundTrips
	// responses are the latest responses to other VMs. Only the goroutine that runs Receive uses them.
	responses responseCache
}

// Listen opens a UDP socket at an address.
func Listen(ctx context.Context, address netip.AddrPort) (Socket, error) {
	c, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for peer messages")
	}
	u, found := c.(*net.UDPConn)
	if !found {
		return nil, errors.Errorf("listen for peer messages: unexpected socket type %T", c)
	}
	return u, nil
}

// New returns an endpoint that uses a socket. The clean-up function closes the socket, which ends Receive.
func New(s Socket) (*Endpoint, func()) {
	// The request ids start at a random number, so that a restarted VM doesn't receive responses to requests of its
	// previous process.
	return &Endpoint{socket: s, lastID: rand.Uint64(), pending: make(map[uint64]chan psmessage.TokenResponse)}, func() { _ = s.Close() }
}

// Report sends a report to each of the VMs. It returns an error if the report could not be sent to one of them, but does
// not detect that a VM is unreachable, which shows by the absence of its own reports.
func (e *Endpoint) Report(r *psmessage.Report, to []psmessage.Identity) error {
	return e.notify(methodReport, r, to)
}

// Notice sends a notice to each of the VMs.
func (e *Endpoint) Notice(n *psmessage.Notice, to []psmessage.Identity) error {
	return e.notify(methodNotice, n, to)
}

func (e *Endpoint) notify(method string, params any, to []psmessage.Identity) error {
	n := &jsonrpc2.Request{Method: method, Notif: true}
	if err := n.SetParams(params); err != nil {
		return errors.Wrapf(err, "encode %s", method)
	}
	data, err := json.Marshal(n)
	if err != nil {
		return errors.Wrapf(err, "encode %s", method)
	}
	for _, i := range to {
		if _, failed := e.socket.WriteToUDPAddrPort(data, i.PeerAddress); failed != nil {
			err = errors.Wrapf(failed, "send %s to %s", method, i.VM)
		}
	}
	return err
}

// RequestToken requests a token of a workspace from a VM. It returns [ErrNoResponse] if the VM doesn't respond in time.
func (e *Endpoint) RequestToken(ctx context.Context, to netip.AddrPort, r psmessage.TokenRequest) (psmessage.TokenResponse, error) {
	id, response := e.register()
	defer e.unregister(id)
	q := &jsonrpc2.Request{Method: methodTake, ID: jsonrpc2.ID{Num: id}}
	if err := q.SetParams(r); err != nil {
		return psmessage.TokenResponse{}, errors.Wrap(err, "encode token request")
	}
	data, err := json.Marshal(q)
	if err != nil {
		return psmessage.TokenResponse{}, errors.Wrap(err, "encode token request")
	}
	attempts := requestAttempts
	if r.Server != nil {
		// The caller's request can go to another server at once.
		attempts = 1
	}
	for range attempts {
		start := time.Now()
		if _, err := e.socket.WriteToUDPAddrPort(data, to); err != nil {
			return psmessage.TokenResponse{}, errors.Wrap(err, "send token request")
		}
		select {
		case v := <-response:
			e.roundTrips.observe(to, time.Since(start))
			return v, nil
		case <-ctx.Done():
			return psmessage.TokenResponse{}, ctx.Err()
		case <-time.After(e.roundTrips.timeout(to)):
		}
	}
	return psmessage.TokenResponse{}, ErrNoResponse
}

// register adds a request to those that wait for a response, and returns its id.
func (e *Endpoint) register() (uint64, chan psmessage.TokenResponse) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.lastID++
	c := make(chan psmessage.TokenResponse, 1)
	e.pending[e.lastID] = c
	return e.lastID, c
}

func (e *Endpoint) unregister(id uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.pending, id)
}

// message is any JSON-RPC message.
type message struct {
	Method string           `json:"method"`
	ID     jsonrpc2.ID      `json:"id"`
	Params *json.RawMessage `json:"params"`
	Result *json.RawMessage `json:"result"`
}

// Receive passes messages to the handler until the socket is closed.
func (e *Endpoint) Receive(h Handler) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := e.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "receive message")
		}
		if err := e.handleDatagram(h, buffer[:n], from); err != nil {
			h.HandleInvalid(from, err)
		}
	}
}

// handleDatagram processes one datagram.
func (e *Endpoint) handleDatagram(h Handler, data []byte, from netip.AddrPort) error {
	var m message
	if err := psdecode.JSON(data, maxMessageBytes, &m); err != nil {
		return errors.Wrap(err, "decode message")
	}
	switch {
	case m.Method == methodReport && m.Params != nil:
		return handleReport(h, *m.Params)
	case m.Method == methodNotice && m.Params != nil:
		return handleNotice(h, *m.Params)
	case m.Method == methodDigest && m.Params != nil:
		return e.handleDigest(h, *m.Params)
	case m.Method == methodTake && m.Params != nil:
		return e.respond(h, m, from)
	case m.Method == "" && m.Result != nil:
		return e.handleResponse(m)
	}
	return errors.Errorf("handle message: unknown method or missing parameters: method %q", m.Method)
}

func handleReport(h Handler, params []byte) error {
	r := &psmessage.Report{}
	if err := json.Unmarshal(params, r); err != nil {
		return errors.Wrap(err, "decode report")
	}
	if err := r.Check(); err != nil {
		return err
	}
	h.HandleReport(r)
	return nil
}

func handleNotice(h Handler, params []byte) error {
	n := &psmessage.Notice{}
	if err := json.Unmarshal(params, n); err != nil {
		return errors.Wrap(err, "decode notice")
	}
	if err := n.Check(); err != nil {
		return err
	}
	h.HandleNotice(n)
	return nil
}

// respond responds to a token request. A retry of a request gets the same response.
func (e *Endpoint) respond(h Handler, m message, from netip.AddrPort) error {
	if m.ID.IsString {
		return errors.New("handle token request: id is not a number")
	}
	k := requestKey{from, m.ID.Num}
	data, found := e.responses.get(k)
	if !found {
		var err error
		if data, err = newResponse(h, m); err != nil {
			return err
		}
		e.responses.put(k, data)
	}
	_, err := e.socket.WriteToUDPAddrPort(data, from)
	return errors.Wrap(err, "send token response")
}

// newResponse returns the encoded response to a token request.
func newResponse(h Handler, m message) ([]byte, error) {
	var r psmessage.TokenRequest
	if err := json.Unmarshal(*m.Params, &r); err != nil {
		return nil, errors.Wrap(err, "decode token request")
	}
	if err := r.Check(); err != nil {
		return nil, err
	}
	v := &jsonrpc2.Response{ID: m.ID}
	if err := v.SetResult(h.GrantToken(r)); err != nil {
		return nil, errors.Wrap(err, "encode token response")
	}
	data, err := json.Marshal(v)
	return data, errors.Wrap(err, "encode token response")
}

// handleResponse passes a response to the request that waits for it. Late responses are dropped.
func (e *Endpoint) handleResponse(m message) error {
	var v psmessage.TokenResponse
	if err := json.Unmarshal(*m.Result, &v); err != nil {
		return errors.Wrap(err, "decode token response")
	}
	if err := v.Check(); err != nil {
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if c, found := e.pending[m.ID.Num]; found {
		delete(e.pending, m.ID.Num)
		c <- v
	}
	return nil
}
