package psserver_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestShareGrowsBackAfterPause requests two pauses. The later end counts, and the load is raised for a while
// afterwards, so that the server is not hit by its whole share at once.
func TestShareGrowsBackAfterPause(t *testing.T) {
	s := newServer(nil)
	qt.Assert(t, s.Pause(3*time.Second, startTime), qt.Equals, 3*time.Second)
	qt.Assert(t, s.Pause(time.Second, startTime.Add(time.Second)), qt.Equals, time.Second)
	qt.Assert(t, s.Usable(startTime.Add(2900*time.Millisecond)), qt.IsFalse)
	qt.Assert(t, s.View(startTime.Add(2900*time.Millisecond)).PauseRemaining, qt.Equals, 100*time.Millisecond)
	back := s.View(startTime.Add(3 * time.Second))
	qt.Assert(t, back.Usable, qt.IsTrue)
	qt.Assert(t, back.Load, qt.Equals, 4.0)
	qt.Assert(t, s.View(startTime.Add(4*time.Second)).Load, qt.Equals, 2.0)
	qt.Assert(t, s.View(startTime.Add(6*time.Second)).Load, qt.Equals, 0.0)
}

func TestPauseIsBounded(t *testing.T) {
	s := newServer(nil)
	qt.Assert(t, s.Pause(1e9*time.Second, startTime), qt.Equals, 5*time.Minute)
	qt.Assert(t, s.Usable(startTime.Add(5*time.Minute)), qt.IsTrue)
}

func TestLeavingServerStaysUnusable(t *testing.T) {
	s := newServer(nil)
	qt.Assert(t, s.MarkLeaving(), qt.IsTrue)
	qt.Assert(t, s.MarkLeaving(), qt.IsFalse)
	s.Renew(s.Entry(), startTime)
	qt.Assert(t, s.ProbeSucceeded(0, startTime), qt.IsFalse)
	qt.Assert(t, s.Usable(startTime.Add(time.Hour)), qt.IsFalse)
	qt.Assert(t, s.Leaving(), qt.IsTrue)
}
