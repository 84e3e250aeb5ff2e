// Package psshift keeps the caps on what a route moves to other regions.
//
// A shift is a request that runs outside its home region, whatever moved it there: steering,
// a retry, a spill, a forwarded call or a directory answer. A cap that is a fraction is kept
// by each VM on its own requests at every prefix: the shifted requests never exceed the
// fraction of all requests so far. What holds on each VM holds for the sum, without any
// message. Each request earns its fraction of a shift, and a shift costs a whole one; what
// is saved up is bounded, so that a long quiet time doesn't end in a flood. Caps in requests
// or bytes per second are budgets over all VMs. A bound on growth raises the fraction step
// by step, so that cold caches fill before much traffic moves.
//
// [Caps] does no input or output and takes no lock but its own and the budgets', so it may be
// used under the lock of a dispatcher.
package psshift

import (
	"math"
	"sync"
	"time"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	// savingSpan is the span of requests whose fractions can be saved up.
	savingSpan = 5 * time.Second
	// rateSpan is the span over which the rate of requests is averaged.
	rateSpan = 30 * time.Second
	// slotSpan is the span of requests whose shifted fractions are compared to see growth;
	// slotCount is how many such spans are remembered: those of a minute and the present one.
	slotSpan  = 10 * time.Second
	slotCount = 7
	// rounding is by how much a sum of fractions may miss a whole shift.
	rounding = 1e-9
	// idleTime is how long a route without requests is kept.
	idleTime = 10 * time.Minute
)

// Budgets holds the bounds on shifted requests and bytes over all VMs.
type Budgets interface {
	// MayShift reports whether one more request of the route may be shifted.
	MayShift(r *psplan.Route) bool
	// TakeShift pays for a shifted request and reports false, paying nothing, where it can't.
	TakeShift(r *psplan.Route) bool
	// ChargeShift pays for the bytes that shifted requests moved, if need be on credit.
	ChargeShift(r *psplan.Route, bytes int64)
}

// Caps keeps the caps of all routes on one VM.
type Caps struct {
	budgets Budgets
	now     func() time.Time

	mutex  sync.Mutex
	routes map[psdoc.Name]*ledger
	swept  time.Time
}

// New returns caps without any request.
func New(b Budgets, now func() time.Time) *Caps {
	return &Caps{budgets: b, now: now, routes: make(map[psdoc.Name]*ledger), swept: now()}
}

// Count enters a request of the route. Each request is entered once, before it is shifted.
func (c *Caps) Count(r *psplan.Route) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ledger(r).count(c.now())
}

// MayShift reports whether one more request of the route may be shifted.
func (c *Caps) MayShift(r *psplan.Route) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ledger(r).mayShift(c.now()) && c.budgets.MayShift(r)
}

// Spend enters a shifted request and reports false, entering nothing, where a cap forbids it.
func (c *Caps) Spend(r *psplan.Route) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	l, now := c.ledger(r), c.now()
	if !l.mayShift(now) || !c.budgets.TakeShift(r) {
		return false
	}
	l.shift(now)
	return true
}

// Refund takes a shifted request back that certainly did not run. What it paid from the
// budgets stays paid: giving it back late could break their bound.
func (c *Caps) Refund(r *psplan.Route) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ledger(r).refund()
}

// Charge enters the bytes that a shifted request moved. They are not known before, so the
// VM may go into debt for what is under way; until the debt is paid it shifts nothing more.
func (c *Caps) Charge(r *psplan.Route, bytes int64) {
	c.budgets.ChargeShift(r, bytes)
}

// ledger finds or opens the route's ledger and gives it the route's present caps.
func (c *Caps) ledger(r *psplan.Route) *ledger {
	now := c.now()
	if now.Sub(c.swept) > idleTime {
		c.sweep(now)
	}
	l, found := c.routes[r.Name]
	if !found {
		l = &ledger{began: now, moved: now}
		c.routes[r.Name] = l
	}
	l.cap(r.Shift.Fraction, r.Shift.GrowthPerMinute)
	return l
}

func (c *Caps) sweep(now time.Time) {
	c.swept = now
	for name, l := range c.routes {
		if now.Sub(l.moved) > idleTime {
			delete(c.routes, name)
		}
	}
}

// ledger counts the requests of one route at one VM.
type ledger struct {
	began    time.Time
	fraction float64
	growth   float64
	// total and shifted count since the present fraction came into force.
	total   float64
	shifted float64
	// credit is the number of shifts that are earned and not used.
	credit float64
	// recent is a decaying count of requests, as of the time moved.
	recent float64
	moved  time.Time

	// ramp is the fraction that growth admits, as of the time grown.
	ramp  float64
	grown time.Time
	// slots are the latest spans, the present one first; slot is the number of that one.
	slots [slotCount]span
	slot  int64
}

// span counts the requests of one span of time.
type span struct {
	total   float64
	shifted float64
}

func (s span) fraction() float64 {
	if s.total == 0 {
		return 0
	}
	return s.shifted / s.total
}

// cap takes in the route's caps. Another fraction starts the counts anew, without credit.
func (l *ledger) cap(fraction, growth float64) {
	if fraction != l.fraction {
		l.fraction, l.total, l.shifted, l.credit = fraction, 0, 0, 0
	}
	l.growth = growth
}

func (l *ledger) count(now time.Time) {
	l.decay(now)
	l.turn(now)
	l.total++
	l.recent++
	l.slots[0].total++
	rate := l.recent / rateSpan.Seconds()
	most := math.Max(1, l.allowed(now)*rate*savingSpan.Seconds())
	l.credit = math.Min(most, l.credit+l.allowed(now))
}

// allowed returns the fraction that may be shifted now.
func (l *ledger) allowed(now time.Time) float64 {
	if l.growth <= 0 {
		return l.fraction
	}
	l.grow(now)
	return math.Min(l.fraction, l.ramp)
}

// grow raises the ramp with time, and keeps it within one minute's growth of the smallest
// fraction of the last minute.
func (l *ledger) grow(now time.Time) {
	l.turn(now)
	if l.grown.IsZero() {
		l.grown = now
	}
	l.ramp += l.growth * now.Sub(l.grown).Minutes()
	l.grown = now
	least := 1.0
	for _, s := range l.slots[1:] {
		least = math.Min(least, s.fraction())
	}
	l.ramp = math.Min(l.ramp, math.Min(l.fraction, least+l.growth))
	if l.slots[0].shifted+l.slots[1].shifted == 0 {
		// Nothing was shifted of late, so that growth begins anew.
		l.ramp = math.Min(l.ramp, l.growth*slotSpan.Minutes())
	}
}

// turn moves the spans on.
func (l *ledger) turn(now time.Time) {
	slot := int64(now.Sub(l.began) / slotSpan)
	for n := min(slot-l.slot, slotCount); n > 0; n-- {
		copy(l.slots[1:], l.slots[:slotCount-1])
		l.slots[0] = span{}
	}
	l.slot = slot
}

func (l *ledger) decay(now time.Time) {
	passed := now.Sub(l.moved)
	l.moved = now
	if passed > 0 {
		l.recent *= math.Exp(-passed.Seconds() / rateSpan.Seconds())
	}
}

// mayShift compares both the credit and the exact counts, so that rounding of the credit
// cannot break the bound.
func (l *ledger) mayShift(now time.Time) bool {
	return l.allowed(now) > 0 && l.credit >= 1-rounding && l.shifted+1 <= l.fraction*l.total
}

func (l *ledger) shift(now time.Time) {
	l.turn(now)
	l.credit--
	l.shifted++
	l.slots[0].shifted++
}

func (l *ledger) refund() {
	l.credit++
	l.shifted = math.Max(0, l.shifted-1)
	l.slots[0].shifted = math.Max(0, l.slots[0].shifted-1)
}
