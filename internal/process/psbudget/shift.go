package psbudget

import (
	"math"
	"strings"
	"time"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	// shiftRate and shiftBytes begin the keys of the budgets of a route's shifts. The names
	// of workspaces have no dot.
	shiftRate  = "shift.rate."
	shiftBytes = "shift.bytes."
	// ShiftBurst is the time whose shifts may come at once.
	ShiftBurst = time.Second
)

// wholeOf returns a budget over all VMs: that of a workspace, or of a route's shifts.
func wholeOf(p *psplan.Plan, key psdoc.Name) (Amount, bool) {
	if name, found := strings.CutPrefix(string(key), shiftRate); found {
		r, known := p.Route(psdoc.Name(name))
		return shiftAmount(known, func() float64 { return r.Shift.Rate })
	}
	if name, found := strings.CutPrefix(string(key), shiftBytes); found {
		r, known := p.Route(psdoc.Name(name))
		return shiftAmount(known, func() float64 { return r.Shift.BytesPerSecond })
	}
	w, found := p.Workspace(key)
	if !found {
		return Amount{}, false
	}
	return Amount{Rate: w.Rate, Burst: w.Burst}, true
}

func shiftAmount(known bool, rate func() float64) (Amount, bool) {
	if !known || rate() <= 0 {
		return Amount{}, false
	}
	return Amount{Rate: rate(), Burst: math.Max(1, rate()*ShiftBurst.Seconds())}, true
}

// toll is what a shift costs in one budget.
type toll struct {
	key    psdoc.Name
	tokens float64
}

// tolls lists the budgets that a shifted request of a route must pay from.
func tolls(r *psplan.Route) []toll {
	var out []toll
	if r.Shift.Rate > 0 {
		out = append(out, toll{key: shiftRate + r.Name, tokens: 1})
	}
	if r.Shift.BytesPerSecond > 0 {
		// The bytes are charged when they are known; until then there must be no debt.
		out = append(out, toll{key: shiftBytes + r.Name})
	}
	return out
}

// MayShift reports whether the budgets admit one more shifted request of the route.
func (b *Book) MayShift(r *psplan.Route) bool {
	due := tolls(r)
	if len(due) == 0 {
		return true
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.affords(due, b.now())
}

// affords reports whether all tolls can be paid. The mutex is held.
func (b *Book) affords(due []toll, now time.Time) bool {
	for _, t := range due {
		a := b.account(t.key)
		a.used = now
		a.fill(now)
		if a.tokens < math.Max(t.tokens, dust)-dust || a.limit.Burst < dust {
			b.kick(t.key)
			return false
		}
	}
	return true
}

// TakeShift pays for a shifted request and reports false, paying nothing, where it can't.
func (b *Book) TakeShift(r *psplan.Route) bool {
	due := tolls(r)
	if len(due) == 0 {
		return true
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	for _, t := range due {
		b.account(t.key).demand.arrive(t.tokens, now)
	}
	if !b.affords(due, now) {
		return false
	}
	for _, t := range due {
		b.accounts[t.key].tokens -= t.tokens
	}
	return true
}

// ChargeShift pays for the bytes that shifted requests moved, if need be on credit.
func (b *Book) ChargeShift(r *psplan.Route, bytes int64) {
	if r.Shift.BytesPerSecond <= 0 || bytes <= 0 {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	a := b.account(shiftBytes + r.Name)
	a.used = now
	a.demand.arrive(float64(bytes), now)
	a.fill(now)
	a.tokens -= float64(bytes)
	if a.tokens < lowTokens*a.limit.Burst {
		b.kick(a.key)
	}
}
