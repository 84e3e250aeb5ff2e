package psserver

import (
	"time"

	"persimmonstep/internal/process/pslimit"
)

// RecordLimit records the limit in a response, or its absence, for a request that was sent at a time. It returns the
// limit before, and whether it has changed.
func (s *Server) RecordLimit(l pslimit.Limit, sentAt, now time.Time) (before pslimit.Limit, changed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before, changed = s.limit.RecordResponse(l, sentAt, now)
	s.growBack(before, now)
	return before, changed
}

// RecordPeerLimit records what another VM knows of the limit from a response to it at a time. It returns the limit
// before, and whether it has changed.
func (s *Server) RecordPeerLimit(l pslimit.Limit, confirmedAt time.Time) (before pslimit.Limit, changed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before, changed = s.limit.RecordPeer(l, confirmedAt)
	s.growBack(before, confirmedAt)
	return before, changed
}

// growBack lets the server's share of requests grow back as after a pause, if its limit was withdrawn. The caller holds
// the mutex.
func (s *Server) growBack(before pslimit.Limit, now time.Time) {
	limit, _ := s.limit.Limit(now)
	if before.Named && !limit.Named && s.pause.remaining(now) == 0 {
		s.pause.until = now
	}
}

// Limit returns the server's limit, and the time since a response stated it.
func (s *Server) Limit(now time.Time) (pslimit.Limit, time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.limit.Limit(now)
}

// CountSent counts a request or a probe that is sent to the server.
func (s *Server) CountSent() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sent++
}

// Sent returns the number of requests and probes that this VM sent to the server.
func (s *Server) Sent() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.sent
}
