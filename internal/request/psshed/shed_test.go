package psshed_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/request/psshed"
)

const millisecond = time.Millisecond

// demand returns a demand of 40% urgent requests and 60% less urgent ones, of which half occupy a slot for longer.
func demand() psshed.Demand {
	var d psshed.Demands
	now := time.Unix(1000, 0)
	for n := range 1000 {
		o := psshed.Observation{Priority: 2, Slot: 50 * millisecond, Run: 60 * millisecond, Target: 200 * millisecond, Rejected: n%4 == 0}
		switch {
		case n%10 < 4:
			o.Priority, o.Rejected = 0, false
		case n%2 == 0:
			o.Slot = 400 * millisecond
		}
		d.Observe("prices", o, now)
	}
	return d.Of("prices", now)
}

// TestPositionsFollowUrgencyAndSlotTime admits the first half of the order, as when half of the demand can be served. All urgent
// requests must be admitted but for the part without an order, and among the others those that need slots for longer must
// yield first. Each class must get at least a quarter of what all get.
func TestPositionsFollowUrgencyAndSlotTime(t *testing.T) {
	d := demand()
	admitted := func(priority int, slot time.Duration) float64 {
		n := 0
		for i := range 1000 {
			if d.Order(psshed.Request{Priority: priority, Slot: slot, Random: float64(i) / 1000}).Position < 0.5 {
				n++
			}
		}
		return float64(n) / 1000
	}
	urgent, short, long := admitted(0, 50*millisecond), admitted(2, 50*millisecond), admitted(2, 400*millisecond)
	t.Logf("admitted: urgent %.2f, less urgent and short %.2f, less urgent and long %.2f", urgent, short, long)
	qt.Check(t, urgent > 0.8, qt.IsTrue)
	qt.Check(t, short < urgent && long < short, qt.IsTrue)
	qt.Check(t, long >= 0.5/4, qt.IsTrue)
	all := 0.4*urgent + 0.3*short + 0.3*long
	qt.Check(t, math.Abs(all-0.5) < 0.02, qt.IsTrue, qt.Commentf("%.3f of all are admitted", all))
}

// TestOnePriorityHasNoClasses guards against an order by classes where a service has one priority only.
func TestOnePriorityHasNoClasses(t *testing.T) {
	var d psshed.Demands
	now := time.Unix(1000, 0)
	qt.Assert(t, d.Of("prices", now), qt.HasLen, 0)
	for range 100 {
		d.Observe("prices", psshed.Observation{Priority: 3, Slot: 50 * millisecond, Run: 50 * millisecond, Target: 200 * millisecond}, now)
	}
	for i := range 100 {
		o := d.Of("prices", now).Order(psshed.Request{Priority: 3, Slot: 50 * millisecond, Random: float64(i) / 100})
		qt.Assert(t, o.MoreUrgent, qt.HasLen, 0)
		qt.Assert(t, math.Abs(o.Position-o.Random) < 1e-9, qt.IsTrue)
	}
}

// TestDemandIsForgotten guards against classes that yield to requests that are no longer sent.
func TestDemandIsForgotten(t *testing.T) {
	var d psshed.Demands
	now := time.Unix(1000, 0)
	for range 1000 {
		d.Observe("prices", psshed.Observation{Priority: 0, Slot: millisecond}, now)
	}
	now = now.Add(15 * time.Second)
	for range 100 {
		d.Observe("prices", psshed.Observation{Priority: 1, Slot: millisecond}, now)
	}
	qt.Assert(t, d.Of("prices", now).Order(psshed.Request{Priority: 1, Random: 0.9}).MoreUrgent, qt.HasLen, 0)
}
