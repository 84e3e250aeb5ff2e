// Package psopen holds the open connections of a server and closes one when there are too many.
package psopen

import (
	"sync"
	"time"

	"persimmonstep/internal/request/psconnection"
)

// closeBatch is the number of connections that are put in order at a time, to be closed when there are too many.
const closeBatch = 64

// State is what a connection does since a time.
type State struct {
	Activity psconnection.Activity
	Since    time.Time
}

// Conn is an open connection.
type Conn interface {
	comparable
	// State returns what the connection does.
	State() State
	// MakeRoom closes the connection at once.
	MakeRoom()
}

// Set holds the open connections of a server. It is safe for concurrent use.
type Set[C Conn] struct {
	max int

	mutex sync.Mutex
	conns map[C]struct{}
	// toClose are connections that are closed next if there are too many, unless they have changed.
	toClose []candidate[C]
	closed  bool
}

// candidate is a connection to be closed, with its state at the time of the choice.
type candidate[C Conn] struct {
	conn  C
	state State
}

// NewSet returns an empty set for at most n connections.
func NewSet[C Conn](n int) *Set[C] { return &Set[C]{max: n, conns: make(map[C]struct{})} }

// Add adds a connection. If there are too many, another one is closed. It returns false if none can be closed, or after
// [Set.Close].
func (s *Set[C]) Add(c C) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed || len(s.conns) >= s.max && !s.makeRoom() {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

// MakeRoom closes a connection. It returns false if none can be closed.
func (s *Set[C]) MakeRoom() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.makeRoom()
}

// makeRoom closes a connection. The caller holds the mutex.
func (s *Set[C]) makeRoom() bool {
	for range 2 {
		for len(s.toClose) > 0 {
			next := s.toClose[0]
			s.toClose = s.toClose[1:]
			if _, open := s.conns[next.conn]; open && next.conn.State() == next.state {
				delete(s.conns, next.conn)
				next.conn.MakeRoom()
				return true
			}
		}
		s.choose()
	}
	return false
}

// choose puts the next connections to be closed in order.
func (s *Set[C]) choose() {
	now := time.Now()
	candidates := make([]candidate[C], 0, len(s.conns))
	list := make([]psconnection.Connection, 0, len(s.conns))
	for c := range s.conns {
		state := c.State()
		candidates = append(candidates, candidate[C]{c, state})
		list = append(list, psconnection.Connection{Activity: state.Activity, For: now.Sub(state.Since)})
	}
	s.toClose = s.toClose[:0]
	for _, i := range psconnection.ToClose(list, closeBatch) {
		s.toClose = append(s.toClose, candidates[i])
	}
}

// Remove removes a connection that has ended.
func (s *Set[C]) Remove(c C) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, c)
}

// All returns the open connections.
func (s *Set[C]) All() []C {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := make([]C, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// Close lets all further connections be refused.
func (s *Set[C]) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
}
