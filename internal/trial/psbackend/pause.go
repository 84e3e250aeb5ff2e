package psbackend

import (
	"net/http"
	"net/netip"
	"time"

	"persimmonstep/platform/psheader"
	"persimmonstep/platform/psstandin"
)

// pauseGrace is the time after a server has requested a pause in which requests may still arrive,
// because they were in flight already.
const pauseGrace = 500 * time.Millisecond

// pauseWindow is a time in which an address should send no requests.
type pauseWindow struct {
	from, until time.Time
	requests    int
}

// countInPause counts a request that arrives during a pause of its source address.
func (s *Server) countInPause(r *http.Request, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w, found := s.pauses[sourceAddress(r)]
	if !found || now.Before(w.from) || now.After(w.until) {
		return
	}
	w.requests++
	s.stats.RequestsInPause = max(s.stats.RequestsInPause, w.requests)
}

// rejectWithPause rejects a request and asks its source address for a pause.
func (s *Server) rejectWithPause(w http.ResponseWriter, r *http.Request, d time.Duration) {
	psheader.WriteRetryAfter(w.Header(), d)
	psstandin.MarkNotRun(w.Header())
	s.beginPause(r, d, time.Now())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// beginPause counts a rejected request and begins the pause of its source address, unless one lasts already.
func (s *Server) beginPause(r *http.Request, d time.Duration, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.Shed++
	if p := s.pauses[sourceAddress(r)]; p == nil || now.After(p.until) {
		s.pauses[sourceAddress(r)] = &pauseWindow{from: now.Add(pauseGrace), until: now.Add(d)}
	}
}

// sourceAddress returns the address that a request came from.
func sourceAddress(r *http.Request) netip.Addr {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return from.Addr()
}

// announced returns what responses announce to clients: a shutdown, and the length of a pause.
func (s *Server) announced() (leaving bool, pause time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.behaviour.Leaving, s.behaviour.Pause
}
