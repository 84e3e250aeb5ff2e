package psestimate_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/request/psestimate"
)

const target = 200 * time.Millisecond

// TestCachedAndUncachedRunsAreEstimated replays runs of which one in three misses the cache.
func TestCachedAndUncachedRunsAreEstimated(t *testing.T) {
	var e psestimate.Estimates
	qt.Assert(t, e.MeanRun("prices", time.Second), qt.Equals, time.Second)
	for n := range 600 {
		took := 40 * time.Millisecond
		if n%3 == 0 {
			took = 300 * time.Millisecond
		}
		e.Observe(psestimate.Observation{Route: "boards", Service: "prices", Target: target, Run: took})
	}
	r := e.Runs("boards", target)
	near := func(d, want time.Duration) bool { return d > want*9/10 && d < want*11/10 }
	qt.Assert(t, near(r.Cached, 40*time.Millisecond), qt.IsTrue, qt.Commentf("%s", r.Cached))
	qt.Assert(t, near(r.Uncached, 300*time.Millisecond), qt.IsTrue, qt.Commentf("%s", r.Uncached))
	qt.Assert(t, r.Hit(60*time.Millisecond), qt.IsTrue)
	qt.Assert(t, r.Hit(250*time.Millisecond), qt.IsFalse)
	qt.Assert(t, e.MeanRun("prices", 0) > 60*time.Millisecond, qt.IsTrue)
}

func TestOneSlowResponseChangesEstimateLittle(t *testing.T) {
	var e psestimate.Estimates
	before := e.Runs("boards", target).Uncached
	e.Observe(psestimate.Observation{Route: "boards", Service: "prices", Target: target, Run: time.Hour})
	qt.Assert(t, e.Runs("boards", target).Uncached < 2*before, qt.IsTrue)
}
