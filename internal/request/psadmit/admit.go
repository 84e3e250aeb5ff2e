// Package psadmission controls the admission of requests to the server that was chosen for them.
//
// It answers this load pattern: for some seconds callers send more than all slots can serve.
// Servers run waiting requests in order of arrival, so a queue that is allowed to grow makes every
// response late and none meets its target. Requests that can't be answered near their target
// are rejected at once, those of lower priority first. Their callers are told to retry when capacity
// is expected, at different times so that the retries don't arrive together.
//
// The second pattern: callers ask for more objects than the only allowed servers can cache. If all
// requests are sent, each evicts an object that is requested next, and every run is a cache miss. So
// a part of the objects is rejected for a while and the others are answered in time.
//
// The third: load grows to several times what all slots can serve. One server's queue no longer says
// anything about the others, so the decision uses the mean wait over all servers. Slots then go to
// requests that can still be answered within their target, before retries of rejected callers and
// requests that will be late anyway.
//
// The package does no I/O and reads no clock.
package psadmit

import "time"

const (
	// latencyLimitTargets is the expected latency up to which requests of the highest priority are sent,
	// in target latencies, and latencyStepTargets the difference from each priority to the next lower one.
	patience     = 2.0
	patienceStep = 0.05
	// minLatencyLimitTargets is the least latency limit of any priority, in target latencies.
	minPatience = 1.0
	// overloadWaitFraction is the longest wait while all servers have queues, as a fraction of the time
	// left within the target, and lateWaitTargets the longest wait of requests that will be late anyway,
	// in target latencies.
	crowdedPart = 0.8
	latePart    = 0.1
	// retryOverloadFactor multiplies the overload for retries, for which servers count as full sooner.
	lateFactor = 4.0
	// minOverloadTargets is the mean wait up to which servers count as having free capacity, and
	// fullOverloadTargets the one from which on they count as full, in target latencies.
	someCrowd = 0.05
	fullCrowd = 0.25
	// fullSlackFraction is the fraction of the target that a mean run leaves over from which on the
	// overload counts in full.
	fullSpare = 0.3
	// overloadRetryThreshold is the overload from which on callers are told to retry later.
	crowdedReturn = 0.5
	// maxRetryFraction bounds the delay of a retry, as a fraction of the caller's remaining time.
	returnPart = 0.3
	// minRetryAfter and maxRetryAfter bound the delay of a retry.
	minReturn = 40 * time.Millisecond
	maxReturn = 2 * time.Second
)

// Request holds what the decision depends on.
type Request struct {
	// Expected is the expected latency on the chosen server, of which Wait is spent in its queue.
	Expected time.Duration
	Wait     time.Duration
	// Elapsed is the time since the request arrived, and PriorWait the time that its caller had waited
	// by then, because an earlier attempt was rejected and the caller retried.
	Spent, Before time.Duration
	// DetectableWait is the shortest prior wait by which a caller's retry is recognized; 0 if none is.
	Apart time.Duration
	// Target is the latency objective, and Remaining how much longer the caller waits.
	Target time.Duration
	Left   time.Duration
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// MeanWait is the mean wait at all servers that may run the request, MeanRoundTrip their mean network
	// round-trip time, and RoundTrip that of the chosen server.
	Crowd, Away, Travel time.Duration
	// MeanRun is the mean run time of the service's requests.
	MeanRun time.Duration
	// Surplus reports whether the server's cache can't hold the object in addition to those that it handles.
	Surplus bool
	// Random is a number in 0..1 that differs between requests.
	Spread float64
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
	After time.Duration
	// Reason is one of the reasons for a rejection.
	Reason string
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
)

// Decide admits or rejects one request.
func Decide(r Request) Verdict {
	switch {
	case r.Expected >= r.Left:
		return Rejected{comeBack(r), ReasonDeadline}
	case r.Surplus:
		return Rejected{comeBack(r), ReasonSurplus}
	case r.Wait > bearable(r):
		return Rejected{comeBack(r), ReasonOverload}
	}
	return Admitted{}
}

// maxWait returns the longest wait with which a request is sent. It is long while other servers have
// free capacity, because then only one server has a queue. Once all servers have queues, requests that
// wait too long, or that will be late anyway, take slots from requests that could still be answered
// within their target. The bound then differs between requests, so that the admitted fraction falls
// gradually as queues grow and doesn't oscillate between all and none.
func bearable(r Request) time.Duration {
	run := r.Spent + r.Expected - r.Wait
	normal := patienceOf(r.Priority)*float64(r.Target) - float64(run)
	load := crowding(r)
	// The bound is the same for near and far servers, as it must not shift requests between regions.
	overloaded := crowdedPart * float64(r.Target-run-r.Before+r.Travel-r.Away)
	if overloaded <= 0 {
		overloaded = latePart * float64(r.Target)
	}
	if r.Before > 0 {
		load = min(1, lateFactor*load)
	}
	overloaded *= 1 - r.Spread
	return max(0, time.Duration((1-load)*normal+load*overloaded))
}

// overload is 0 while other servers have free capacity, and 1 once all count as full. It is also 0 where
// most requests are late even without a queue, as when no server has any objects cached yet: no request
// then takes a slot from one that could be answered in time.
func crowding(r Request) float64 {
	wait := float64(r.Crowd) / float64(r.Target)
	slack := 1 - float64(r.MeanRun+r.Away)/float64(r.Target)
	return part((wait-someCrowd)/(fullCrowd-someCrowd)) * part(slack/fullSpare)
}

// clamp bounds a number to 0..1.
func part(x float64) float64 { return max(0, min(1, x)) }

// latencyLimit returns the latency limit of a priority, in target latencies.
func patienceOf(priority int) float64 {
	return max(minPatience, patience-patienceStep*float64(priority))
}

// retryAfter returns the delay after which capacity is expected: once the requests of the present queue
// have run. While all servers are full that takes longer. Callers then retry after the time by which
// their retries can be told from first requests.
func comeBack(r Request) time.Duration {
	last := time.Duration(returnPart * float64(r.Left))
	if crowding(r) >= crowdedReturn {
		return ComeBack(r.Apart, last, r.Spread)
	}
	d := r.Wait/2 + time.Duration(r.Spread*float64(r.Wait))
	return ComeBack(d, min(d, last), 0)
}

// RetryAfter returns a retry delay between first and last, chosen by a number in 0..1. The delay never
// exceeds last, and is at least a millisecond.
func ComeBack(first, last time.Duration, random float64) time.Duration {
	first = max(minReturn, min(first, last))
	d := first + time.Duration(random*float64(max(0, last-first)))
	return max(time.Millisecond, min(d, maxReturn, max(last, time.Millisecond)))
}
