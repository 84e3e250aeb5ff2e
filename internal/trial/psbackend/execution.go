package psbackend

import (
	"slices"
	"time"
)

// Execution is the run of one request.
type Execution struct {
	ID string
	// Admitted is when the request got a slot or a place in the queue, after the simulated Latency of the network.
	// Started and Ended are the times of its run.
	Admitted, Started, Ended time.Time
	Latency                  time.Duration
	// Work is how long the run takes on a machine that isn't slow, and Cached reports that its object was cached.
	Work   time.Duration
	Cached bool
}

// recordExecution records a run that ends now.
func (s *Server) recordExecution(v Execution) {
	v.Ended = time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.executions = append(s.executions, v)
}

// Executions returns the runs that have ended, in the order of their ends.
func (s *Server) Executions() []Execution {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.executions)
}

// runTime returns how long work that starts at a time takes on the machine.
func (s *Server) runTime(work time.Duration, now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.behaviour.RunTime(work, now)
}

// statesSpeed reports whether load reports state how long work currently takes.
func (s *Server) statesSpeed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.behaviour.Spells != nil
}
