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

// TestRequestsBeyondUsualAmountComeLastInTheirClass guards against requests of a busy workspace that are admitted before those of
// others in their class, or after those of a less urgent class, against one that starves, and against an order that changes the
// fraction admitted altogether.
func TestRequestsBeyondUsualAmountComeLastInTheirClass(t *testing.T) {
	var m psshed.Demands
	now := time.Unix(1000, 0)
	kinds := []psshed.Observation{
		{Priority: 0, Slot: 50 * millisecond},
		{Priority: 1, Slot: 400 * millisecond},
		{Priority: 1, Slot: 50 * millisecond, BeyondUsual: true},
		{Priority: 2, Slot: 50 * millisecond},
	}
	for n := range 1000 {
		m.Observe("prices", kinds[n%len(kinds)], now)
	}
	d := m.Of("prices", now)
	qt.Assert(t, d, qt.HasLen, 3)
	qt.Check(t, d[1].Beyond, qt.Equals, 0.5)
	qt.Check(t, d[0].Beyond, qt.Equals, 0.0)
	for _, limit := range []float64{0.25, 0.5, 0.75} {
		var admitted []float64
		sum := 0.0
		for _, k := range kinds {
			n := 0.0
			for i := range 1000 {
				r := psshed.Request{Priority: k.Priority, Slot: k.Slot, BeyondUsual: k.BeyondUsual, Random: float64(i) / 1000}
				if d.Order(r).Position < limit {
					n += 0.001
				}
			}
			admitted = append(admitted, n)
			sum += n / float64(len(kinds))
		}
		t.Logf("of the first %.2f: %.2f", limit, admitted)
		for i := range admitted[1:] {
			qt.Check(t, admitted[i] >= admitted[i+1]-0.01, qt.IsTrue)
		}
		qt.Check(t, admitted[1] > admitted[2]+0.5 || limit != 0.5, qt.IsTrue)
		qt.Check(t, admitted[3] >= limit/4, qt.IsTrue)
		qt.Check(t, math.Abs(sum-limit) < 0.02, qt.IsTrue)
	}
}

// TestDemandWithoutBusyWorkspaces guards against a demand without requests beyond a usual amount, as that of a state that an
// earlier release saved, which fails for the first such request.
func TestDemandWithoutBusyWorkspaces(t *testing.T) {
	d := psshed.Demand{{Fraction: 1, Shorter: make([]float64, 16)}}
	qt.Assert(t, d.Order(psshed.Request{Slot: time.Second, BeyondUsual: true, Random: 0.9}).Position, qt.Equals, 1.0)
}

// BenchmarkOrder measures what a request costs: its place in the demand, and the demand with it. With a busy workspace, a fifth
// of the requests is beyond its usual amount.
func BenchmarkOrder(b *testing.B) {
	for name, busy := range map[string]bool{"usual": false, "busy": true} {
		b.Run(name, func(b *testing.B) {
			var d psshed.Demands
			now := time.Unix(1000, 0)
			for i := 0; b.Loop(); i++ {
				now = now.Add(50 * time.Millisecond)
				beyond := busy && i%5 == 0
				d.Of("prices", now).Order(psshed.Request{Priority: i % 3, Slot: 60 * millisecond, BeyondUsual: beyond, Random: 0.7})
				d.Observe("prices", psshed.Observation{Priority: i % 3, Slot: 60 * millisecond, Run: 60 * millisecond, BeyondUsual: beyond}, now)
			}
		})
	}
}
