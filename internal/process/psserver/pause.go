package psserver

import "time"

const (
	// maxQuiet is the longest time for which a server can ask for quiet at once.
	maxQuiet = 5 * time.Minute
	// returnSpan is the time after its end over which the server gets its share back.
	returnSpan = 2 * time.Second
)

// quiet is a time in which a server wants no requests from this VM. The zero value has none.
type quiet struct {
	until time.Time
}

// left returns how much longer the server wants no requests.
func (q *quiet) left(now time.Time) time.Duration {
	if q.until.IsZero() {
		return 0
	}
	return max(0, q.until.Sub(now))
}

// held is the part of the server's slots that are kept free after a quiet time, which falls to 0.
func (q *quiet) held(now time.Time) float64 {
	if q.until.IsZero() {
		return 0
	}
	return max(0, 1-float64(now.Sub(q.until))/float64(returnSpan))
}

// Leave takes the server out for as long as it lives because it told that it ends. It reports whether
// that is new.
func (s *Server) Leave() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	was := s.leaving
	s.leaving = true
	return !was
}

// Leaves reports whether the server told that it ends, by itself or in its entry.
func (s *Server) Leaves() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.leaving || s.entry.State == Draining
}

// Quiet takes in that the server wants no requests from this VM for a time. The latest end holds. It
// returns the time that counts.
func (s *Server) Quiet(d time.Duration, now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	d = min(d, maxQuiet)
	if until := now.Add(d); until.After(s.quiet.until) {
		s.quiet.until = until
	}
	return d
}

// Usable reports whether the server may get a request now.
func (s *Server) Usable(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.usable(now)
}
