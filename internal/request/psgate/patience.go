package psgate

import (
	"context"
	"slices"
	"sync"
	"time"

	"persimmonstep/internal/process/pspool"
)

// successorWait bounds the wait for a slot on another server while an attempt is still
// waited for.
const successorWait = 50 * time.Millisecond

// patience gives up an attempt whose answer does not begin in time, but only once another
// server is ready to take the request: to wait on is never worse than to fail.
type patience struct {
	cancel context.CancelFunc

	mutex sync.Mutex
	timer *time.Timer
	ended bool
	next  *pspool.Slot
}

// begin starts the time. The function returns a slot on another server, or nil.
func (p *patience) begin(d time.Duration, successor func() *pspool.Slot) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.timer = time.AfterFunc(d, func() {
		if s := successor(); s != nil {
			p.giveUp(s)
		}
	})
}

// giveUp cancels the attempt in favour of the next, unless it has ended meanwhile.
func (p *patience) giveUp(next *pspool.Slot) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ended {
		next.Refund()
		return
	}
	p.next = next
	p.cancel()
}

// end ends the wait and returns the slot for the next attempt if this one was given up.
func (p *patience) end() *pspool.Slot {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ended = true
	if p.timer != nil {
		p.timer.Stop()
	}
	return p.next
}

// successor returns a function that takes a slot on another server and pays for its use.
// It may run while the exchange goes on, so it takes along what it needs.
func (x *exchange) successor(ctx context.Context) func() *pspool.Slot {
	r := x.routeRequest(slices.Clone(x.tries.servers))
	return func() *pspool.Slot {
		ctx, cancel := context.WithTimeout(ctx, successorWait)
		defer cancel()
		slot, err := x.gate.Slots.Acquire(ctx, r)
		if err != nil {
			return nil
		}
		if !x.gate.Retries.Spend(r.Route.Pool, time.Now()) {
			slot.Refund()
			return nil
		}
		return slot
	}
}

// dropNext gives back a slot that was taken for an attempt that does not come.
func (x *exchange) dropNext() {
	if x.tries.next != nil {
		x.tries.next.Refund()
		x.tries.next = nil
	}
}
