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
func TestCallersThatComeBackAreKnownByTheirLimit(t *testing.T) {
	var l psestimate.Limits
	random := rand.New(rand.NewPCG(1, 1))
	timeout := func() time.Duration { return time.Duration(1700+random.IntN(300)) * time.Millisecond }
	qt.Assert(t, l.Caller("boards", 900*time.Millisecond, false), qt.Equals, psestimate.Caller{})
	for range 400 {
		l.Caller("boards", timeout(), true)
	}
	for range 400 {
		c := l.Caller("boards", timeout(), false)
		qt.Assert(t, c.Waited, qt.Equals, time.Duration(0))
		qt.Assert(t, c.Apart > 250*time.Millisecond && c.Apart < 400*time.Millisecond, qt.IsTrue, qt.Commentf("%s", c.Apart))
		waited := l.Caller("boards", timeout()-c.Apart-50*time.Millisecond, false).Waited
		qt.Assert(t, waited > 150*time.Millisecond && waited < 600*time.Millisecond, qt.IsTrue, qt.Commentf("%s", waited))
	}
	// Another route has a timeout range of its own.
	qt.Assert(t, l.Caller("orders", time.Second, true), qt.Equals, psestimate.Caller{})
}

// TestShortTimeoutsAreNotTakenForRetries mixes callers whose timeouts differ widely.
func TestCallersOfAnotherKindDoNotLookAsIfTheyCameBack(t *testing.T) {
	var l psestimate.Limits
	for range 200 {
		l.Caller("boards", 30*time.Second, true)
		qt.Assert(t, l.Caller("boards", time.Second, true).Waited, qt.Equals, time.Duration(0))
	}
}
