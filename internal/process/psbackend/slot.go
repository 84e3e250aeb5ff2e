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
	slotGranted chan struct{}
}

// admit takes a slot, or a place in the queue, and the request's fault. It reports false
// where the request is shed.
func (s *Server) admit(r *http.Request) (admission, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := admission{slotGranted: make(chan struct{})}
	a.fault, _ = s.matchFault(r)
	full := s.behaviour.Slots > 0 && s.stats.Running >= s.behaviour.Slots
	if a.fault.Kind == FaultShed || full && len(s.waiting) >= s.behaviour.Queue {
		s.stats.Shed++
		return a, false
	}
	held := s.cacheObject(psstandin.ReadArrival(r.Header).Object)
	a.serviceTime = s.behaviour.serviceTime(held)
	if full {
		s.waiting = append(s.waiting, a.slotGranted)
		return a, true
	}
	s.countStart()
	close(a.slotGranted)
	return a, true
}

// begun counts a run that begins. The mutex is held.
func (s *Server) countStart() {
	s.stats.Runs++
	s.stats.Running++
	s.stats.PeakRunning = max(s.stats.PeakRunning, s.stats.Running)
	s.stats.LastRun = time.Now()
}

// await waits for a slot, and reports false if the request is cancelled or the server goes
// down first.
func (s *Server) awaitSlot(v *incarnation, r *http.Request, a admission) bool {
	select {
	case <-a.slotGranted:
		return true
	case <-r.Context().Done():
	case <-v.ended:
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	i := slices.Index(s.waiting, a.slotGranted)
	if i < 0 {
		// The slot was given meanwhile.
		return true
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return false
}

// leave gives the slot to the first request that waits.
func (s *Server) releaseSlot() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.Running--
	if len(s.waiting) > 0 {
		s.countStart()
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
	}
}

// hold keeps an object at hand and reports whether it was. The mutex is held.
func (s *Server) cacheObject(object string) bool {
	if s.behaviour.CacheSize == 0 || object == "" {
		return false
	}
	i := slices.Index(s.cached, object)
	if i >= 0 {
		s.cached = slices.Delete(s.cached, i, i+1)
	}
	s.cached = append(s.cached, object)
	if len(s.cached) > s.behaviour.CacheSize {
		s.cached = s.cached[1:]
	}
	return i >= 0
}

// load is what the server says of itself.
func (s *Server) load() platform.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return platform.Load{Running: s.stats.Running, Waiting: len(s.waiting), Slots: s.behaviour.Slots}
}
