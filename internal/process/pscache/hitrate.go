package pscache

import (
	"time"

	"persimmonstep/internal/request/psdecay"
)

const (
	// initialHitRate is the hit rate before the first response, to which measured hit rates decay.
	initialHitRate = 0.93
	// hitRateWeight is the weight of one response in the moving average.
	hitRateWeight = 0.2
	// hitRateTimeConstant is the time constant with which a measured hit rate decays.
	hitRateTimeConstant = 8 * time.Second
)

// HitRate is the cache hit rate of a server for objects that were recently sent to it, as an exponentially
// weighted moving average. It falls when a server is sent more objects than its cache holds.
type HitRate struct {
	// shortfall is how far the measured hit rate is below the initial one; 0 if it is higher.
	shortfall float64
	at        time.Time
}

// Value returns the hit rate after decay.
func (r *HitRate) Value(now time.Time) float64 {
	if r.shortfall == 0 {
		return initialHitRate
	}
	return initialHitRate - r.shortfall*psdecay.Factor(now.Sub(r.at), hitRateTimeConstant)
}

// Record updates the hit rate with one request, of which hit states whether the server had the object in its
// cache.
func (r *HitRate) Record(hit bool, now time.Time) {
	rate := r.Value(now) * (1 - hitRateWeight)
	if hit {
		rate += hitRateWeight
	}
	r.shortfall = max(0, initialHitRate-rate)
	r.at = now
}
