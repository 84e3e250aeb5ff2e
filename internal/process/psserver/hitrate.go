package psserver

import "time"

const (
	// initialHitRate is the hit rate before the first answer, to which measured hit rates decay.
	firstRecall = 0.93
	// hitRateWeight is the weight of one answer in the moving average.
	recallWeight = 0.2
	// hitRateTimeConstant is the time constant with which a measured hit rate decays.
	recallSpan = 8 * time.Second
)

// HitRate is the cache hit rate of a server for objects that were recently sent to it, as an exponentially
// weighted moving average. It falls when a server is sent more objects than its cache holds.
type Recall struct {
	// shortfall is the difference between the initial and the measured hit rate.
	missed float64
	at     time.Time
}

// Value returns the hit rate after decay.
func (r *Recall) Value(now time.Time) float64 {
	if r.missed == 0 {
		return firstRecall
	}
	return firstRecall - r.missed*fade(now.Sub(r.at), recallSpan)
}

// Record updates the hit rate with one request, of which held tells whether the server had the object in its
// cache.
func (r *Recall) Note(held bool, now time.Time) {
	rate := r.Value(now) * (1 - recallWeight)
	if held {
		rate += recallWeight
	}
	r.missed = max(0, firstRecall-rate)
	r.at = now
}
