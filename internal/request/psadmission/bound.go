package psadmission

import (
	"time"

	"persimmonstep/internal/request/psshed"
)

// Basis is what an admission for a server with a queue is decided by.
type Basis struct {
	Priority int `json:"priority"`
	// Wait is the expected wait, and MaxWait the longest one with which the request is sent.
	Wait    time.Duration `json:"wait"`
	MaxWait time.Duration `json:"maxWait"`
	// Overload is how far all servers count as full, in 0..1.
	Overload float64 `json:"overload"`
	// Above is the fraction of the service's requests that are more urgent, and Position that of the requests that are
	// rejected later than this one.
	Above    float64 `json:"above"`
	Position float64 `json:"position"`
	// BeyondUsual reports whether the request exceeds the usual amount of its workspace.
	BeyondUsual bool `json:"beyondUsual,omitempty"`
}

// BasisOf returns the basis of the decision on a request.
//
// The longest wait is long while other servers have free capacity, because then only one server has a queue. Once all servers
// have queues, requests that wait too long, or that will be late anyway, take slots from requests that could still be answered
// within their target. The bound then falls from the first to the last request in the order of psshed. So the admitted
// fraction falls gradually as queues grow and doesn't oscillate between all and none, and less urgent requests are rejected
// first.
func BasisOf(r Request) Basis {
	order := r.Demand.Order(psshed.Request{Priority: r.Priority, Slot: r.Run, BeyondUsual: r.BeyondUsual, Random: r.Random})
	run := r.Elapsed + r.Expected - r.Wait
	idle := max(0, latencyLimit(r.Priority)*float64(r.Target)-float64(run))
	load := overload(r, r.Target)
	full := fullBound(r, order, run)
	for _, c := range order.MoreUrgent {
		// Queues that are too long for more urgent requests with a shorter target are too long for this one.
		above := overload(r, c.Target)
		if above == 0 || c.Target >= r.Target {
			continue
		}
		load = max(load, above)
		full = min(full, meanSlack(c)*(1-order.Position))
		limit := max(0, latencyLimit(c.Priority)*float64(c.Target)-float64(c.Run))
		idle -= min(1, yieldOverloadFactor*above) * max(0, idle-limit)
	}
	if r.PriorWait > 0 {
		load = min(1, yieldOverloadFactor*load) * (1 - expectedCapacity(order.Class))
	}
	return Basis{
		Priority: r.Priority, Wait: r.Wait, MaxWait: max(0, time.Duration((1-load)*idle+load*full)), Overload: load,
		Above: order.Class.Above, Position: order.Position, BeyondUsual: r.BeyondUsual,
	}
}

// fullBound returns the longest wait while all servers count as full. run is the latency without the wait. The bound is the
// same for near and far servers, as it must not shift requests between regions.
func fullBound(r Request, order psshed.Order, run time.Duration) float64 {
	slack := overloadWaitFraction * float64(r.Target-run-r.PriorWait+r.RoundTrip-r.MeanRoundTrip)
	if slack <= 0 {
		return lateWaitTargets * float64(r.Target) * (1 - order.Random)
	}
	return slack * (1 - order.Position)
}

// expectedCapacity returns how far callers of a class that are told to retry can expect capacity, in 0..1. Rejections of a few
// requests are due to unevenly loaded servers; retries can be served then.
func expectedCapacity(c psshed.Class) float64 {
	if c.Target == 0 {
		return 0
	}
	return clamp((maxRejected - c.Rejected) / (maxRejected - minRejected))
}

// meanSlack returns the longest wait that a mean request of a class can afford.
func meanSlack(c psshed.Class) float64 {
	return max(0, overloadWaitFraction*float64(c.Target-c.Run))
}

// overload returns the overload in 0..1 for requests with a target: 0 while other servers have free capacity, and 1 once all
// count as full. It is also 0 where most requests are late even without a queue, as when no server has any objects cached yet:
// no request then takes a slot from one that could be answered in time.
func overload(r Request, target time.Duration) float64 {
	wait := float64(r.MeanWait) / float64(target)
	slack := 1 - float64(r.MeanRun+r.MeanRoundTrip)/float64(target)
	return clamp((wait-minOverloadTargets)/(fullOverloadTargets-minOverloadTargets)) * clamp(slack/fullSlackFraction)
}

// clamp bounds a number to 0..1.
func clamp(x float64) float64 { return max(0, min(1, x)) }

// latencyLimit returns the latency limit of a priority, in target latencies.
func latencyLimit(priority int) float64 {
	return max(minLatencyLimitTargets, latencyLimitTargets-latencyStepTargets*float64(priority))
}

// At returns the request with a place in its class, from 0 for the one that is rejected last to 1 for the one that is rejected
// first.
func (r Request) At(place float64) Request {
	r.Random = psshed.OrderedRandom(place)
	return r
}
