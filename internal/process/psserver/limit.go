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
	return s.limit.RecordResponse(l, sentAt, now)
}

// RecordPeerLimit records what another VM knows of the limit from a response to it at a time. It returns the limit
// before, and whether it has changed.
func (s *Server) RecordPeerLimit(l pslimit.Limit, confirmedAt time.Time) (before pslimit.Limit, changed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.limit.RecordPeer(l, confirmedAt)
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
