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
	calm := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	timeout := func() time.Duration { return time.Duration(1700+random.IntN(300)) * time.Millisecond }
	before := calm.Add(-time.Hour)
	l.NoteRejection(before, time.Second)
	qt.Assert(t, l.Classify("boards", 900*time.Millisecond, before), qt.Equals, psestimate.Caller{})
	for range 400 {
		l.Classify("boards", timeout(), calm)
	}
	busy := calm.Add(time.Second)
	l.NoteRejection(busy, time.Minute)
	for range 400 {
		c := l.Classify("boards", timeout(), busy)
		qt.Assert(t, c.PriorWait, qt.Equals, time.Duration(0))
		qt.Assert(t, c.DetectableWait > 250*time.Millisecond && c.DetectableWait < 400*time.Millisecond, qt.IsTrue, qt.Commentf("%s", c.DetectableWait))
		waited := l.Classify("boards", timeout()-c.DetectableWait-50*time.Millisecond, busy).PriorWait
		qt.Assert(t, waited > 150*time.Millisecond && waited < 600*time.Millisecond, qt.IsTrue, qt.Commentf("%s", waited))
	}
	// Another route has a timeout range of its own.
	qt.Assert(t, l.Classify("orders", time.Second, calm), qt.Equals, psestimate.Caller{})
}

// TestShortTimeoutsAreNotTakenForRetries mixes callers whose timeouts differ widely.
func TestShortTimeoutsAreNotTakenForRetries(t *testing.T) {
	var l psestimate.RetryDetector
	now := time.Unix(1000, 0)
	for range 200 {
		l.Classify("boards", 30*time.Second, now)
		qt.Assert(t, l.Classify("boards", time.Second, now).PriorWait, qt.Equals, time.Duration(0))
	}
}

// TestRejectionWithoutRetryAfterIsNoRetry checks that only callers that were told to retry are expected to: a short
// timeout is learnt as that of a first attempt otherwise.
func TestRejectionWithoutRetryAfterIsNoRetry(t *testing.T) {
	for _, retryAfter := range []time.Duration{0, time.Minute} {
		var l psestimate.RetryDetector
		now := time.Unix(1000, 0)
		for range 100 {
			l.Classify("boards", time.Second, now)
		}
		l.NoteRejection(now, retryAfter)
		retry := l.Classify("boards", 500*time.Millisecond, now.Add(time.Second)).PriorWait > 0
		qt.Assert(t, retry, qt.Equals, retryAfter > 0)
	}
}
