package psbackend

import (
	"net/http"
	"net/netip"
	"time"

	"persimmonstep/platform"
	"persimmonstep/platform/psstandin"
)

// quietSlack is the time after a server has asked for quiet in which requests may still arrive.
const quietSlack = 500 * time.Millisecond

// quietTime is a time in which an address was to send nothing.
type quietTime struct {
	from, until time.Time
	requests    int
}

// arrive counts a request that comes in a quiet time of its address.
func (s *Server) arrive(r *http.Request, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	q, found := s.quiet[source(r)]
	if !found || now.Before(q.from) || now.After(q.until) {
		return
	}
	q.requests++
	s.stats.Disturbed = max(s.stats.Disturbed, q.requests)
}

// askForQuiet turns a request away and asks its address for quiet.
func (s *Server) askForQuiet(w http.ResponseWriter, r *http.Request, d time.Duration) {
	platform.WriteRetryAfter(w.Header(), d)
	psstandin.MarkNotRun(w.Header())
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.Shed++
	if q := s.quiet[source(r)]; q == nil || now.After(q.until) {
		s.quiet[source(r)] = &quietTime{from: now.Add(quietSlack), until: now.Add(d)}
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// source is the address that a request came from.
func source(r *http.Request) netip.Addr {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return from.Addr()
}

// wishes returns what the server says of requests to come.
func (s *Server) wishes() (leaving bool, quiet time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.behaviour.Leaving, s.behaviour.Quiet
}
