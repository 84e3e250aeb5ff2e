package psbackend

import (
	"net/http"
	"slices"
	"time"

	"persimmonstep/internal/trial/psbehaviour"
	"persimmonstep/platform/psheader"
	"persimmonstep/platform/psstandin"
)

// admission is the decision about a request on its arrival.
type admission struct {
	fault     psbehaviour.Fault
	execution Execution
	// slotGranted is closed when the request has a slot.
	slotGranted chan struct{}
}

// admit reserves a slot or a place in the queue and selects the request's fault. It reports false
// if the request is shed.
func (s *Server) admit(r *http.Request) (admission, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := admission{slotGranted: make(chan struct{}), execution: Execution{
		ID: psstandin.ReadForwardHeaders(r.Header).ID, Admitted: time.Now(), Latency: s.behaviour.LatencyFrom[sourceAddress(r)],
	}}
	a.fault, _ = s.behaviour.MatchFault(r)
	full := s.behaviour.Slots > 0 && s.stats.Running >= s.behaviour.Slots
	if a.fault.Kind == psbehaviour.FaultShed || full && len(s.waiting) >= s.behaviour.Queue {
		s.stats.Shed++
		return a, false
	}
	cacheHit := s.cacheObject(psstandin.ReadForwardHeaders(r.Header).Object)
	a.execution.Work, a.execution.Cached = s.behaviour.TimeOf(r.URL.Path, cacheHit), cacheHit
	if full {
		s.waiting = append(s.waiting, a.slotGranted)
		return a, true
	}
	s.countStart()
	close(a.slotGranted)
	return a, true
}

// countStart counts a request that starts to run. The caller holds the mutex.
func (s *Server) countStart() {
	s.stats.Runs++
	s.stats.Running++
	s.stats.PeakRunning = max(s.stats.PeakRunning, s.stats.Running)
	s.stats.LastRun = time.Now()
}

// awaitSlot waits for a slot. It reports false if the request is canceled or the server stops
// first.
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
		// The slot was granted meanwhile.
		return true
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return false
}

// releaseSlot passes the slot on to the first queued request.
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

// cacheObject adds an object to the cache, evicts the least recently used one if the cache is full, and
// reports whether it was a cache hit. The caller holds the mutex.
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

// load returns the load that the server reports in its responses.
func (s *Server) load() psheader.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := psheader.Load{Running: s.stats.Running, Waiting: len(s.waiting), Slots: s.behaviour.Slots}
	if v := s.behaviour.Spells; v != nil {
		l.WorkFactor = v.FactorAt(time.Since(v.Origin))
	}
	return l
}
