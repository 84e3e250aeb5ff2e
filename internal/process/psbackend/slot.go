package psbackend

import (
	"net/http"
	"slices"
	"time"

	"persimmonstep/platform"
	"persimmonstep/platform/psstandin"
)

// admission is what was decided of a request when it came.
type admission struct {
	fault       Fault
	serviceTime time.Duration
	// turn is closed when the request has a slot.
	turn chan struct{}
}

// admit takes a slot, or a place in the queue, and the request's fault. It reports false
// where the request is shed.
func (s *Server) admit(r *http.Request) (admission, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := admission{turn: make(chan struct{})}
	a.fault, _ = s.take(r)
	full := s.behaviour.Slots > 0 && s.stats.Running >= s.behaviour.Slots
	if a.fault.Kind == FaultShed || full && len(s.waiting) >= s.behaviour.Queue {
		s.stats.Shed++
		return a, false
	}
	held := s.hold(psstandin.ReadForwardHeaders(r.Header).Object)
	a.serviceTime = s.behaviour.serviceTime(held)
	if full {
		s.waiting = append(s.waiting, a.turn)
		return a, true
	}
	s.begun()
	close(a.turn)
	return a, true
}

// begun counts a run that begins. The mutex is held.
func (s *Server) begun() {
	s.stats.Runs++
	s.stats.Running++
	s.stats.HighWater = max(s.stats.HighWater, s.stats.Running)
	s.stats.LastRun = time.Now()
}

// await waits for a slot, and reports false if the request is cancelled or the server goes
// down first.
func (s *Server) await(v *life, r *http.Request, a admission) bool {
	select {
	case <-a.turn:
		return true
	case <-r.Context().Done():
	case <-v.ended:
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	i := slices.Index(s.waiting, a.turn)
	if i < 0 {
		// The slot was given meanwhile.
		return true
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return false
}

// leave gives the slot to the first request that waits.
func (s *Server) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.Running--
	if len(s.waiting) > 0 {
		s.begun()
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
	}
}

// hold keeps an object at hand and reports whether it was. The mutex is held.
func (s *Server) hold(object string) bool {
	if s.behaviour.Holds == 0 || object == "" {
		return false
	}
	i := slices.Index(s.held, object)
	if i >= 0 {
		s.held = slices.Delete(s.held, i, i+1)
	}
	s.held = append(s.held, object)
	if len(s.held) > s.behaviour.Holds {
		s.held = s.held[1:]
	}
	return i >= 0
}

// load is what the server says of itself.
func (s *Server) load() platform.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return platform.Load{Running: s.stats.Running, Waiting: len(s.waiting), Slots: s.behaviour.Slots}
}
