// Package psadmission controls the admission of requests to the server that was chosen for them.
//
// Each server has a number of slots, each of which runs one request at a time. The package answers
// this load pattern: for some seconds callers send more than all slots can serve. Servers run waiting
// requests in order of arrival, so a queue that is allowed to grow makes every response late and none
// meets its target. Requests that can't be answered near their target are rejected at once, those of
// lower priority first. Their callers are told to retry when capacity is expected, at different times
// so that the retries don't arrive together.
//
// The second pattern: callers ask for more objects than the only allowed servers can cache. If all
// requests are sent, each evicts an object that is requested next, and every run is a cache miss. So
// requests for a part of the objects are rejected for a while and the others are answered in time.
//
// The third: load grows to several times what all slots can serve. One server's queue no longer
// indicates those of the others, so the decision uses the mean wait over all servers. Slots then go to
// requests that can still be answered within their target, before retries of rejected callers and
// requests that will be late anyway, to more urgent requests before less urgent ones, and to workspaces
// that send their usual amount before those that exceed it, in the order of psshed.
//
// The package does no I/O and reads no clock.
package psadmission

import (
	"time"

	"persimmonstep/internal/request/psshed"
)

const (
	// latencyLimitTargets is the expected latency up to which requests of the highest priority are sent,
	// in target latencies, and latencyStepTargets the difference from each priority to the next lower one.
	latencyLimitTargets = 2.0
	latencyStepTargets  = 0.05
	// minLatencyLimitTargets is the least latency limit of any priority, in target latencies.
	minLatencyLimitTargets = 1.0
	// overloadWaitFraction is the longest wait while all servers have queues, as a fraction of the time
	// left within the target, and lateWaitTargets the longest wait of requests that will be late anyway,
	// in target latencies.
	overloadWaitFraction = 0.8
	lateWaitTargets      = 0.1
	// yieldOverloadFactor multiplies the overload for retries, and for requests with a longer target than more urgent ones, so
	// that servers count as full sooner for them.
	yieldOverloadFactor = 4.0
	// minOverloadTargets is the mean wait up to which servers count as having free capacity, and
	// fullOverloadTargets the one from which on they count as full, in target latencies.
	minOverloadTargets  = 0.05
	fullOverloadTargets = 0.25
	// fullSlackFraction is the slack from which on the overload counts in full: the fraction of the target
	// that remains after a mean run and a mean round trip.
	fullSlackFraction = 0.3
	// minRejected and maxRejected are the fractions of a class's requests that are rejected, up to which all retries of the
	// class are served, and from which on they yield. Each retry is late and takes the slot of a request that could be
	// answered within its target.
	minRejected = 0.05
	maxRejected = 0.1
	// overloadRetryThreshold is the overload from which on retry delays begin at the detectable wait.
	overloadRetryThreshold = 0.5
	// maxRetryFraction bounds the delay of a retry, as a fraction of the caller's remaining time.
	maxRetryFraction = 0.3
	// minRetryAfter and maxRetryAfter bound the delay of a retry.
	minRetryAfter = 40 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Request holds what the decision depends on.
type Request struct {
	// Expected is the expected latency on the chosen server, of which Wait is spent in its queue.
	Expected time.Duration
	Wait     time.Duration
	// Elapsed is the time since the request arrived, and PriorWait the time that its caller had waited
	// by then, because an earlier attempt was rejected and the caller retried.
	Elapsed, PriorWait time.Duration
	// DetectableWait is the shortest prior wait by which a caller's retry is recognized; 0 if it isn't known.
	DetectableWait time.Duration
	// Target is the latency objective, and Remaining how much longer the caller waits.
	Target    time.Duration
	Remaining time.Duration
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// MeanWait is the mean wait at all servers that may run the request, MeanRoundTrip their mean network
	// round-trip time, and RoundTrip that of the chosen server.
	MeanWait, MeanRoundTrip, RoundTrip time.Duration
	// MeanRun is the mean run time of the service's requests.
	MeanRun time.Duration
	// Demand is the present demand of the service by priorities, and Run the run time that is expected of the request.
	Demand psshed.Demand
	Run    time.Duration
	// BeyondUsual reports whether the request exceeds the usual amount of its workspace.
	BeyondUsual bool
	// Surplus reports whether the server's cache can't hold the object in addition to those that it handles.
	Surplus bool
	// Random is a number in 0..1 that differs between requests.
	Random float64
}

// Verdict is the decision: [Admitted] or [Rejected].
type Verdict interface {
	verdict()
}

// Admitted requests are sent to the server.
type Admitted struct{}

// Rejected requests are not sent.
type Rejected struct {
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
	// Reason is [ReasonDeadline], [ReasonSurplus], [ReasonOverload], [ReasonLessUrgent] or [ReasonBeyondUsual].
	Reason string
	// Basis is what a rejection for lack of slots was decided by; empty for other reasons.
	Basis Basis
}

// ForSlots reports whether the request was rejected for lack of slots.
func (r Rejected) ForSlots() bool {
	return r.Reason == ReasonOverload || r.Reason == ReasonLessUrgent || r.Reason == ReasonBeyondUsual
}

func (Admitted) verdict() {}
func (Rejected) verdict() {}

// Reasons for a rejection.
const (
	// ReasonDeadline means that the caller's deadline ends before the response is expected.
	ReasonDeadline = "deadline"
	// ReasonSurplus means that the server's cache can't hold the object in addition to those that it handles.
	ReasonSurplus = "surplusObject"
	// ReasonOverload means that the request would wait too long in the server's queue.
	ReasonOverload = "overload"
	// ReasonLessUrgent means that the request would wait too long while more urgent ones need the slots. By itself it
	// would have been admitted.
	ReasonLessUrgent = "lessUrgent"
	// ReasonBeyondUsual means that the request would wait too long while requests within the usual amount of their
	// workspaces need the slots. Within that of its own, it would have been admitted.
	ReasonBeyondUsual = "beyondUsual"
)

// Decide admits or rejects one request.
func Decide(r Request) Verdict {
	switch {
	case r.Expected >= r.Remaining:
		return Rejected{RetryAfter: retryAfter(r), Reason: ReasonDeadline}
	case r.Surplus:
		return Rejected{RetryAfter: retryAfter(r), Reason: ReasonSurplus}
	}
	b := BasisOf(r)
	if r.Wait <= b.MaxWait {
		return Admitted{}
	}
	return Rejected{RetryAfter: retryAfter(r), Reason: shortageReason(r, b), Basis: b}
}

// shortageReason returns the reason for the rejection of a request for lack of slots: the part of the order without which it
// would have been admitted, if there is one.
func shortageReason(r Request, b Basis) string {
	usual := r
	usual.BeyondUsual = false
	if r.BeyondUsual && r.Wait <= BasisOf(usual).MaxWait {
		return ReasonBeyondUsual
	}
	alone := r
	alone.Demand = nil
	if b.Above > 0 && r.Wait <= BasisOf(alone).MaxWait {
		return ReasonLessUrgent
	}
	return ReasonOverload
}

// retryAfter returns the delay after which capacity is expected: once the requests of the present queue
// have run. While all servers are full that takes longer, and callers are told to wait for at least the
// detectable wait if their remaining time allows it, so that their retries can be distinguished from first
// attempts.
func retryAfter(r Request) time.Duration {
	last := time.Duration(maxRetryFraction * float64(r.Remaining))
	if overload(r, r.Target) >= overloadRetryThreshold {
		return RetryAfter(r.DetectableWait, last, r.Random)
	}
	d := r.Wait/2 + time.Duration(r.Random*float64(r.Wait))
	return RetryAfter(d, min(d, last), 0)
}

// RetryAfter returns a retry delay between first and last, at the fraction random in 0..1. A delay below
// minRetryAfter is raised to it. The delay then exceeds neither last nor maxRetryAfter, but is at least a
// millisecond.
func RetryAfter(first, last time.Duration, random float64) time.Duration {
	first = max(minRetryAfter, min(first, last))
	d := first + time.Duration(random*float64(max(0, last-first)))
	return max(time.Millisecond, min(d, maxRetryAfter, max(last, time.Millisecond)))
}

const (
	// maxRateRetryAfter bounds the Retry-After time of rate-limited callers, and minRateJitter is the minimum span
	// over which their retries are spread.
	maxRateRetryAfter = 5 * time.Second
	minRateJitter     = 100 * time.Millisecond
)

// RateRetryAfter returns the Retry-After time of a caller over its workspace's rate, which waits for the next token. While
// the demand exceeds the rate, the retry is late enough that the caller's remaining time distinguishes it from first
// attempts, which can still be answered within their target latency; detectable is that time, or 0 if there is none.
// jitter is in 0..1.
func RateRetryAfter(wait time.Duration, excess bool, detectable, remaining time.Duration, jitter float64) time.Duration {
	if excess && detectable > 0 {
		return RetryAfter(detectable, remaining/3, jitter)
	}
	return min(maxRateRetryAfter, wait+time.Duration(jitter*float64(wait+minRateJitter)))
}
