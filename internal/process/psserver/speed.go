package psserver

import "time"

// RecordSpeed records the factor by which the server's machine states that work takes longer than usual, in a response or in
// that to a probe. It ignores one that is not positive.
func (s *Server) RecordSpeed(factor float64, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.speed.Record(factor, now)
}

// AverageSpeed returns the factor by which work on the server's machine took longer than usual, on average since a time; 1
// if the server doesn't state its speed.
func (s *Server) AverageSpeed(since, now time.Time) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.speed.At(now).Average(since.Sub(now), 0)
}
