package psserver_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/pslimit"
)

func named(perSecond float64) pslimit.Limit {
	return pslimit.Limit{Named: true, PerSecond: perSecond}
}

// TestShareGrowsBackAfterLimit withdraws a limit. The load is raised for a while, so that the server is not hit by its
// whole share at once. A pause that lasts longer stays.
func TestShareGrowsBackAfterLimit(t *testing.T) {
	s := newServer(nil)
	s.RecordLimit(named(0), startTime, startTime)
	qt.Assert(t, s.View(startTime).Load, qt.Equals, 0.0)
	now := startTime.Add(time.Second)
	s.RecordLimit(pslimit.Limit{}, now, now)
	qt.Assert(t, s.View(now).Usable, qt.IsTrue)
	qt.Assert(t, s.View(now).Load, qt.Equals, 4.0)
	qt.Assert(t, s.View(now.Add(time.Second)).Load, qt.Equals, 2.0)
	qt.Assert(t, s.View(now.Add(2*time.Second)).Load, qt.Equals, 0.0)

	s.RecordPeerLimit(named(2), now.Add(3*time.Second))
	s.Pause(10*time.Second, now.Add(4*time.Second))
	s.RecordPeerLimit(pslimit.Limit{}, now.Add(5*time.Second))
	qt.Assert(t, s.View(now.Add(5*time.Second)).PauseRemaining, qt.Equals, 9*time.Second)
}
