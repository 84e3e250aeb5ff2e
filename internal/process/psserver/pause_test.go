package psserver_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestShareGrowsBackAfterPause requests two pauses. The later end counts, and the load is raised for a while
// afterwards, so that the server is not hit by its whole share at once.
func TestAServerThatWantsNoRequestsGetsItsShareBackInSteps(t *testing.T) {
	s := server(nil)
	qt.Assert(t, s.Quiet(3*time.Second, begun), qt.Equals, 3*time.Second)
	qt.Assert(t, s.Quiet(time.Second, begun.Add(time.Second)), qt.Equals, time.Second)
	qt.Assert(t, s.Usable(begun.Add(2900*time.Millisecond)), qt.IsFalse)
	qt.Assert(t, s.View(begun.Add(2900*time.Millisecond)).Quiet, qt.Equals, 100*time.Millisecond)
	back := s.View(begun.Add(3 * time.Second))
	qt.Assert(t, back.Usable, qt.IsTrue)
	qt.Assert(t, back.Load, qt.Equals, 4.0)
	qt.Assert(t, s.View(begun.Add(4*time.Second)).Load, qt.Equals, 2.0)
	qt.Assert(t, s.View(begun.Add(6*time.Second)).Load, qt.Equals, 0.0)
}

func TestAQuietTimeIsBounded(t *testing.T) {
	s := server(nil)
	qt.Assert(t, s.Quiet(1e9*time.Second, begun), qt.Equals, 5*time.Minute)
	qt.Assert(t, s.Usable(begun.Add(5*time.Minute)), qt.IsTrue)
}

func TestALeavingServerStaysOut(t *testing.T) {
	s := server(nil)
	qt.Assert(t, s.Leave(), qt.IsTrue)
	qt.Assert(t, s.Leave(), qt.IsFalse)
	s.Renew(s.Entry(), begun)
	qt.Assert(t, s.Found(0, begun), qt.IsFalse)
	qt.Assert(t, s.Usable(begun.Add(time.Hour)), qt.IsFalse)
	qt.Assert(t, s.Leaves(), qt.IsTrue)
}
