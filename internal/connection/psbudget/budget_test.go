package psbudget_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/psbudget"
)

// clock is a settable time.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// TestSmallAccountsAreServedWhileOthersHoldTheRest covers a crowd that holds all it can get: an ordinary request still
// gets what it needs.
func TestSmallAccountsAreServedWhileOthersHoldTheRest(t *testing.T) {
	c := &clock{time.Unix(0, 0)}
	b := psbudget.New(1<<20, c.Now)
	for range 20 {
		a, _ := b.Open(func() {})
		for a.Take(128 << 10) {
		}
	}
	qt.Assert(t, b.Usage().Used, qt.Equals, int64(768<<10))
	a, closeAccount := b.Open(func() {})
	qt.Assert(t, a.Take(16<<10), qt.IsTrue)
	qt.Assert(t, a.Take(64<<10), qt.IsFalse)
	closeAccount()
	qt.Assert(t, b.Usage().Used, qt.Equals, int64(768<<10))
	qt.Assert(t, a.Take(1), qt.IsFalse)
}

// TestAccountThatHoldsMostWithoutProgressIsEvicted covers slow readers: the account that holds most is evicted, once, and not
// while it makes progress.
func TestAccountThatHoldsMostWithoutProgressIsEvicted(t *testing.T) {
	c := &clock{time.Unix(0, 0)}
	b := psbudget.New(1<<20, c.Now)
	evicted := make(chan string, 4)
	open := func(name string, held int64) (*psbudget.Account, func()) {
		a, closeAccount := b.Open(func() { evicted <- name })
		qt.Assert(t, a.Take(held), qt.IsTrue)
		return a, closeAccount
	}
	reading, _ := open("reading", 400<<10)
	_, closeLarge := open("large", 200<<10)
	_, _ = open("small", 100<<10)
	late, _ := b.Open(func() {})
	c.now = c.now.Add(2 * time.Second)
	qt.Assert(t, late.TakeSpare(200<<10), qt.IsFalse)
	qt.Assert(t, b.Usage().Evicted, qt.Equals, int64(0))
	c.now = c.now.Add(-2 * time.Second)

	qt.Assert(t, late.Take(200<<10), qt.IsFalse)
	c.now = c.now.Add(2 * time.Second)
	reading.Progress()
	qt.Assert(t, late.Take(200<<10), qt.IsFalse)
	qt.Assert(t, <-evicted, qt.Equals, "large")
	closeLarge()
	qt.Assert(t, late.Take(200<<10), qt.IsTrue)
	qt.Assert(t, late.Take(200<<10), qt.IsFalse)
	qt.Assert(t, <-evicted, qt.Equals, "small")
	qt.Assert(t, b.Usage().Evicted, qt.Equals, int64(2))
}

func TestNilAccountGrantsEverything(t *testing.T) {
	a := psbudget.Of(context.Background())
	qt.Assert(t, a.Take(1<<40), qt.IsTrue)
	a.Progress()
	a.Return(1 << 40)
}

// TestPlanFitsSmallAndLargeVMs checks that what may be held, with as much again for garbage, and all connections fit into
// the memory of a VM, and that descriptors are left for servers.
func TestPlanFitsSmallAndLargeVMs(t *testing.T) {
	for _, l := range []psbudget.Limits{
		{Memory: 184 << 20, Descriptors: 4100},
		{Memory: 284 << 20, Descriptors: 4100},
		{Memory: 536 << 20, Descriptors: 8192},
		{Memory: 96 << 20, Descriptors: 400},
	} {
		p := psbudget.PlanFor(l)
		servers := p.ServerConnections + p.ForwardConnections
		held := p.HeldBytes + int64(p.CallerConnections)*20<<10 + int64(servers)*30<<10
		qt.Check(t, held < l.Memory, qt.IsTrue, qt.Commentf("%+v: %+v", l, p))
		qt.Check(t, held < p.SoftMemoryLimit, qt.IsTrue, qt.Commentf("%+v: %+v", l, p))
		qt.Check(t, 2*p.HeldBytes < l.Memory, qt.IsTrue, qt.Commentf("%+v: %+v", l, p))
		qt.Check(t, p.CallerConnections+servers < l.Descriptors-100, qt.IsTrue, qt.Commentf("%+v: %+v", l, p))
		qt.Check(t, p.SoftMemoryLimit < l.Memory, qt.IsTrue)
	}
	qt.Assert(t, psbudget.PlanFor(psbudget.Limits{}).HeldBytes > 32<<20, qt.IsTrue)
}
