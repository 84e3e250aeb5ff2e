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
