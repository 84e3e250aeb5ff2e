package psserver

import "time"

const (
	// maxPause bounds the pause that a server can request at once.
	maxPause = 5 * time.Minute
	// rampDuration is the time after a pause during which the server's share of requests grows back.
	rampDuration = 2 * time.Second
)

// pause is a period for which a server asked this VM to send no requests. The zero value is no pause.
type pause struct {
	until time.Time
}

// remaining returns the time until the pause ends.
func (p *pause) remaining(now time.Time) time.Duration {
	if p.until.IsZero() {
		return 0
	}
	return max(0, p.until.Sub(now))
}

// reserved returns the fraction of the server's slots that count as occupied. After a pause it falls
// linearly from 1 to 0, so that the server is not hit by its whole share at once.
func (p *pause) reserved(now time.Time) float64 {
	if p.until.IsZero() {
		return 0
	}
	return max(0, 1-float64(now.Sub(p.until))/float64(rampDuration))
}

// MarkLeaving takes this run of the server out of use because the server announced its shutdown. It reports
// whether the announcement is new.
func (s *Server) MarkLeaving() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.leaving
	s.leaving = true
	return !known
}

// Leaving reports whether the server announced its shutdown, in a response or in its entry.
func (s *Server) Leaving() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.leaving || s.entry.State == Draining
}

// MarkRemoved takes this run of the server out of use because it is no longer registered.
func (s *Server) MarkRemoved() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.removed = true
}

// MarkDisputed takes the server out of use until its entry is renewed, and reports whether it was in use before.
func (s *Server) MarkDisputed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.disputed
	s.disputed = true
	return !known
}

// Pause sends the server no requests for a duration that it requested. Of several pauses the latest end
// counts. It returns the duration after applying the upper bound.
func (s *Server) Pause(d time.Duration, now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	d = min(d, maxPause)
	if until := now.Add(d); until.After(s.pause.until) {
		s.pause.until = until
	}
	return d
}

// Usable reports whether the server can be sent a request.
func (s *Server) Usable(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.usable(now)
}
