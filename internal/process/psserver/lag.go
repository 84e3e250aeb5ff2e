package psserver

import (
	"slices"
	"time"

	"persimmonstep/internal/request/psdecay"
	"persimmonstep/internal/request/psspeed"
)

const (
	// lagTimeConstant is the time constant with which a lag decays, so that a slow server is tried again.
	lagTimeConstant = 6 * time.Second
)

// Exchange is a request that was sent to a server and waits for its response.
type Exchange struct {
	sentAt time.Time
	// maxExpected is the longest time until the response that the queue and the run time account for.
	maxExpected time.Duration
}

// lag is the response time of a server as a multiple of the longest expected time, which includes its queue.
// Unlike slowness it distinguishes a slow server from a busy one.
type lag struct {
	pending []*Exchange
	// measured is the lag of this VM's latest response, and reported the lag that other VMs report.
	measured, reported decayingValue
}

// decayingValue is a lag that decays from the time at which it was measured.
type decayingValue struct {
	value float64
	at    time.Time
}

func (v *decayingValue) current(now time.Time) float64 {
	if v.value == 0 {
		return 0
	}
	return v.value * psdecay.Factor(now.Sub(v.at), lagTimeConstant)
}

// overdue returns the highest lag of the unanswered requests.
func (l *lag) overdue(speed psspeed.Speed, now time.Time) float64 {
	highest := 0.0
	for _, e := range l.pending {
		highest = max(highest, e.lag(speed, now))
	}
	return highest
}

// local returns the lag that this VM measures itself.
func (l *lag) local(speed psspeed.Speed, now time.Time) float64 {
	return max(l.measured.current(now), l.overdue(speed, now))
}

func (l *lag) remove(e *Exchange) {
	if i := slices.Index(l.pending, e); i >= 0 {
		l.pending = slices.Delete(l.pending, i, i+1)
	}
}

// lag returns the time since the request was sent as a multiple of the longest expected time. A request during which the
// machine was slow may take longer by as much.
func (e *Exchange) lag(speed psspeed.Speed, now time.Time) float64 {
	age := now.Sub(e.sentAt)
	return float64(age) / (float64(max(time.Millisecond, e.maxExpected)) * max(1, speed.Average(-age, 0)))
}

// RecordLatency updates the lag when a request was answered. The queue that the server's latest response
// reported is added to the expected time.
func (s *Server) RecordLatency(e *Exchange, meanRun time.Duration, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.load.meanRun = meanRun
	queue := float64(s.load.waiting) / float64(max(1, s.entry.Slots))
	adjusted := *e
	adjusted.maxExpected += time.Duration(queue * float64(meanRun))
	s.lag.measured = decayingValue{adjusted.lag(s.speed.At(now), now), now}
	if s.lag.measured.value < s.lag.reported.value {
		// The server has become faster since the other VMs reported it, or is faster for this VM.
		s.lag.reported = decayingValue{}
	}
}

// RecordPeerLag takes over the lag that another VM reports, if it is higher than the known one.
func (s *Server) RecordPeerLag(v float64, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if v > s.lag.reported.current(now) {
		s.lag.reported = decayingValue{v, now}
	}
}

// LocalLag returns the lag that this VM measures itself.
func (s *Server) LocalLag(now time.Time) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lag.local(s.speed.At(now), now)
}
