// Package psretry decides whether a request may be sent to another backend server.
//
// A request is sent again only where that cannot run it twice against its caller's will:
// it is idempotent, or its earlier attempts surely did not run. It never goes to the same
// server twice, never past its deadline, and a repeat of something that may have run is
// paid from a budget, so that retries cannot multiply the load while servers fail.
package psretry

import (
	"time"

	"persimmonstep/internal/version/psdoc"
)

const (
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts = 3
	// maxRunsAfterCrash bounds the runs of a request that took down a server's connection.
	maxRunsAfterCrash = 2
	// minTimeLeft is the least time for which another attempt is worthwhile.
	minTimeLeft = 2 * time.Millisecond
)

// Ending is how an attempt ended without a usable answer: [Unreachable], [Shed], [Lost],
// [TimedOut] or [ServerError].
type Ending interface {
	// mayHaveRun reports whether the backend server may have run the request.
	mayHaveRun() bool
}

// Unreachable is an attempt of which no byte left.
type Unreachable struct{}

// Shed is an attempt that the server turned away and says it did not run.
type Shed struct{}

// Lost is an attempt whose connection ended before the whole answer was there.
type Lost struct{}

// TimedOut is an attempt that was given up because no answer came in its time.
type TimedOut struct{}

// ServerError is a whole answer that reports a failure of the server.
type ServerError struct{}

func (Unreachable) mayHaveRun() bool { return false }
func (Shed) mayHaveRun() bool        { return false }
func (Lost) mayHaveRun() bool        { return true }
func (TimedOut) mayHaveRun() bool    { return true }
func (ServerError) mayHaveRun() bool { return true }

// History is what became of the attempts of one request. Its zero value is that of a
// request that was not sent yet.
type History struct {
	// Attempts counts the attempts.
	Attempts int
	// Crashes counts the attempts that ended Lost.
	Crashes int
	// MayHaveRun says that one of them may have run.
	MayHaveRun bool
	// Last is the last ending; nil where there is none.
	Last Ending
}

// Add enters the end of an attempt.
func (h *History) Add(e Ending) {
	h.Attempts++
	h.Last = e
	h.MayHaveRun = h.MayHaveRun || e.mayHaveRun()
	if _, ok := e.(Lost); ok {
		h.Crashes++
	}
}

// Request is what the decision needs to know of a request.
type Request struct {
	// Kind is the kind of its route.
	Kind psdoc.RouteKind
	// Streamed says that its body is not kept, and Consumed that some of it was read.
	Streamed, Consumed bool
	// Left is the time until its deadline, 0 where that has passed; negative where it has none.
	Left time.Duration
	// Expected is the time that an answer is expected to take; 0 when unknown.
	Expected time.Duration
}

// Decision is what to do after an ending: [Retry] or [Stop].
type Decision interface {
	decision()
}

// Retry allows another attempt.
type Retry struct {
	// Paid says that it must be paid from the budget.
	Paid bool
}

// Stop ends the attempts.
type Stop struct {
	Reason Reason
}

func (Retry) decision() {}
func (Stop) decision()  {}

// Reason names the rule that ended the attempts.
type Reason string

const (
	// ReasonCallerGone met a request whose caller or time is gone.
	ReasonCallerGone Reason = "callerGone"
	// ReasonMayHaveRun met a request that must not run twice.
	ReasonMayHaveRun Reason = "mayHaveRun"
	// ReasonBodyGone met a body that was streamed and can't be sent again.
	ReasonBodyGone Reason = "bodyGone"
	// ReasonAttempts met the bound on attempts.
	ReasonAttempts Reason = "attempts"
	// ReasonCrashes met a request that took down the connections of too many servers.
	ReasonCrashes Reason = "crashes"
	// ReasonDeadline met a deadline that leaves no time.
	ReasonDeadline Reason = "deadline"
	// ReasonBudget met an empty retry budget.
	ReasonBudget Reason = "budget"
)

const (
	// leastAttemptTime is the shortest time for which a lookup waits on one server while
	// there is time to ask another, and attemptFactor how many expected times it waits.
	leastAttemptTime = 500 * time.Millisecond
	attemptFactor    = 10
	// attemptShare is the part of the time left that one attempt may take.
	attemptShare = 0.6
)

// AttemptTime bounds the wait for the header of one attempt's answer; 0 sets no bound but
// the request's own. Only idempotent requests are given up early, since only they can be
// asked elsewhere.
func AttemptTime(r Request, h History) time.Duration {
	if r.Kind != psdoc.KindLookup || r.Left < 0 || h.Attempts+1 >= MaxAttempts {
		return 0
	}
	return min(max(leastAttemptTime, attemptFactor*r.Expected), time.Duration(float64(r.Left)*attemptShare))
}

// Decide decides whether a request may be sent again after its last ending.
func Decide(r Request, h History) Decision {
	switch {
	case r.Kind != psdoc.KindLookup && h.MayHaveRun:
		return Stop{ReasonMayHaveRun}
	case r.Streamed && r.Consumed:
		return Stop{ReasonBodyGone}
	case h.Attempts >= MaxAttempts:
		return Stop{ReasonAttempts}
	case h.Crashes >= maxRunsAfterCrash:
		return Stop{ReasonCrashes}
	case r.Left >= 0 && r.Left < max(minTimeLeft, r.Expected):
		return Stop{ReasonDeadline}
	}
	// An attempt of which no byte left has cost its server nothing.
	_, free := h.Last.(Unreachable)
	return Retry{Paid: !free}
}
