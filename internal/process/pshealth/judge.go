package pshealth

import (
	"math"
	"time"
)

const (
	// RampSpan is the time in which a new or returned server gets from rampFloor to its
	// whole share.
	RampSpan = 4 * time.Second
	// rampFloor is the part of its slots that such a server begins with.
	rampFloor = 0.3
	// outPart is the part of its slots that a server gets which is out while all are.
	outPart = 0.1
	// maxEjectedShare bounds the part of a pool's servers that may be ejected at a time.
	maxEjectedShare = 0.5
	// failuresInARow eject a server, and failuresInRamp one that has just returned.
	failuresInARow = 5
	failuresInRamp = 2
	// minSamples is the least weight of recent endings for a judgement by failure rate.
	minSamples = 20
	// outlierRate is the least failure rate of an outlier, and outlierFactor how far it must
	// be above its peers.
	outlierRate   = 0.1
	outlierFactor = 3
	// stallFloor is the shortest silence that ejects a server with requests under way.
	stallFloor  = time.Second
	stallFactor = 10
	// ejectionTime is the first ejection's length; each further one in a row doubles it.
	ejectionTime    = 2 * time.Second
	maxEjectionTime = time.Minute
	// slowFactor is how far above its peers' latency a server counts as slow, and slowMargin
	// the least difference.
	slowFactor = 3
	slowMargin = 5 * time.Millisecond
	// leastWeight is the smallest part of its slots that an admitted server gets.
	leastWeight = 0.05
	// hintSpan is how long a report counts.
	hintSpan = 3 * time.Second
	// hintWeight is the part of its slots that a server keeps which reports itself unwell.
	hintWeight = 0.5
)

// phase is a server's state: [warm], [ramping], [ejected] or [down].
type phase interface {
	phase()
}

// warm servers get their whole share.
type warm struct{}

// ramping servers get a growing part of their share.
type ramping struct {
	since time.Time
}

// ejected servers get no work before the time, and then only after a probe went well.
type ejected struct {
	until  time.Time
	reason Reason
}

// down servers could not be connected to and get no work before a probe went well.
type down struct {
	since time.Time
}

func (warm) phase()    {}
func (ramping) phase() {}
func (ejected) phase() {}
func (down) phase()    {}

// Reason names the rule that took a server out.
type Reason string

const (
	// ReasonFailures met too many failures in a row.
	ReasonFailures Reason = "failures"
	// ReasonFailureRate met far more failures than the server's peers have.
	ReasonFailureRate Reason = "failureRate"
	// ReasonStalled met requests under way and no answer at all.
	ReasonStalled Reason = "stalled"
	// ReasonReported met a health path that says unwell while nothing else says well.
	ReasonReported Reason = "reportedUnwell"
)

// signals are what is known of one server at one instant.
type signals struct {
	now   time.Time
	phase phase
	// unreachable says that the last attempt or probe could not open a connection.
	unreachable bool
	// probedWell says that a probe went well since the server was taken out.
	probedWell bool
	// failuresInARow counts failures since the last good answer.
	failuresInARow int
	// samples and failures are recent endings, older ones counting less.
	samples, failures float64
	// silence is how long requests have been under way without any answer; 0 without requests.
	silence time.Duration
	// sinceGood is the age of the last good answer.
	sinceGood time.Duration
	// reportedUnwell says that the health path said so recently.
	reportedUnwell bool
	// ejections counts ejections in a row.
	ejections int
}

// peers are what is known of the other servers of the pool.
type peers struct {
	// failureRate and latency are medians over the near ones; 0 when unknown.
	failureRate float64
	latency     time.Duration
	// mayEject says that one more ejection keeps within the bound.
	mayEject bool
}

func (s *signals) rate() float64 {
	if s.samples == 0 {
		return 0
	}
	return s.failures / s.samples
}

// judge decides the next phase. It reports the reason of an ejection that only the bound
// on ejections prevents.
func judge(s signals, p peers) (next phase, withheld Reason) {
	switch v := s.phase.(type) {
	case ejected:
		if s.unreachable {
			return down{since: s.now}, ""
		}
		if s.now.Before(v.until) || !s.probedWell {
			return v, ""
		}
		return ramping{since: s.now}, ""
	case down:
		if !s.probedWell {
			return v, ""
		}
		return ramping{since: s.now}, ""
	}
	if s.unreachable {
		return down{since: s.now}, ""
	}
	if r := outlier(s, p); r != "" {
		if !p.mayEject {
			return s.phase, r
		}
		return ejected{until: s.now.Add(ejectionSpan(s.ejections)), reason: r}, ""
	}
	if v, ok := s.phase.(ramping); ok && s.now.Sub(v.since) < RampSpan {
		return v, ""
	}
	return warm{}, ""
}

// outlier names the rule by which a server stands out from its peers.
func outlier(s signals, p peers) Reason {
	limit := failuresInARow
	if _, ok := s.phase.(ramping); ok {
		limit = failuresInRamp
	}
	above := s.rate() > outlierFactor*p.failureRate && s.rate() > outlierRate
	switch {
	case s.failuresInARow >= limit && above:
		return ReasonFailures
	case s.samples >= minSamples && above:
		return ReasonFailureRate
	case s.silence > max(stallFloor, stallFactor*p.latency):
		return ReasonStalled
	case s.reportedUnwell && s.sinceGood > hintSpan:
		return ReasonReported
	}
	return ""
}

func ejectionSpan(earlier int) time.Duration {
	return min(ejectionTime<<min(earlier, 10), maxEjectionTime)
}

// mayEject reports whether one more server of a pool may be ejected.
func mayEject(ejectedNow, servers int) bool {
	return ejectedNow+1 <= int(maxEjectedShare*float64(servers))
}

// hints are what narrows an admitted server's share.
type hints struct {
	latency, peerLatency time.Duration
	// shedFactor falls with each shed request and recovers.
	shedFactor float64
	// load is the reported load; 0 when there is none.
	load           float64
	reportedUnwell bool
}

// weigh decides which part of its slots an admitted server gets.
func weigh(now time.Time, v phase, h hints) float64 {
	w := h.shedFactor * rampPart(now, v)
	if isSlow(h.latency, h.peerLatency) {
		w *= slowFactor * float64(h.peerLatency) / float64(h.latency)
	}
	if h.load > 1 {
		w /= h.load
	}
	if h.reportedUnwell {
		w *= hintWeight
	}
	return min(1, max(leastWeight, w))
}

// rampPart is the part that the phase allows. A server that is out gets work only where
// all of its pool are, and then little.
func rampPart(now time.Time, v phase) float64 {
	switch v := v.(type) {
	case ramping:
		return rampFloor + (1-rampFloor)*min(1, float64(now.Sub(v.since))/float64(RampSpan))
	case ejected, down:
		return outPart
	}
	return 1
}

func isSlow(latency, peerLatency time.Duration) bool {
	return peerLatency > 0 && latency > slowFactor*peerLatency && latency > peerLatency+slowMargin
}

const (
	// latencyFloor is the least part of the newest observation in the moving average.
	latencyFloor = 0.1
	// latencySpan is the time after which an older average counts for little.
	latencySpan = 5 * time.Second
	// latencyHalfLife is the time in which an estimate above the peers' falls halfway to
	// theirs while no request goes there, so that the server is tried again.
	latencyHalfLife = 10 * time.Second
	// rateHalfLife is the time in which recent endings lose half of their weight.
	rateHalfLife = 3 * time.Second
)

// average takes an observation into a moving average of an age.
func average(old, seen, age time.Duration) time.Duration {
	w := max(latencyFloor, 1-math.Exp(-float64(age)/float64(latencySpan)))
	return old + time.Duration(float64(seen-old)*w)
}

// estimate is the expected time of one request more.
func estimate(latency, age, silence, peerLatency time.Duration) time.Duration {
	if peerLatency > 0 && latency > peerLatency {
		latency = peerLatency + time.Duration(float64(latency-peerLatency)*decay(age, latencyHalfLife))
	}
	return max(latency, silence)
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
