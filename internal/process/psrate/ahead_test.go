package psrate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psrate"
)

// aheadReplay replays the requests of a workspace at several VMs, of which each may hold one token ahead.
type aheadReplay struct {
	bucket  *psrate.Bucket
	limit   psrate.Limit
	expires []time.Time
	// granted are the times of granted requests, and unwaited counts those that had their token ahead.
	granted  []time.Time
	unwaited int
}

// aheadLifetime is how long a VM may use a token that it holds, and aheadSlack how much longer the owner counts it.
const (
	aheadLifetime = 3 * time.Second
	aheadSlack    = 300 * time.Millisecond
)

func (r *aheadReplay) request(vm int, now time.Time) {
	held := now.Before(r.expires[vm])
	if !held {
		if granted, _ := r.bucket.Take(r.limit, 1, now); !granted {
			return
		}
	} else {
		r.bucket.SettleAhead(false)
		r.unwaited++
	}
	r.granted = append(r.granted, now)
	r.expires[vm] = time.Time{}
	if r.bucket.TakeAhead(r.limit, 1, now.Add(aheadLifetime+aheadSlack), now) {
		r.expires[vm] = now.Add(aheadLifetime)
	}
}

// settleExpired returns the tokens that have expired unused.
func (r *aheadReplay) settleExpired(now time.Time) {
	for i, v := range r.expires {
		if !v.IsZero() && !now.Before(v) {
			r.expires[i] = time.Time{}
			r.bucket.SettleAhead(true)
		}
	}
}

// run lets 84 VMs send requests of one workspace at some rates in requests per second, each for six seconds.
func (r *aheadReplay) run(rates ...float64) {
	random := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(1000, 0)
	r.bucket, r.expires = psrate.NewBucket(start.Add(-10*time.Second)), make([]time.Time, 84)
	for i, rate := range rates {
		end := start.Add(time.Duration(i+1) * 6 * time.Second)
		for now := end.Add(-6 * time.Second); now.Before(end); now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))) {
			r.settleExpired(now)
			r.request(random.IntN(len(r.expires)), now)
		}
	}
}

// mostIn returns the most requests that were granted in any window.
func (r *aheadReplay) mostIn(window time.Duration) int {
	most, first := 0, 0
	for i, at := range r.granted {
		for at.Sub(r.granted[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestTokensHeldAheadStayWithinTheLimit covers a workspace that sends ten times its usual rate after VMs have begun to hold
// tokens ahead for it. All tokens together must not exceed what one bucket grants.
func TestTokensHeldAheadStayWithinTheLimit(t *testing.T) {
	r := &aheadReplay{limit: psrate.Limit{Rate: 100, Burst: 100}}
	r.run(60, 600, 60, 600)
	bound := int((100*5 + 100) * 1.1)
	qt.Assert(t, r.mostIn(5*time.Second) <= bound, qt.IsTrue, qt.Commentf("%d granted, %d allowed", r.mostIn(5*time.Second), bound))
}

// TestUsualLoadHoldsTokensAhead covers a workspace within its rate: nothing is refused, and most requests find their token.
func TestUsualLoadHoldsTokensAhead(t *testing.T) {
	r := &aheadReplay{limit: psrate.Limit{Rate: 100, Burst: 100}}
	r.run(60, 60)
	n := len(r.granted)
	qt.Assert(t, n > 650, qt.IsTrue, qt.Commentf("%d granted", n))
	qt.Assert(t, r.unwaited > n*6/10, qt.IsTrue, qt.Commentf("%d of %d had their token ahead", r.unwaited, n))
}
