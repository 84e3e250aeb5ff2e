// Package psserve is the HTTP/1.1 server for connections of callers and of other VMs. It replaces the server of net/http
// where clients outside the operator's control connect, and serves any [http.Handler].
//
// It answers this load: more connections than the VM has descriptors, heads that are long or don't end, responses that
// are read slowly, and callers that send further requests before the first response. Everything that a connection holds
// is drawn from its account of [psbudget].
//
// This package accepts connections, bounds their number, has their time limits checked and shuts down. Each connection is a
// [psinbound.Conn], which decides what to read, run and write.
package psserve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"persimmonstep/internal/connection/psbudget"
	"persimmonstep/internal/connection/psinbound"
	"persimmonstep/internal/connection/pslistener"
	"persimmonstep/internal/connection/psopen"
	"persimmonstep/internal/process/pslog"
	"persimmonstep/internal/version/psconfig"
)

const (
	// sweepInterval is the time between checks of all connections for the limits of time.
	sweepInterval = 200 * time.Millisecond
	// drainInterval is the time between checks for idle connections while the server shuts down.
	drainInterval = 10 * time.Millisecond
	// acceptPause is the time after an error of accept, which mostly reports that no descriptor is free.
	acceptPause = 5 * time.Millisecond
	// maxIdleWorkers bounds the goroutines that wait for a request to run.
	maxIdleWorkers = 16
	// linesPerSecond bounds the log lines about connections and refused heads.
	linesPerSecond = 10
)

// Options are the settings and dependencies of a [Server].
type Options struct {
	// Name names the listener in metrics and logs.
	Name    string
	Handler http.Handler
	// Budget is shared by all servers of a process.
	Budget *psbudget.Budget
	// MaxConnections bounds the open connections.
	MaxConnections int
	// Limits returns the limits of the configuration in force. Zero values have defaults. The head of a request is read
	// with the limit of bytes at the time of the accept; the limits of time hold for open connections too.
	Limits  func() psconfig.Limits
	Metrics *Metrics
	Logger  hclog.Logger
}

// Overlapper is a handler that allows requests without a body to run beside earlier ones of the same connection. Other
// handlers get the requests of a connection one after the other.
type Overlapper interface {
	// MayOverlap reports whether a request may run beside earlier ones, and later ones beside it.
	MayOverlap(r *http.Request) bool
}

// Server serves HTTP on one listener.
type Server struct {
	options Options
	// inbound are the options of its connections.
	inbound psinbound.Options
	overlap func(*http.Request) bool
	lines   pslog.RateLimit
	// draining is set once the server shuts down.
	draining atomic.Bool
	// work passes requests to idle workers, which are counted.
	work        chan *psinbound.Exchange
	idleWorkers atomic.Int64

	conns *psopen.Set[*psinbound.Conn]

	mutex    sync.Mutex
	listener net.Listener
	closed   bool
	// accepted is closed once no further connection is accepted, and ended once the server has ended.
	accepted, ended chan struct{}
}

// New returns a server.
func New(o Options) *Server {
	s := &Server{
		options: o, overlap: func(*http.Request) bool { return false }, conns: psopen.NewSet[*psinbound.Conn](o.MaxConnections),
		lines: pslog.RateLimit{PerSecond: linesPerSecond}, accepted: make(chan struct{}), ended: make(chan struct{}), work: make(chan *psinbound.Exchange),
	}
	s.inbound = psinbound.Options{Server: host{s}, Budget: o.Budget, Handler: o.Handler, Name: o.Name, Logger: o.Logger}
	if v, found := o.Handler.(Overlapper); found {
		s.overlap = v.MayOverlap
	}
	return s
}

// limits returns the limits of the configuration in force, with defaults for missing values.
func (s *Server) limits() psconfig.Limits { return s.options.Limits().OrDefaults() }

// Serve accepts connections until the server is shut down or closed, and then returns [http.ErrServerClosed]. It must be
// called at most once.
func (s *Server) Serve(l net.Listener) error {
	defer close(s.accepted)
	s.mutex.Lock()
	s.listener = l
	closed := s.closed
	s.mutex.Unlock()
	if closed {
		_ = l.Close()
		return http.ErrServerClosed
	}
	go s.sweep()
	defer func() {
		for _, c := range pslistener.Close(l) {
			s.add(c)
		}
	}()
	if s.draining.Load() {
		// The shutdown may not have seen the listener.
		return http.ErrServerClosed
	}
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			s.add(c)
		case s.draining.Load() || s.isClosed():
			return http.ErrServerClosed
		case errors.Is(err, net.ErrClosed):
			return errors.Wrapf(err, "accept %s", s.options.Name)
		default:
			s.conns.MakeRoom()
			time.Sleep(acceptPause)
		}
	}
}

func (s *Server) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closed
}

// add starts to serve a connection. If there are too many, another one is closed, or this one if none can be closed.
func (s *Server) add(tcp net.Conn) {
	s.options.Metrics.count(s.options.Name, "accepted")
	c := psinbound.New(&s.inbound, tcp, s.limits().MaxHeaderBytes)
	if !s.conns.Add(c) {
		s.options.Metrics.count(s.options.Name, "refused")
		_ = tcp.Close()
		c.Release()
		return
	}
	go c.Serve()
}

// serveRequests runs a request, and then others while few workers are idle.
func (s *Server) serveRequests(e *psinbound.Exchange) {
	for {
		e.Serve()
		if s.idleWorkers.Add(1) > maxIdleWorkers {
			s.idleWorkers.Add(-1)
			return
		}
		select {
		case e = <-s.work:
			s.idleWorkers.Add(-1)
		case <-s.ended:
			return
		}
	}
}

// sweep enforces the limits of time and detects callers that have disconnected from connections that aren't read.
func (s *Server) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ended:
			return
		case <-ticker.C:
		}
		l, now := s.limits(), time.Now()
		for _, c := range s.conns.All() {
			c.Enforce(l, now)
		}
	}
}

// Shutdown stops to accept connections, closes idle ones and waits until all requests have ended whose head is sent,
// or until the context ends, whose error it then returns. Responses close their connections.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	s.mutex.Lock()
	l := s.listener
	s.mutex.Unlock()
	if l != nil {
		pslistener.Stop(l)
	}
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		accepting := s.isAccepting()
		list := s.conns.All()
		if len(list) == 0 && !accepting {
			s.end()
			return nil
		}
		for _, c := range list {
			c.CloseIfIdle()
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "shut down %s", s.options.Name)
		case <-ticker.C:
		}
	}
}

// isAccepting reports whether connections may still be accepted.
func (s *Server) isAccepting() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case <-s.accepted:
		return false
	default:
		return s.listener != nil
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	s.conns.Close()
	s.mutex.Lock()
	s.closed = true
	l := s.listener
	s.mutex.Unlock()
	if l != nil {
		_ = l.Close()
	}
	for _, c := range s.conns.All() {
		c.Reset(psinbound.ReasonShutdown)
	}
	s.end()
	return nil
}

// end ends the sweep.
func (s *Server) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	select {
	case <-s.ended:
	default:
		close(s.ended)
	}
}
