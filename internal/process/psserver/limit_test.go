package psserver_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psserver"
)

func named(perSecond float64) psserver.Limit {
	return psserver.Limit{Named: true, PerSecond: perSecond}
}

func ExampleLimit_Stricter() {
	fmt.Println(named(5).Stricter(named(3)), named(5).Stricter(psserver.Limit{}), psserver.Limit{}.Stricter(named(0)))
	// Output: 3 5 0
}

// TestLimitIsNotRaisedByEarlierResponse replays responses that arrive in another order than the server created them.
func TestLimitIsNotRaisedByEarlierResponse(t *testing.T) {
	s := newServer(nil)
	at := func(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }
	for _, v := range []struct {
		limit      psserver.Limit
		sent, came int
		want       psserver.Limit
	}{
		{named(5), 0, 10, named(5)},
		// These may have been created before the limit was named.
		{psserver.Limit{}, 5, 11, named(5)},
		{named(8), 9, 12, named(5)},
		{named(3), 8, 20, named(3)},
		{named(8), 21, 30, named(8)},
		{named(3), 29, 40, named(3)},
		{psserver.Limit{}, 39, 41, named(3)},
		{psserver.Limit{}, 40, 50, psserver.Limit{}},
		{named(6), 45, 60, named(6)},
	} {
		s.RecordLimit(v.limit, at(v.sent), at(v.came))
		qt.Check(t, s.View(at(v.came)).Limit, qt.Equals, v.want, qt.Commentf("%d ms", v.came))
	}
}

func TestLimitAgeIsThatOfLatestConfirmation(t *testing.T) {
	s := newServer(nil)
	s.RecordLimit(named(5), startTime, startTime)
	s.RecordLimit(named(5), startTime, startTime.Add(time.Second))
	qt.Assert(t, s.View(startTime.Add(1200*time.Millisecond)).LimitAge, qt.Equals, 200*time.Millisecond)
}

// TestShareGrowsBackAfterLimit withdraws a limit. The load is raised for a while, so that the server is not hit by its
// whole share at once. A pause that lasts longer stays.
func TestShareGrowsBackAfterLimit(t *testing.T) {
	s := newServer(nil)
	s.RecordLimit(named(0), startTime, startTime)
	qt.Assert(t, s.View(startTime).Load, qt.Equals, 0.0)
	now := startTime.Add(time.Second)
	s.RecordLimit(psserver.Limit{}, now, now)
	qt.Assert(t, s.View(now).Usable, qt.IsTrue)
	qt.Assert(t, s.View(now).Load, qt.Equals, 4.0)
	qt.Assert(t, s.View(now.Add(time.Second)).Load, qt.Equals, 2.0)
	qt.Assert(t, s.View(now.Add(2*time.Second)).Load, qt.Equals, 0.0)

	s.RecordPeerLimit(named(2), now.Add(3*time.Second))
	s.Pause(10*time.Second, now.Add(4*time.Second))
	s.RecordPeerLimit(psserver.Limit{}, now.Add(5*time.Second))
	qt.Assert(t, s.View(now.Add(5*time.Second)).PauseRemaining, qt.Equals, 9*time.Second)
}
