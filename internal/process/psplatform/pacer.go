package psplatform

import (
	"context"
	"sync"
	"time"

	"persimmonstep/internal/process/pswait"
)

const (
	// ceilingPart divides the fleet's budget: no VM takes more than that part by itself
	// unless its equal share is larger.
	ceilingPart = 12
	// startPart divides the ceiling for the first rate.
	startPart = 4
	// growth is the part of the ceiling by which the rate grows per call that had to wait.
	growth = 0.02
	// decrease multiplies the rate after a call that the platform was slow to answer or failed.
	decrease = 0.5
	// burstSpan is the span whose calls may come at once.
	burstSpan = 250 * time.Millisecond
	minBurst  = 4
)

// pacer is a token bucket whose rate adapts between this VM's equal share of the fleet's
// budget and a ceiling. VMs that are busy take what idle ones leave, and fall back to their
// shares when the platform slows down.
type pacer struct {
	// budget is the fleet's calls per second.
	budget float64
	// fleet returns the number of VMs.
	fleet func() int
	now   func() time.Time

	mutex  sync.Mutex
	rate   float64
	tokens float64
	last   time.Time
}

// bounds returns the least and the greatest rate.
func (p *pacer) bounds() (floor, ceiling float64) {
	floor = p.budget / float64(max(1, p.fleet()))
	return floor, max(floor, p.budget/ceilingPart)
}

// reserve takes a token and returns how long to wait for it.
func (p *pacer) reserve() time.Duration {
	floor, ceiling := p.bounds()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.last.IsZero() {
		p.rate = ceiling / startPart
	}
	p.rate = min(max(p.rate, floor), ceiling)
	now := p.now()
	burst := max(minBurst, p.rate*burstSpan.Seconds())
	if p.last.IsZero() {
		p.tokens = burst
	} else {
		p.tokens = min(burst, p.tokens+p.rate*now.Sub(p.last).Seconds())
	}
	p.last = now
	p.tokens--
	if p.tokens >= 0 {
		return 0
	}
	p.rate = min(ceiling, p.rate+growth*ceiling)
	return time.Duration(-p.tokens / p.rate * float64(time.Second))
}

// giveBack returns a token that was not used.
func (p *pacer) giveBack() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.tokens++
}

// slow lowers the rate.
func (p *pacer) slow() {
	floor, _ := p.bounds()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.rate = max(floor, p.rate*decrease)
}

// wait waits for a token and reports false if the context ends first.
func (p *pacer) wait(ctx context.Context) bool {
	d := p.reserve()
	if d == 0 {
		return ctx.Err() == nil
	}
	if end, found := ctx.Deadline(); found && end.Sub(p.now()) < d {
		p.giveBack()
		return false
	}
	if pswait.Sleep(ctx, d) {
		return true
	}
	p.giveBack()
	return false
}
