// Package psrate limits the request rate of a workspace over all VMs together.
//
// It answers this load pattern: one workspace sends many times its rate to all VMs at once
// while the others stay within theirs, VMs fail and restart, and the network between some of
// them is partitioned. Each VM computes a share of the rate from the demands that all VMs report, its own included, so all
// VMs arrive at nearly the same split. The share of a silent VM stays reserved for it, and a VM that doesn't receive all
// reports doesn't increase its share.
//
// A rate that is too small to split is granted by one VM, the owner of its tokens.
//
// The package does no I/O and reads no clock.
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

// Limit is the rate and burst of a workspace over all VMs.
type Limit struct {
	// Rate is in requests per second; 0 means no limit.
	Rate  float64
	Burst float64
}

const (
	// minSplitRate is the rate per VM, in requests per second, below which a workspace's rate is not
	// split. Random arrivals would find the bucket of one VM empty while that of another one is
	// full, so one VM owns the tokens.
	minSplitRate = 3
	// minOwnerRate is the lowest rate of an owner, in requests per second, because 0 means no limit.
	minOwnerRate = 1e-3
)

// The shares of a workspace's rate that isn't split: of the primary owner of the tokens, and of the backup owner
// that is asked when the primary doesn't answer.
const (
	PrimaryShare = 0.88
	BackupShare  = 0.12
)

// SingleOwner reports whether one VM owns the tokens of a limit in a fleet of fleetSize VMs.
func SingleOwner(l Limit, fleetSize int) bool {
	return l.Rate > 0 && l.Rate < minSplitRate*float64(fleetSize)
}

// OwnerLimit returns what an owner with a share grants of a limit. reachable is the fraction of the fleet that the
// owner can reach. The rest of the limit is left to the owner that the other VMs may use during a partition.
func OwnerLimit(l Limit, share, reachable float64) Limit {
	share *= min(1, reachable)
	return Limit{Rate: max(minOwnerRate, l.Rate*share), Burst: l.Burst * share}
}

// Bucket is the token bucket of one workspace on one VM.
type Bucket struct {
	tokens     float64
	refilledAt time.Time
	// demand is the averaged demand in requests per second at the time of the last refill.
	demand float64
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
	b.refill(l, share, now)
	b.demand += 1 / demandWindow.Seconds()
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
func (b *Bucket) AddDemand(requests int) { b.demand += float64(requests) / demandWindow.Seconds() }

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
	if b.refilledAt.IsZero() {
		return 1
	}
	return max(0, 1-float64(now.Sub(b.refilledAt))/float64(demandWindow))
}

func (b *Bucket) refill(l Limit, share float64, now time.Time) {
	if !b.refilledAt.IsZero() {
		b.demand *= b.decay(now)
		b.tokens += l.Rate * share * refillFactor * now.Sub(b.refilledAt).Seconds()
	}
	b.expireAhead(now)
	b.tokens = min(capacity(l, share)-float64(len(b.ahead)), b.tokens)
	b.refilledAt = now
}

// capacity is the number of tokens that a full bucket holds.
func capacity(l Limit, share float64) float64 { return share*(l.Burst+extraBurstSeconds*l.Rate) + 1 }
