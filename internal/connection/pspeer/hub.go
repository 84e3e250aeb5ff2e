// Package pspeer carries calls between the VMs over jsonrpc2.
//
// A VM dials a connection to each VM that it calls and keeps it. The first message on a
// connection names the dialing VM. Calls are matched with their answers by id, so that a
// late answer is dropped and never taken for another one.
package pspeer

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"persimmonstep/internal/version/psdoc"
)

const (
	dialTimeout = 500 * time.Millisecond
	// callTimeout bounds a call whose context has no earlier deadline.
	callTimeout = 2 * time.Second
	methodHello = "peer.hello"
)

// Peer is another VM.
type Peer struct {
	// Name is the VM's name.
	Name psdoc.Name
	// Address is its peer address.
	Address netip.AddrPort
}

// Handler answers a call from another VM.
type Handler func(ctx context.Context, from psdoc.Name, params json.RawMessage) (any, error)

// Wrapper secures raw connections; the identity wrapper leaves them as they are.
type Wrapper interface {
	// Server wraps an accepted connection.
	Server(c net.Conn) net.Conn
	// Client wraps a dialed connection to a VM.
	Client(c net.Conn, to psdoc.Name) net.Conn
}

// Plain leaves connections as they are.
type Plain struct{}

// Server returns c.
func (Plain) Server(c net.Conn) net.Conn { return c }

// Client returns c.
func (Plain) Client(c net.Conn, _ psdoc.Name) net.Conn { return c }

// Hub holds the connections to other VMs.
type Hub struct {
	self    psdoc.Name
	wrapper Wrapper
	base    context.Context

	mutex    sync.Mutex
	handlers map[string]Handler
	links    map[psdoc.Name]*link
	accepted map[*jsonrpc2.Conn]struct{}
	closed   bool
}

// link is the dialed connection to one VM.
type link struct {
	address netip.AddrPort
	mutex   sync.Mutex
	conn    *jsonrpc2.Conn
}

// hello is the first message on a connection.
type hello struct {
	VM psdoc.Name `json:"vm"`
}

// New returns a hub and its clean-up function, which closes all connections.
func New(ctx context.Context, self psdoc.Name, w Wrapper) (*Hub, func()) {
	h := &Hub{
		self: self, wrapper: w, base: ctx,
		handlers: make(map[string]Handler),
		links:    make(map[psdoc.Name]*link),
		accepted: make(map[*jsonrpc2.Conn]struct{}),
	}
	return h, h.close
}

// Handle registers the handler of a method. It must be called before Serve.
func (h *Hub) Handle(method string, f Handler) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if _, found := h.handlers[method]; found {
		panic("pspeer: method " + method + " has a handler already")
	}
	h.handlers[method] = f
}

// Serve accepts connections until the listener is closed.
func (h *Hub) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s := &session{hub: h}
		h.mutex.Lock()
		if h.closed {
			h.mutex.Unlock()
			_ = c.Close()
			return
		}
		conn := jsonrpc2.NewConn(h.base, stream(h.wrapper.Server(c)), s)
		h.accepted[conn] = struct{}{}
		h.mutex.Unlock()
		go h.forgetWhenClosed(conn)
	}
}

func (h *Hub) forgetWhenClosed(c *jsonrpc2.Conn) {
	<-c.DisconnectNotify()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.accepted, c)
}

func stream(c net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(c, jsonrpc2.VarintObjectCodec{})
}

// Call sends a call to another VM and decodes its answer into result unless that is nil.
func (h *Hub) Call(ctx context.Context, to Peer, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := time.Now()
	l := h.link(to)
	c, err := l.connect(ctx, h, to)
	if err != nil {
		return errors.Wrapf(err, "reach VM %s", to.Name)
	}
	err = c.Call(ctx, method, params, result)
	// A caller with little patience must not end the calls of others on the same link.
	stalled := err != nil && time.Since(began) >= callTimeout
	if stalled || errors.Is(err, jsonrpc2.ErrClosed) {
		l.drop(c)
	}
	return errors.Wrapf(err, "call %s of VM %s", method, to.Name)
}

func (h *Hub) link(to Peer) *link {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	l, found := h.links[to.Name]
	if !found || l.address != to.Address {
		l = &link{address: to.Address}
		h.links[to.Name] = l
	}
	return l
}

// connect returns the open connection or dials one.
func (l *link) connect(ctx context.Context, h *Hub, to Peer) (*jsonrpc2.Conn, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.conn != nil {
		select {
		case <-l.conn.DisconnectNotify():
		default:
			return l.conn, nil
		}
	}
	raw, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", l.address.String())
	if err != nil {
		return nil, err
	}
	refuse := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go the other way"}
	})
	c := jsonrpc2.NewConn(h.base, stream(h.wrapper.Client(raw, to.Name)), refuse)
	if err := c.Notify(ctx, methodHello, hello{VM: h.self}); err != nil {
		_ = c.Close()
		return nil, err
	}
	l.conn = c
	return c, nil
}

// drop closes a connection that is stalled, so that the next call dials a new one.
func (l *link) drop(c *jsonrpc2.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.conn == c {
		l.conn = nil
	}
	_ = c.Close()
}

func (h *Hub) close() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.closed = true
	for c := range h.accepted {
		_ = c.Close()
	}
	for _, l := range h.links {
		l.close()
	}
}

func (l *link) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.conn != nil {
		_ = l.conn.Close()
	}
}

// session is an accepted connection.
type session struct {
	hub   *Hub
	mutex sync.Mutex
	from  psdoc.Name
}

// Handle answers one call. The greeting is read in order, before any call that follows it.
func (s *session) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Method == methodHello {
		s.greet(r)
		return
	}
	go s.serve(ctx, c, r)
}

func (s *session) greet(r *jsonrpc2.Request) {
	var in hello
	if r.Params == nil || json.Unmarshal(*r.Params, &in) != nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.from = in.VM
}

func (s *session) serve(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	answer, err := s.answer(ctx, r)
	if r.Notif {
		return
	}
	if err != nil {
		_ = c.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
		return
	}
	_ = c.Reply(ctx, r.ID, answer)
}

func (s *session) answer(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	s.hub.mutex.Lock()
	f, found := s.hub.handlers[r.Method]
	s.hub.mutex.Unlock()
	if !found {
		return nil, errors.Errorf("unknown method %q", r.Method)
	}
	s.mutex.Lock()
	from := s.from
	s.mutex.Unlock()
	return f(ctx, from, params)
}
