package psestimate

import (
	"sync"
	"time"
)

const (
	// rangeDecay is how fast a range of timeouts narrows, as the weight of a timeout inside it.
	rangeDecay = 0.001
	// minTimeouts is the number of timeouts from which on the range is known.
	minTimeouts = 40
	// rangeMargin widens the range, as a fraction of the longest timeout.
	rangeMargin = 0.02
	// retryGrace is how long after their Retry-After time callers are still expected to retry.
	retryGrace = time.Second
)

// RetryDetector recognizes callers that retry after a rejection. Each request states how much longer its
// caller waits. The callers of a route start with timeouts of a certain range, so a caller with less time
// left has already waited. The range is learned while no caller is told to retry. The zero value has
// no ranges yet.
type RetryDetector struct {
	mutex  sync.Mutex
	routes map[string]*timeoutRange
	// retriesUntil is the latest time at which a rejected caller is expected to retry.
	retriesUntil time.Time
}

// timeoutRange holds the longest and the shortest timeout with which the callers of a route start.
type timeoutRange struct {
	longest, shortest time.Duration
	observed          int
}

// Caller holds what is inferred about a caller from the remaining time of its request.
type Caller struct {
	// PriorWait is the estimated time that a retrying caller has waited; 0 on the first attempt.
	PriorWait time.Duration
	// DetectableWait is the shortest prior wait by which a retry is recognized; 0 if it isn't known.
	DetectableWait time.Duration
}

// NoteRejection records that a caller that arrived at a time was told to retry after a duration; 0 if it wasn't.
func (d *RetryDetector) NoteRejection(arrivedAt time.Time, retryAfter time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if until := arrivedAt.Add(retryAfter + retryGrace); retryAfter > 0 && until.After(d.retriesUntil) {
		d.retriesUntil = until
	}
}

// Classify returns what is known of a caller by its route and remaining time. It learns from callers
// only while no caller is expected to retry.
func (d *RetryDetector) Classify(route string, remaining time.Duration, now time.Time) Caller {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.routes == nil {
		d.routes = make(map[string]*timeoutRange)
	}
	r, found := d.routes[route]
	if !found {
		r = &timeoutRange{}
		d.routes[route] = r
	}
	if now.After(d.retriesUntil) {
		r.observe(remaining)
	}
	return r.classify(remaining)
}

// observe widens the range to a timeout outside it, or narrows it slowly towards one inside it.
func (r *timeoutRange) observe(timeout time.Duration) {
	if r.observed == 0 {
		r.longest, r.shortest = timeout, timeout
	}
	r.observed++
	r.longest = max(timeout, r.longest-scale(r.longest-timeout, rangeDecay))
	r.shortest = min(timeout, r.shortest+scale(timeout-r.shortest, rangeDecay))
}

// classify compares the remaining time of a caller with the range. The estimate of the prior wait assumes
// a timeout in the middle of the range.
func (r *timeoutRange) classify(remaining time.Duration) Caller {
	if r.observed < minTimeouts {
		return Caller{}
	}
	margin := scale(r.longest, rangeMargin)
	c := Caller{DetectableWait: r.longest - r.shortest + margin}
	if remaining < r.shortest-margin {
		c.PriorWait = (r.longest+r.shortest)/2 - remaining
	}
	return c
}
