package psbudget

import (
	"cmp"
	"context"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
	"persimmonstep/internal/version/psrendezvous"
)

const (
	// pooledBurst is the burst for each holder below which a budget is pooled at one VM.
	pooledBurst = 2
	// tokenLife is how long a token may be used, from before it was asked for.
	tokenLife = 80 * time.Millisecond
	// tokenMargin covers the drift of clocks over a token's life, and is far above it.
	tokenMargin = 10 * time.Millisecond
	// firstPoolPause and longestPoolPause bound the time before a VM that did not answer is
	// asked for tokens again; a slow answer must not send all requests elsewhere.
	firstPoolPause   = 50 * time.Millisecond
	longestPoolPause = time.Second
	// poolTries is how many VMs a request asks for a token.
	poolTries = 3
	// servingTime is how long a VM that was asked for a token remains a pool.
	servingTime = 2 * time.Second
	methodToken = "budget.token"
)

// tokenRequest asks for one token of a pooled budget.
type tokenRequest struct {
	Key psdoc.Name `json:"key"`
}

// tokenAnswer says whether the token was given, and else when to come back.
type tokenAnswer struct {
	Given       bool  `json:"given"`
	RetryMillis int64 `json:"retryMillis,omitempty"`
}

// lock keeps burst for a token that was given away and may not be used yet.
type lock struct {
	expires time.Time
}

// pooled reports whether the budget's shares are too small to be spent where they are. Then
// the requests of all VMs take their tokens from one VM, to which all others lend.
func (a *account) pooled() bool {
	return len(a.lenders) > 0 && a.whole.Burst < pooledBurst*float64(len(a.lenders)+1)
}

// pool returns the VM where the tokens are: the first by rendezvous hash that answers. It is
// nil where that is this VM.
func (a *account) pool(now time.Time) *psplan.VM {
	mine := psrendezvous.Score(a.key, a.self)
	for _, l := range a.ranked {
		if psrendezvous.Score(a.key, l.Name) < mine {
			return nil
		}
		if !now.Before(a.silentPools[l.Name].until) {
			return l
		}
	}
	return nil
}

// servePool makes this VM a pool for a while, because another VM takes it for one.
func (a *account) servePool(now time.Time) {
	a.demand.arrive(1, now)
	a.serving = now.Add(servingTime)
}

// poolOf returns the VM from which this VM takes its tokens; nil where it has its own.
func (a *account) poolOf(now time.Time) *psplan.VM {
	if !a.pooled() || now.Before(a.serving) {
		return nil
	}
	return a.pool(now)
}

// absence is how long a pool is passed over.
type absence struct {
	pause time.Duration
	until time.Time
}

// passOver passes over a pool that did not answer, longer each time.
func (a *account) passOver(pool psdoc.Name, now time.Time) {
	pause := min(longestPoolPause, max(firstPoolPause, 2*a.silentPools[pool].pause))
	a.silentPools[pool] = absence{pause: pause, until: now.Add(pause)}
}

// heard takes in that a pool answered.
func (b *Book) heard(key, pool psdoc.Name) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.account(key).silentPools, pool)
}

// rank orders the lenders by rendezvous hash.
func (a *account) rank() {
	a.ranked = a.ranked[:0]
	for _, l := range a.lenders {
		a.ranked = append(a.ranked, l.vm)
	}
	slices.SortFunc(a.ranked, func(x, y *psplan.VM) int {
		return cmp.Compare(psrendezvous.Score(a.key, y.Name), psrendezvous.Score(a.key, x.Name))
	})
}

// locked returns the burst that is kept for tokens on their way.
func (a *account) locked(now time.Time) (burst float64, next time.Time) {
	a.locks = slices.DeleteFunc(a.locks, func(l lock) bool { return !now.Before(l.expires) })
	for _, l := range a.locks {
		next = earlier(next, l.expires)
	}
	return float64(len(a.locks)), next
}

// give takes a token for another VM. The burst under it stays locked until the other VM
// can no longer use it, so it must not end before.
func (a *account) give(now time.Time) bool {
	a.fill(now)
	expires := now.Add(tokenLife + tokenMargin)
	own, _ := a.own(now)
	lasting := own.Burst
	for _, b := range a.borrowed {
		if b.expires.After(expires) {
			lasting += b.amount.Burst
		}
	}
	locked, _ := a.locked(now)
	if a.tokens < minFill || lasting-locked < minFill {
		return false
	}
	a.tokens = math.Max(0, a.tokens-1)
	a.locks = append(a.locks, lock{expires: expires})
	a.relimit(now)
	return true
}

// take asks the pool for a token. It reports false where the pool does not answer.
func (b *Book) take(ctx context.Context, key psdoc.Name, pool *psplan.VM) (answered bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, tokenLife)
	defer cancel()
	sent := b.now()
	var out tokenAnswer
	failure := b.peers.Call(ctx, pspeer.Peer{Name: pool.Name, Address: pool.Peer}, methodToken, tokenRequest{Key: key}, &out)
	b.metrics.called("token", failure)
	now := b.now()
	if failure != nil {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		b.account(key).passOver(pool.Name, now)
		return false, nil
	}
	b.heard(key, pool.Name)
	if !out.Given || now.Sub(sent) >= tokenLife {
		b.metrics.refused.Inc()
		return true, overRate(time.Duration(out.RetryMillis) * time.Millisecond)
	}
	b.metrics.admitted.Inc()
	return true, nil
}

// answerToken gives a token to another VM, after a wait of its turn.
func (b *Book) answerToken(ctx context.Context, from psdoc.Name, params json.RawMessage) (any, error) {
	var in tokenRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, errors.Wrap(err, "decode a request for a token")
	}
	b.mutex.Lock()
	v := b.shares.View()
	_, member := v.Plan.VM(from)
	_, known := wholeOf(v.Plan, in.Key)
	if !member || !known {
		b.mutex.Unlock()
		return nil, errors.Errorf("VM %q or budget %q is not in the configuration", from, in.Key)
	}
	now := b.now()
	a := b.account(in.Key)
	a.used = now
	a.servePool(now)
	if len(a.waiting) == 0 && a.give(now) {
		b.kickWhenLow(a, now)
		b.mutex.Unlock()
		return tokenAnswer{Given: true}, nil
	}
	q, advice := b.enqueue(a, true, now)
	b.mutex.Unlock()
	if q != nil && b.wait(ctx, q) {
		return tokenAnswer{Given: true}, nil
	}
	return tokenAnswer{RetryMillis: max(advice, leastRetryAfter).Milliseconds()}, nil
}
