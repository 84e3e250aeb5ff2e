package psbudget

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psfence"
)

// flow sends a steady rate of requests to one VM and returns how many were refused.
func (f *fleet) flow(n *node, rate float64, span time.Duration) (sent, refused int) {
	const step = 5 * time.Millisecond
	due := 0.0
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(step) {
		f.settle()
		if f.now.Sub(epoch)%loanTimeout == 0 {
			for _, v := range f.nodes {
				f.timeOut(v)
			}
		}
		for _, v := range f.nodes {
			if !v.paused {
				f.fence(v)
				f.upkeep(v)
			}
		}
		for len(f.pending) > 0 {
			next := f.pending[0]
			f.pending = f.pending[1:]
			next()
		}
		for due += rate * step.Seconds(); due >= 1; due-- {
			sent++
			if !f.request(n) {
				refused++
			}
		}
	}
	return sent, refused
}

// request spends one token of a VM or of the pool, without any wait.
func (f *fleet) request(n *node) bool {
	now := f.local(n)
	n.account.demand.arrive(1, now)
	if n.account.spend(1, now) {
		return true
	}
	for range poolTries {
		pool := n.account.poolOf(now)
		if pool == nil {
			return false
		}
		if to := f.node(pool.Name); !to.paused {
			to.account.servePool(f.local(to))
			return to.account.give(f.local(to))
		}
		n.account.passOver(pool.Name, now)
	}
	return false
}

func even(vms int, whole Amount) version {
	v := version{whole: whole}
	for range vms {
		v.shares = append(v.shares, 1/float64(vms))
	}
	return v
}

// adoptAfter is when the share of a silent VM is used by its guardian.
const adoptAfter = psfence.Patience + psfence.Term + psfence.Margin + Drain

func TestSteadyFlowAtOneVM(t *testing.T) {
	for _, whole := range []Amount{{20, 10}, {100, 20}, {1000, 500}} {
		c := qt.New(t)
		f := newFleet(9, func() float64 { return 1 }, even(9, whole))
		f.flow(f.nodes[0], 0, 2*time.Second)
		sent, refused := f.flow(f.nodes[3], 0.9*whole.Rate, 20*time.Second)
		c.Check(float64(refused) <= 0.001*float64(sent), qt.IsTrue, qt.Commentf("calm, %v: %d of %d", whole, refused, sent))

		pool := f.poolIndex()
		dead := (pool + 1) % 9
		if dead == 3 {
			dead = (pool + 2) % 9
		}
		f.nodes[dead].paused = true
		sent, refused = f.flow(f.nodes[3], 0.9*whole.Rate, adoptAfter)
		f.adopt(f.nodes[dead], f.nodes[pool])
		again, more := f.flow(f.nodes[3], 0.9*whole.Rate, 20*time.Second-adoptAfter)
		sent, refused = sent+again, refused+more
		c.Check(float64(refused) <= 0.01*float64(sent), qt.IsTrue, qt.Commentf("a VM dead, %v: %d of %d", whole, refused, sent))
	}
}

func TestFlowAfterThePoolDied(t *testing.T) {
	c := qt.New(t)
	whole := Amount{20, 10}
	f := newFleet(9, func() float64 { return 1 }, even(9, whole))
	pool := f.poolIndex()
	hot := f.nodes[(pool+1)%9]
	f.flow(hot, 0.9*whole.Rate, 5*time.Second)
	f.nodes[pool].paused = true
	f.flow(hot, 0.9*whole.Rate, adoptAfter)
	f.adopt(f.nodes[pool], f.nodes[(pool+2)%9])
	sent, refused := f.flow(hot, 0.9*whole.Rate, 20*time.Second)
	c.Check(float64(refused) <= 0.01*float64(sent), qt.IsTrue, qt.Commentf("%d of %d", refused, sent))
}

// poolIndex finds the VM where a pooled budget's tokens are.
func (f *fleet) poolIndex() int {
	for _, n := range f.nodes {
		if n.account.pool(f.local(n)) == nil {
			return n.index
		}
	}
	panic("no pool")
}
