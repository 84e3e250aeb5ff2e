package psbudget

import (
	"context"
	"math"
	"time"
)

// waiter is a request that waits for a token.
type waiter struct {
	account *account
	// ready is closed when the request has its token.
	ready chan struct{}
	done  bool
	// remote says that the token goes to another VM.
	remote bool
}

// kickPause is the least time between two looks for loans that spends cause.
const kickPause = 5 * time.Millisecond

// enqueue lets a request wait if it has a prospect, or advises when to come back. The mutex
// is held.
func (b *Book) enqueue(a *account, remote bool, now time.Time) (*waiter, time.Duration) {
	a.fill(now)
	turn := float64(len(a.waiting) + 1)
	wait := a.wait(turn)
	if wait > MaxWait && !a.hopeful(turn, now) {
		return nil, a.advice()
	}
	q := &waiter{account: a, ready: make(chan struct{}), remote: remote}
	a.waiting = append(a.waiting, q)
	b.arm(a)
	if now.Sub(a.kicked) > kickPause {
		a.kicked = now
		b.kick(a.key)
	}
	return q, 0
}

// hopeful reports whether a loan may bring tokens in time: a request for one is under way,
// or some lender may be asked.
func (a *account) hopeful(turn float64, now time.Time) bool {
	if turn > math.Max(minBurst, a.whole.Burst) {
		return false
	}
	if a.limit.Rate >= a.whole.Rate-dust && a.limit.Burst >= a.whole.Burst-dust {
		return false
	}
	for _, l := range a.lenders {
		b := a.borrowed[l.vm.Name]
		if b == nil || b.pending != 0 || b.resume.Sub(now) < MaxWait/2 {
			return true
		}
	}
	return false
}

// advice returns when a refused caller should come back.
func (a *account) advice() time.Duration {
	advice := a.wait(float64(len(a.waiting) + 1))
	if advice == time.Hour {
		advice = time.Second
	}
	return advice
}

// await lets a request of this VM wait.
func (b *Book) await(ctx context.Context, q *waiter) error {
	b.metrics.waited.Inc()
	if b.wait(ctx, q) {
		b.metrics.admitted.Inc()
		return nil
	}
	b.metrics.refused.Inc()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return overRate(q.account.advice())
}

// wait waits until the request has its token, its time is over or its caller is gone, and
// reports whether it has the token.
func (b *Book) wait(ctx context.Context, q *waiter) bool {
	t := time.NewTimer(MaxWait)
	defer t.Stop()
	select {
	case <-q.ready:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.serve(q.account)
	if !q.done {
		q.account.forget(q)
	}
	return q.done
}

func (a *account) forget(q *waiter) {
	for i, v := range a.waiting {
		if v == q {
			a.waiting = append(a.waiting[:i:i], a.waiting[i+1:]...)
			return
		}
	}
}

// serve gives tokens to the requests that wait, in order. The mutex is held.
func (b *Book) serve(a *account) {
	now := b.now()
	a.held = b.shares.View().Held
	for len(a.waiting) > 0 && a.pay(a.waiting[0], now) {
		q := a.waiting[0]
		a.waiting = a.waiting[1:]
		q.done = true
		close(q.ready)
	}
	b.arm(a)
}

// pay takes the token of a request that waits.
func (a *account) pay(q *waiter, now time.Time) bool {
	if q.remote {
		return a.give(now)
	}
	return a.spend(1, now)
}

// arm sets the timer that serves the next request that waits. The mutex is held.
func (b *Book) arm(a *account) {
	if len(a.waiting) == 0 || a.armed {
		return
	}
	wait := a.wait(1)
	if wait > MaxWait {
		// Only a loan can help; its answer serves the queue.
		return
	}
	a.armed = true
	time.AfterFunc(wait, func() {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		a.armed = false
		b.serve(a)
	})
}
