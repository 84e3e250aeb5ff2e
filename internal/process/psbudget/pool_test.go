package psbudget

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psfence"
	"persimmonstep/internal/version/psplan"
)

// newPoolAccount returns an account with its own part and a second VM to borrow from.
func newPoolAccount(own Amount) (*account, *psplan.VM) {
	other := &psplan.VM{Name: "other"}
	a := newAccount("w", "self", epoch)
	a.lenders = []lender{{vm: other, base: own}}
	a.rank()
	a.setStanding(standing{retained: own}, own.times(2), psfence.Span{}, epoch)
	return a, other
}

func TestTokenOnItsWayKeepsItsBurst(t *testing.T) {
	c := qt.New(t)
	a, _ := newPoolAccount(Amount{Rate: 100, Burst: 1})
	now := epoch.Add(time.Second)
	c.Assert(a.give(now), qt.IsTrue)
	now = now.Add(tokenLife)
	c.Assert(a.spend(1, now), qt.IsFalse, qt.Commentf("the token may be used until now"))
	now = now.Add(tokenMargin + 10*time.Millisecond)
	c.Assert(a.spend(1, now), qt.IsTrue)
}

func TestTokenNeedsBurstThatLasts(t *testing.T) {
	c := qt.New(t)
	a, other := newPoolAccount(Amount{})
	a.whole = Amount{Rate: 100, Burst: 2}
	a.demand.most = 100
	a.demand.arrive(1, epoch)
	a.lenders[0].base = Amount{Rate: 100, Burst: 1}
	a.silentPools[other.Name] = absence{until: epoch.Add(time.Hour)}
	asks := a.asks("p", epoch)
	c.Assert(asks, qt.HasLen, 1)
	c.Assert(asks[0].to, qt.Equals, other)
	a.answered(asks[0], loanAnswer{Grant: Amount{Rate: 100, Burst: 2}, Tokens: 2}, nil, epoch)
	c.Assert(a.give(epoch.Add(Term-tokenLife)), qt.IsFalse, qt.Commentf("the loan ends before the token"))
	c.Assert(a.spend(1, epoch.Add(Term-tokenLife)), qt.IsTrue)
	c.Assert(a.spend(1, epoch.Add(Term)), qt.IsFalse)
}

func TestPoolIsTheFirstThatAnswers(t *testing.T) {
	c := qt.New(t)
	p := testPlan(1, 9, 3)
	shares := Split(p, "w", 10)
	pools := make(map[*psplan.VM]int)
	for _, s := range shares {
		a := newAccount("w", s.VM.Name, epoch)
		for _, v := range shares {
			if v.VM != s.VM {
				a.lenders = append(a.lenders, lender{vm: v.VM})
			}
		}
		a.rank()
		a.whole = Amount{Rate: 20, Burst: 10}
		pool := a.poolOf(epoch)
		if pool == nil {
			pool = s.VM
		}
		pools[pool]++
		a.passOver(pool.Name, epoch)
		c.Assert(a.poolOf(epoch), qt.Not(qt.Equals), pool)
		a.whole.Burst = 100
		c.Assert(a.poolOf(epoch), qt.IsNil, qt.Commentf("a large burst is not pooled"))
	}
	c.Assert(pools, qt.HasLen, 1, qt.Commentf("all VMs choose the same pool"))
}
