package psestimate_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/request/psestimate"
)

const target = 200 * time.Millisecond

// TestCachedAndUncachedRunsAreEstimated replays runs of which one in three misses the cache.
func TestRunsOfBothKindsAreLearned(t *testing.T) {
	var e psestimate.Estimates
	qt.Assert(t, e.Mean("prices", time.Second), qt.Equals, time.Second)
	for n := range 600 {
		took := 40 * time.Millisecond
		if n%3 == 0 {
			took = 300 * time.Millisecond
		}
		e.Observe(psestimate.Observed{Route: "boards", Service: "prices", Target: target, Took: took})
	}
	r := e.Runs("boards", target)
	near := func(d, want time.Duration) bool { return d > want*9/10 && d < want*11/10 }
	qt.Assert(t, near(r.Held, 40*time.Millisecond), qt.IsTrue, qt.Commentf("%s", r.Held))
	qt.Assert(t, near(r.Missing, 300*time.Millisecond), qt.IsTrue, qt.Commentf("%s", r.Missing))
	qt.Assert(t, r.Warm(60*time.Millisecond), qt.IsTrue)
	qt.Assert(t, r.Warm(250*time.Millisecond), qt.IsFalse)
	qt.Assert(t, e.Mean("prices", 0) > 60*time.Millisecond, qt.IsTrue)
}

func TestOneVerySlowAnswerMovesLittle(t *testing.T) {
	var e psestimate.Estimates
	before := e.Runs("boards", target).Missing
	e.Observe(psestimate.Observed{Route: "boards", Service: "prices", Target: target, Took: time.Hour})
	qt.Assert(t, e.Runs("boards", target).Missing < 2*before, qt.IsTrue)
}
