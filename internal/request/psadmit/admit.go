// Package psadmit decides whether a request is sent to the server that was chosen for it.
//
// It answers this load pattern: for some seconds callers ask for more than all slots give.
// Servers run what waits in order, so a queue that is allowed to grow makes every answer
// late and none meets its target. Requests that can't be answered near their target
// are rejected at once, the less urgent ones first, and told to come back when room is
// expected, spread over a span so that they don't return together.
//
// The second pattern: callers ask for more objects than the only allowed servers hold. If
// all are sent, each displaces one that is asked for next, and every run is a long one. So
// a part of the objects is rejected for a while and the others are answered in time.
//
// The package does no I/O and reads no clock.
package psadmit

import "time"

const (
	// patience is the expected latency up to which the most urgent requests are sent, in
	// target latencies, and patienceStep how much less each less urgent rank gets.
	patience     = 2.0
	patienceStep = 0.05
	// minPatience is the least patience of any rank.
	minPatience = 1.0
	// returnPart is the part of a caller's remaining time up to which it waits to come back.
	returnPart = 0.3
	// minReturn and maxReturn bound when a caller comes back.
	minReturn = 40 * time.Millisecond
	maxReturn = 2 * time.Second
)

// Request is what the decision depends on.
type Request struct {
	// Expected is the expected latency on the chosen server, of which Wait is spent in its queue.
	Expected time.Duration
	Wait     time.Duration
	// Spent is the time since the request came.
	Spent time.Duration
	// Target is the latency objective, and Left how long the caller still waits.
	Target time.Duration
	Left   time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// Surplus says that the server can't hold the object besides others that it runs.
	Surplus bool
	// Spread is a number in 0..1 that differs between requests.
	Spread float64
}

// Verdict is the decision: [Admitted] or [Rejected].
type Verdict interface {
	verdict()
}

// Admitted says that the request is sent.
type Admitted struct{}

// Rejected says that the request is not sent.
type Rejected struct {
	// After is when the caller should come back.
	After time.Duration
	// Reason names what was decisive.
	Reason string
}

func (Admitted) verdict() {}
func (Rejected) verdict() {}

// Reasons for a rejection.
const (
	// ReasonDeadline says that the caller leaves before the answer is expected.
	ReasonDeadline = "deadline"
	// ReasonSurplus says that the server can't hold the object besides others that it runs.
	ReasonSurplus = "surplusObject"
	// ReasonOverload says that the request would wait too long.
	ReasonOverload = "overload"
)

// Decide decides on one request.
func Decide(r Request) Verdict {
	switch {
	case r.Expected >= r.Left:
		return Rejected{comeBack(r), ReasonDeadline}
	case r.Surplus:
		return Rejected{comeBack(r), ReasonSurplus}
	case r.Wait > 0 && r.Spent+r.Expected > time.Duration(patienceOf(r.Priority)*float64(r.Target)):
		return Rejected{comeBack(r), ReasonOverload}
	}
	return Admitted{}
}

func patienceOf(priority int) float64 {
	return max(minPatience, patience-patienceStep*float64(priority))
}

// comeBack returns when room is expected: after what waits too long now has run.
func comeBack(r Request) time.Duration {
	d := r.Wait/2 + time.Duration(r.Spread*float64(r.Wait))
	d = max(minReturn, min(maxReturn, d))
	return min(d, max(time.Millisecond, time.Duration(returnPart*float64(r.Left))))
}
