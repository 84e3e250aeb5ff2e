package psrate

import "time"

const (
	// refillFactor fills buckets slightly faster than the limit, within the tolerance that it allows.
	refillFactor = 1.02
	// extraBurstSeconds is the additional capacity of all buckets, in seconds of the rate.
	extraBurstSeconds = 0.15
	// lateReserve is the fraction of a full bucket that is reserved for requests that are not late.
	lateReserve = 0.3
	// excessFactor is the ratio of demand to rate above which a workspace is in sustained excess.
	excessFactor = 1.1
	// wholeToken is one token, less a margin for rounding errors.
	wholeToken = 1 - 1e-6
	// demandWindow is the time over which the demand is averaged.
	demandWindow = 1500 * time.Millisecond
)

// Bucket is the token bucket of one workspace on one VM.
type Bucket struct {
	tokens     float64
	refilledAt time.Time
	// rate is the part of the rate at the last refill, in requests per second; 0 before the first one.
	rate float64
	// demand is the averaged demand in requests per second at demandAt.
	demand   float64
	demandAt time.Time
	// ahead holds, for each token that was taken ahead and not settled, the time until which it can be used, in ascending
	// order.
	ahead []time.Time
}

// NewBucket returns a bucket that is empty at the given time.
func NewBucket(now time.Time) *Bucket { return &Bucket{refilledAt: now} }

// Take takes a token. If none is available, it returns false and the time until the next one.
func (b *Bucket) Take(l Limit, share float64, now time.Time) (bool, time.Duration) {
	return b.take(l, share, wholeToken, now)
}

// TakeLate takes a token for a caller that can't be answered within its latency target any more. During an
// overload each token that it gets would be missing for a caller that still can.
func (b *Bucket) TakeLate(l Limit, share float64, now time.Time) (bool, time.Duration) {
	return b.take(l, share, wholeToken+lateReserve*(capacity(l, share)-1), now)
}

func (b *Bucket) take(l Limit, share, minimum float64, now time.Time) (bool, time.Duration) {
	b.Refill(l, share, now)
	b.AddDemand(1, now)
	if l.Rate <= 0 {
		return true, 0
	}
	if b.tokens >= minimum {
		b.tokens--
		return true, 0
	}
	rate := l.Rate * share * refillFactor
	return false, time.Duration((max(1, minimum) - b.tokens) / rate * float64(time.Second))
}

// AddDemand counts requests for which no token was asked.
func (b *Bucket) AddDemand(requests int, now time.Time) {
	b.demand = b.Demand(now) + float64(requests)/demandWindow.Seconds()
	b.demandAt = now
}

// Return puts back the token of a request that was not sent to a server.
func (b *Bucket) Return() { b.tokens++ }

// Excess reports whether the demand has exceeded the rate for a sustained time.
func (b *Bucket) Excess(l Limit, share float64, now time.Time) bool {
	return l.Rate > 0 && b.Demand(now) > excessFactor*l.Rate*share
}

// Demand returns the averaged demand in requests per second, granted or not.
func (b *Bucket) Demand(now time.Time) float64 {
	return b.demand * b.decay(now)
}

// decay returns the fraction of the averaged demand that still counts at a time.
func (b *Bucket) decay(now time.Time) float64 {
	return max(0, 1-float64(now.Sub(b.demandAt))/float64(demandWindow))
}

// Refill adds the tokens since the last refill, by the share of that time, and goes by a share from now on. It must be called
// with each share that the VM gets: tokens of a share that another VM had in between would be granted twice.
func (b *Bucket) Refill(l Limit, share float64, now time.Time) {
	rate := l.Rate * share
	if b.rate == 0 {
		b.rate = rate
	}
	b.tokens += b.rate * refillFactor * now.Sub(b.refilledAt).Seconds()
	b.expireAhead(now)
	b.tokens = min(capacity(l, share)-float64(len(b.ahead)), b.tokens)
	b.refilledAt, b.rate = now, rate
}

// capacity is the number of tokens that a full bucket holds.
func capacity(l Limit, share float64) float64 { return share*(l.Burst+extraBurstSeconds*l.Rate) + 1 }
