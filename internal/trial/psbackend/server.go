// Package psbackend is a stand-in for a backend server, for tests and experiments.
//
// It responds to every request with a JSON description of what it received and counts the runs
// by request id, so that tests can check which requests were executed and how often. A [psbehaviour.Behaviour]
// sets its slots, queue, service time and cache, and a table of faults to inject: hanging,
// truncated and late responses, load shedding and crashes.
package psbackend

import (
	"context"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/trial/psbehaviour"
)

const (
	readHeaderTimeout = 5 * time.Second
	// relistenInterval is the time between two attempts to listen again after a crash.
	relistenInterval = 5 * time.Millisecond
)

// Server is a stand-in for one backend server.
type Server struct {
	// ID identifies the server.
	ID string
	// Address is where it listens. It stays the same after a restart.
	Address netip.AddrPort

	mutex     sync.Mutex
	behaviour psbehaviour.Behaviour
	// pauses are the pauses that the server requested, by source address.
	pauses map[netip.Addr]*pauseWindow
	runs   map[string]int
	stats  Stats
	// arrivals are the requests that reached the server. Probes are not recorded.
	arrivals []Arrival
	// executions are the requests that ran.
	executions []Execution
	// waiting holds the slotGranted channels of the queued requests. cached holds the cached objects,
	// the most recently used one last.
	waiting     []chan struct{}
	cached      []string
	incarnation *incarnation
	closed      chan struct{}
	closeOnce   sync.Once
	goroutines  sync.WaitGroup
}

// incarnation is one start of the server, until it stops or crashes.
type incarnation struct {
	server *http.Server
	ended  chan struct{}
	// connections are the open connections of this incarnation.
	connections map[net.Conn]struct{}
}

// New starts a stand-in and returns it with its clean-up function.
func New(ctx context.Context, id string, address netip.AddrPort) (*Server, func(), error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "start backend server stand-in")
	}
	s := &Server{
		ID: id, Address: l.Addr().(*net.TCPAddr).AddrPort(),
		pauses: make(map[netip.Addr]*pauseWindow), runs: make(map[string]int), closed: make(chan struct{}),
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.startServing(l)
	return s, s.close, nil
}

// close stops the server and waits for its goroutines.
func (s *Server) close() {
	s.closeOnce.Do(func() { close(s.closed) })
	s.mutex.Lock()
	s.stopServing()
	s.mutex.Unlock()
	s.goroutines.Wait()
}

// startServing serves on a listener. The caller holds the mutex.
func (s *Server) startServing(l net.Listener) {
	v := &incarnation{ended: make(chan struct{}), connections: make(map[net.Conn]struct{})}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(v, w, r) })
	track := func(c net.Conn, state http.ConnState) { s.trackConnection(v, c, state) }
	v.server = &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ConnState: track}
	s.incarnation = v
	s.goroutines.Go(func() { _ = v.server.Serve(l) })
}

// stopServing closes all connections of the incarnation and stops listening. The caller holds the mutex. The mutex
// is released meanwhile, because Close waits for the accepting goroutine, which locks it for each new connection. The
// server may be started again by then, so the connections of the next incarnation stay open.
func (s *Server) stopServing() {
	if s.incarnation == nil {
		return
	}
	v := s.incarnation
	s.incarnation = nil
	close(v.ended)
	s.mutex.Unlock()
	// The listener and the connections are closed in any case, so errors don't matter.
	_ = v.server.Close()
	s.mutex.Lock()
	for c := range v.connections {
		_ = c.Close()
	}
	clear(v.connections)
}

// trackConnection records the state of a connection of an incarnation.
func (s *Server) trackConnection(v *incarnation, c net.Conn, state http.ConnState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch state {
	case http.StateNew:
		v.connections[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(v.connections, c)
	}
}

// Set replaces the behaviour.
func (s *Server) Set(b psbehaviour.Behaviour) {
	b.Faults = slices.Clone(b.Faults)
	b.LatencyFrom = maps.Clone(b.LatencyFrom)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.behaviour = b
}

// Crash closes all connections and stops listening. The server restarts after the downtime. If that is
// negative, the server stays down until Start.
func (s *Server) Crash(down time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopServing()
	if down < 0 || s.isClosed() {
		return
	}
	s.goroutines.Go(func() {
		select {
		case <-time.After(down):
			s.Start()
		case <-s.closed:
		}
	})
}

func (s *Server) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// Start restarts a crashed server. It retries until the address is free.
func (s *Server) Start() {
	for {
		if s.start() {
			return
		}
		select {
		case <-time.After(relistenInterval):
		case <-s.closed:
			return
		}
	}
}

func (s *Server) start() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isClosed() || s.incarnation != nil {
		return true
	}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.Address.String())
	if err != nil {
		return false
	}
	s.startServing(l)
	return true
}

// Runs returns how often each request ran, by request id.
func (s *Server) Runs() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.runs)
}

// Stats returns the counters since the start.
func (s *Server) Stats() Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stats
}
