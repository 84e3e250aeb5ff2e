package psbudget

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// flow sends a steady rate of requests to one VM and returns how many were refused.
func (f *fleet) flow(n *node, rate float64, span time.Duration) (sent, refused int) {
	const step = 5 * time.Millisecond
	due := 0.0
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(step) {
		f.settle()
		for _, v := range f.nodes {
			f.fence(v)
			if !v.paused {
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
			n.account.demand.arrive(1, f.local(n))
			if !n.account.spend(1, f.local(n)) {
				refused++
			}
		}
	}
	return sent, refused
}

func even(vms int, whole Amount) version {
	v := version{whole: whole}
	for range vms {
		v.shares = append(v.shares, 1/float64(vms))
	}
	return v
}

func TestSteadyFlowAtOneVM(t *testing.T) {
	for _, whole := range []Amount{{20, 10}, {1000, 500}} {
		c := qt.New(t)
		f := newFleet(9, func() float64 { return 1 }, even(9, whole))
		f.flow(f.nodes[0], 0, 2*time.Second)
		sent, refused := f.flow(f.nodes[3], 0.9*whole.Rate, 20*time.Second)
		c.Assert(float64(refused) < 0.001*float64(sent), qt.IsTrue, qt.Commentf("%d of %d", refused, sent))
	}
}
