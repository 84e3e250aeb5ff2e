package psestimate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/request/psestimate"
)

// TestRetriesAreRecognizedByTheirRemainingTime replays callers whose timeouts differ by a seventh, and
// then a load at which many of them retry.
func TestRetriesAreRecognizedByTheirRemainingTime(t *testing.T) {
	var l psestimate.RetryDetector
	random := rand.New(rand.NewPCG(1, 1))
	timeout := func() time.Duration { return time.Duration(1700+random.IntN(300)) * time.Millisecond }
	qt.Assert(t, l.Classify("boards", 900*time.Millisecond, false), qt.Equals, psestimate.Caller{})
	for range 400 {
		l.Classify("boards", timeout(), true)
	}
	for range 400 {
		c := l.Classify("boards", timeout(), false)
		qt.Assert(t, c.PriorWait, qt.Equals, time.Duration(0))
		qt.Assert(t, c.DetectableWait > 250*time.Millisecond && c.DetectableWait < 400*time.Millisecond, qt.IsTrue, qt.Commentf("%s", c.DetectableWait))
		waited := l.Classify("boards", timeout()-c.DetectableWait-50*time.Millisecond, false).PriorWait
		qt.Assert(t, waited > 150*time.Millisecond && waited < 600*time.Millisecond, qt.IsTrue, qt.Commentf("%s", waited))
	}
	// Another route has a timeout range of its own.
	qt.Assert(t, l.Classify("orders", time.Second, true), qt.Equals, psestimate.Caller{})
}

// TestShortTimeoutsAreNotTakenForRetries mixes callers whose timeouts differ widely.
func TestShortTimeoutsAreNotTakenForRetries(t *testing.T) {
	var l psestimate.RetryDetector
	for range 200 {
		l.Classify("boards", 30*time.Second, true)
		qt.Assert(t, l.Classify("boards", time.Second, true).PriorWait, qt.Equals, time.Duration(0))
	}
}
