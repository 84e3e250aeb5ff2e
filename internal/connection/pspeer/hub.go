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
	var accepting sync.WaitGroup
	defer accepting.Wait()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		accepting.Go(func() { h.accept(c) })
	}
}

// accept secures a connection and answers its calls.
func (h *Hub) accept(c net.Conn) {
	secure := h.wrapper.Server(watch(c))
	if handshake(h.base, secure) != nil {
		_ = c.Close()
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed {
		_ = c.Close()
		return
	}
	conn := jsonrpc2.NewConn(h.base, newStream(secure), &session{hub: h, conn: secure}, jsonrpc2.SetLogger(discard{}))
	h.accepted[conn] = struct{}{}
	go h.forgetWhenClosed(conn)
}

func (h *Hub) forgetWhenClosed(c *jsonrpc2.Conn) {
	<-c.DisconnectNotify()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.accepted, c)
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
	if errors.Is(err, jsonrpc2.ErrClosed) || (ctx.Err() != nil && l.stalled(c, began)) {
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

// session is an accepted connection.
type session struct {
	hub   *Hub
	conn  net.Conn
	mutex sync.Mutex
	from  psdoc.Name
}

// verifier is a connection that knows which names its other end may bear.
type verifier interface {
	VerifyPeer(vm psdoc.Name) error
}

// Handle answers one call. The greeting is read in order, before any call that follows it;
// a connection that does not begin with a greeting, or with another VM's, is closed.
func (s *session) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Method == methodHello {
		if !s.greet(r) {
			_ = c.Close()
		}
		return
	}
	if s.peer() == "" {
		_ = c.Close()
		return
	}
	go s.serve(ctx, c, r)
}

// greet takes the other VM's name and reports whether it may bear it.
func (s *session) greet(r *jsonrpc2.Request) bool {
	var in hello
	if r.Params == nil || json.Unmarshal(*r.Params, &in) != nil || in.VM == "" {
		return false
	}
	if v, found := s.conn.(verifier); found && v.VerifyPeer(in.VM) != nil {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.from != "" {
		return false
	}
	s.from = in.VM
	s.hub.revive(in.VM)
	return true
}

// revive ends the pause before the next dial to a VM that has just dialed this one.
func (h *Hub) revive(vm psdoc.Name) {
	h.mutex.Lock()
	l, found := h.links[vm]
	h.mutex.Unlock()
	if found {
		l.retryNow()
	}
}

// peer is the name of the VM on the other end; empty before its greeting.
func (s *session) peer() psdoc.Name {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.from
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
	return f(ctx, s.peer(), params)
}
