package pspool

import (
	"time"

	"persimmonstep/internal/version/psdoc"
)

const (
	// Term is how long requests may start under a grant.
	Term = time.Second
	// HoldTime is how long a request may go on under a grant that was not renewed.
	HoldTime = 5 * time.Second
	// driftMargin covers the drift of clocks and the time from a check to its effect.
	driftMargin = 500 * time.Millisecond
)

// GrantID identifies a grant. The lender chooses it.
type GrantID string

// Grant is a loan of slots of one server.
type Grant struct {
	ID     GrantID    `json:"id"`
	Server psdoc.Name `json:"server"`
	Slots  int        `json:"slots"`
}

// Held is a grant as its borrower reports it.
type Held struct {
	Grant
	// InUse counts the requests that run under the grant.
	InUse int `json:"inUse"`
}

// lent is a grant on the lender's side.
type lent struct {
	Grant
	borrower psdoc.Name
	// heldUntil is when the borrower has certainly stopped, unless it renews.
	heldUntil time.Time
}

// borrowed is a grant on the borrower's side.
type borrowed struct {
	Grant
	lender psdoc.Name
	// startUntil ends the time in which requests may start.
	startUntil time.Time
	// holdUntil ends the time in which requests may run.
	holdUntil time.Time
	// used is when a request last started.
	used  time.Time
	slots map[*Slot]struct{}
}

// limit returns the slots that may be in use now: those that run, and more within the term.
func (g *borrowed) limit(now time.Time) int {
	if now.Before(g.startUntil) {
		return g.Slots
	}
	return len(g.slots)
}
