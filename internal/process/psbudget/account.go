package psbudget

import (
	"math"
	"time"

	"persimmonstep/internal/process/psfence"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	// minFill is the smallest number of tokens that makes one request; it allows for the
	// rounding of sums of parts.
	minFill = 1 - dust
	// farFuture stands for a time that never comes.
	farFuture = 24 * time.Hour
)

// account is one budget at one VM: a token bucket whose rate and burst change
// with loans and fences. It has no clock, does no input or output and is not safe for
// concurrent use. Between two changes its limits are constant, so that a spend adds and
// compares a few numbers only.
type account struct {
	key  psdoc.Name
	self psdoc.Name

	standing standing
	held     psfence.Span
	// whole is the budget over all VMs.
	whole Amount

	tokens float64
	last   time.Time
	// limit holds from last until the time until.
	limit Amount
	until time.Time

	demand demand
	// used is when a request or a loan last touched the account.
	used time.Time

	lent     map[borrower]*lending
	borrowed map[psdoc.Name]*borrowing
	lenders  []lender
	waiting  []*waiter
	// ranked are the lenders by rendezvous hash, silentPools until when those that did not
	// answer are passed over, and locks the tokens given away that may not be used yet.
	ranked      []*psplan.VM
	silentPools map[psdoc.Name]absence
	locks       []lock
	// serving is until when other VMs take this one for the pool.
	serving time.Time
	// armed says that a timer will serve the requests that wait.
	armed bool
	// kicked is when a spend last had loans looked for.
	kicked time.Time
	// sequence numbers the requests for loans; it never starts over in a process.
	sequence uint64
	// recalled is when borrowers were last asked to give back.
	recalled time.Time
}

func newAccount(key, self psdoc.Name, now time.Time) *account {
	return &account{
		key: key, self: self, last: now, used: now,
		lent:        make(map[borrower]*lending),
		borrowed:    make(map[psdoc.Name]*borrowing),
		silentPools: make(map[psdoc.Name]absence),
	}
}

// setStanding changes the VM's own part from now on.
func (a *account) setStanding(s standing, whole Amount, held psfence.Span, now time.Time) {
	a.fill(now)
	a.standing, a.whole, a.held = s, whole, held
	a.demand.most = whole.Rate
	a.relimit(now)
}

// own returns the VM's own part without what is lent, and when it changes by itself.
func (a *account) own(now time.Time) (Amount, time.Time) {
	own, until := a.standing.own(a.held, now)
	for b, l := range a.lent {
		l.expire(now)
		if len(l.entries) == 0 && now.Sub(l.touched) > lendingMemory {
			delete(a.lent, b)
			continue
		}
		own = own.less(l.amount())
		until = earlier(until, l.next())
	}
	return own, until
}

// relimit computes the limits that hold from now on.
func (a *account) relimit(now time.Time) {
	limit, until := a.own(now)
	if !a.held.Holds(now) && now.Before(a.held.Since) {
		until = earlier(until, a.held.Since)
	}
	for vm, b := range a.borrowed {
		if !now.Before(b.expires) {
			if b.pending == 0 && now.Sub(later(b.expires, b.resume)) > lendingMemory {
				delete(a.borrowed, vm)
			}
			continue
		}
		limit = limit.plus(b.amount)
		until = earlier(until, b.expires)
	}
	locked, next := a.locked(now)
	limit.Burst = math.Max(0, limit.Burst-locked)
	until = earlier(until, next)
	if until.IsZero() {
		until = now.Add(farFuture)
	}
	a.limit, a.until = limit, until
	a.tokens = math.Min(a.tokens, limit.Burst)
}

// earlier returns the earlier of two times, of which the zero time is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// fill brings the tokens up to the time, one span of constant limits after the other.
func (a *account) fill(now time.Time) {
	for !now.Before(a.until) && a.last.Before(a.until) {
		a.accrue(a.until)
		a.relimit(a.until)
	}
	if a.until.IsZero() || !a.last.Before(a.until) {
		a.relimit(a.last)
	}
	a.accrue(now)
}

func (a *account) accrue(now time.Time) {
	passed := now.Sub(a.last)
	if passed <= 0 {
		return
	}
	a.tokens = math.Min(a.limit.Burst, a.tokens+passed.Seconds()*a.limit.Rate)
	a.last = now
}

// spend takes n tokens if there are as many.
func (a *account) spend(n float64, now time.Time) bool {
	a.fill(now)
	if a.tokens < n-dust {
		return false
	}
	a.tokens -= n
	return true
}

// wait returns how long the bucket needs for a number of requests at its present rate.
func (a *account) wait(n float64) time.Duration {
	switch {
	case a.tokens >= n-dust:
		return 0
	case a.limit.Rate < dust || a.limit.Burst < minFill:
		return time.Hour
	}
	return time.Duration((n - a.tokens) / a.limit.Rate * float64(time.Second))
}

// idle reports whether the account can be forgotten: a new one would hold no more.
func (a *account) idle(now time.Time) bool {
	a.fill(now)
	full := a.tokens >= a.limit.Burst-dust
	return full && len(a.waiting) == 0 && len(a.lent) == 0 && len(a.locks) == 0 && len(a.borrowed) == 0 && now.Sub(a.used) > idleTime
}
