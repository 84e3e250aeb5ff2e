package psbackend

import (
	"net/http"
	"net/netip"
	"time"

	"persimmonstep/platform"
	"persimmonstep/platform/psstandin"
)

// quietSlack is the time after a server has asked for quiet in which requests may still arrive.
const pauseGrace = 500 * time.Millisecond

// quietTime is a time in which an address was to send nothing.
type pauseWindow struct {
	from, until time.Time
	requests    int
}

// arrive counts a request that comes in a quiet time of its address.
func (s *Server) countInPause(r *http.Request, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	q, found := s.pauses[sourceAddress(r)]
	if !found || now.Before(q.from) || now.After(q.until) {
		return
	}
	q.requests++
	s.stats.RequestsInPause = max(s.stats.RequestsInPause, q.requests)
}

// askForQuiet turns a request away and asks its address for quiet.
func (s *Server) rejectWithPause(w http.ResponseWriter, r *http.Request, d time.Duration) {
	platform.WriteRetryAfter(w.Header(), d)
	psstandin.MarkNotRun(w.Header())
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.Shed++
	if q := s.pauses[sourceAddress(r)]; q == nil || now.After(q.until) {
		s.pauses[sourceAddress(r)] = &pauseWindow{from: now.Add(pauseGrace), until: now.Add(d)}
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// source is the address that a request came from.
func sourceAddress(r *http.Request) netip.Addr {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return from.Addr()
}

// wishes returns what the server says of requests to come.
func (s *Server) announced() (leaving bool, quiet time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.behaviour.Leaving, s.behaviour.Pause
}
