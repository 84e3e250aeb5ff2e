package psshift_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"persimmonstep/internal/request/psshift"
	"persimmonstep/internal/version/psplan"
)

// purse admits shifts until it is empty.
type purse struct {
	left    int
	charged int64
}

func (p *purse) MayShift(*psplan.Route) bool { return p.left > 0 }

func (p *purse) TakeShift(*psplan.Route) bool {
	if p.left == 0 {
		return false
	}
	p.left--
	return true
}

func (p *purse) ChargeShift(_ *psplan.Route, bytes int64) { p.charged += bytes }

func TestFractionAtEveryPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		fraction := rapid.SampledFrom([]float64{0, 0.05, 0.1, 0.3, 0.7, 1}).Draw(t, "fraction")
		r := &psplan.Route{Name: "r", Shift: psplan.Shift{
			Fraction: fraction, GrowthPerMinute: rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "growth"),
		}}
		c := psshift.New(&purse{left: 1 << 30}, func() time.Time { return now })
		total, shifted := 0.0, 0.0
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 90_000).Draw(t, "ms")) * time.Millisecond)
			},
			"count": func(*rapid.T) { c.Count(r); total++ },
			"flow": func(t *rapid.T) {
				for range rapid.IntRange(1, 100).Draw(t, "requests") {
					now = now.Add(time.Millisecond)
					c.Count(r)
					total++
				}
			},
			"shift": func(t *rapid.T) {
				may := c.MayShift(r)
				if c.Spend(r) != may {
					t.Fatalf("MayShift says %v and Spend does not", may)
				}
				if may {
					shifted++
				}
			},
			"refund": func(*rapid.T) {
				if shifted > 0 {
					c.Refund(r)
					shifted--
				}
			},
			"": func(t *rapid.T) {
				if shifted > fraction*total {
					t.Fatalf("%v of %v requests are shifted with a cap of %v", shifted, total, fraction)
				}
			},
		})
	})
}

// flow sends requests that all want to be shifted and returns the part that was.
func flow(c *psshift.Caps, r *psplan.Route, now *time.Time, span time.Duration) float64 {
	total, shifted := 0.0, 0.0
	for end := now.Add(span); now.Before(end); *now = now.Add(10 * time.Millisecond) {
		c.Count(r)
		total++
		if c.Spend(r) {
			shifted++
		}
	}
	return shifted / total
}

func TestFractionIsReached(t *testing.T) {
	now := time.Unix(0, 0)
	r := &psplan.Route{Name: "r", Shift: psplan.Shift{Fraction: 0.3}}
	c := psshift.New(&purse{left: 1 << 30}, func() time.Time { return now })
	qt.Assert(t, flow(c, r, &now, time.Minute) > 0.29, qt.IsTrue)
}

func TestQuietTimeSavesLittle(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	r := &psplan.Route{Name: "r", Shift: psplan.Shift{Fraction: 0.5}}
	caps := psshift.New(&purse{left: 1 << 30}, func() time.Time { return now })
	for range 100_000 {
		now = now.Add(10 * time.Millisecond)
		caps.Count(r)
	}
	n := 0
	for caps.Spend(r) {
		n++
	}
	// Half of five seconds with 100 requests each.
	c.Assert(n <= 250, qt.IsTrue, qt.Commentf("%d", n))
	c.Assert(n > 200, qt.IsTrue, qt.Commentf("%d", n))
}

func TestGrowthPerMinute(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	r := &psplan.Route{Name: "r", Shift: psplan.Shift{Fraction: 0.5, GrowthPerMinute: 0.1}}
	caps := psshift.New(&purse{left: 1 << 30}, func() time.Time { return now })
	last := 0.0
	for minute := range 8 {
		part := flow(caps, r, &now, time.Minute)
		// A minute has 6000 requests; the edges of two minutes round by one each.
		c.Assert(part-last <= 0.1+2.0/6000, qt.IsTrue, qt.Commentf("minute %d: %.3f after %.3f", minute, part, last))
		last = part
	}
	c.Assert(last > 0.45, qt.IsTrue, qt.Commentf("%.3f", last))
	for range 30_000 {
		now = now.Add(10 * time.Millisecond)
		caps.Count(r)
	}
	c.Assert(flow(caps, r, &now, time.Minute) <= 0.1, qt.IsTrue)
}

func TestBudgetsBind(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	r := &psplan.Route{Name: "r", Shift: psplan.Shift{Fraction: 1, Rate: 1}}
	p := &purse{left: 2}
	caps := psshift.New(p, func() time.Time { return now })
	for range 100 {
		caps.Count(r)
		now = now.Add(10 * time.Millisecond)
	}
	c.Assert([]bool{caps.Spend(r), caps.Spend(r), caps.Spend(r), caps.MayShift(r)}, qt.DeepEquals, []bool{true, true, false, false})
	caps.Charge(r, 7)
	c.Assert(p.charged, qt.Equals, int64(7))
}
