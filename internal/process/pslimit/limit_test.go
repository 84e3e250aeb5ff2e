package pslimit_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/pslimit"
)

var startTime = time.Unix(1000, 0)

func named(perSecond float64) pslimit.Limit {
	return pslimit.Limit{Named: true, PerSecond: perSecond}
}

func ExampleLimit_Stricter() {
	fmt.Println(named(5).Stricter(named(3)), named(5).Stricter(pslimit.Limit{}), pslimit.Limit{}.Stricter(named(0)))
	// Output: 3 5 0
}

// TestLimitIsNotRaisedByEarlierResponse replays responses that arrive in another order than the server created them.
func TestLimitIsNotRaisedByEarlierResponse(t *testing.T) {
	var s pslimit.Statement
	at := func(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }
	for _, v := range []struct {
		limit      pslimit.Limit
		sent, came int
		want       pslimit.Limit
	}{
		{named(5), 0, 10, named(5)},
		// These may have been created before the limit was named.
		{pslimit.Limit{}, 5, 11, named(5)},
		{named(8), 9, 12, named(5)},
		{named(3), 8, 20, named(3)},
		{named(8), 21, 30, named(8)},
		{named(3), 29, 40, named(3)},
		{pslimit.Limit{}, 39, 41, named(3)},
		{pslimit.Limit{}, 40, 50, pslimit.Limit{}},
		{named(6), 45, 60, named(6)},
	} {
		s.RecordResponse(v.limit, at(v.sent), at(v.came))
		limit, _ := s.Limit(at(v.came))
		qt.Check(t, limit, qt.Equals, v.want, qt.Commentf("%d ms", v.came))
	}
}

func TestLimitAgeIsThatOfLatestConfirmation(t *testing.T) {
	var s pslimit.Statement
	s.RecordResponse(named(5), startTime, startTime)
	s.RecordResponse(named(5), startTime, startTime.Add(time.Second))
	_, age := s.Limit(startTime.Add(1200 * time.Millisecond))
	qt.Assert(t, age, qt.Equals, 200*time.Millisecond)
}

// TestLaterKnowledgeOfPeersCounts merges what other VMs know, in any order.
func TestLaterKnowledgeOfPeersCounts(t *testing.T) {
	var s pslimit.Statement
	at := func(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }
	s.RecordResponse(named(5), at(0), at(100))
	for _, v := range []struct {
		limit pslimit.Limit
		at    int
		want  pslimit.Limit
	}{
		{named(2), 90, named(5)},
		{named(8), 110, named(8)},
		{pslimit.Limit{}, 105, named(8)},
		{pslimit.Limit{}, 120, pslimit.Limit{}},
		{named(5), 115, pslimit.Limit{}},
		{named(6), 130, named(6)},
	} {
		s.RecordPeer(v.limit, at(v.at))
		limit, _ := s.Limit(at(200))
		qt.Check(t, limit, qt.Equals, v.want, qt.Commentf("%d ms", v.at))
	}
	// A request that was sent before the other VM learnt the limit can't withdraw it.
	s.RecordResponse(pslimit.Limit{}, at(125), at(140))
	limit, _ := s.Limit(at(200))
	qt.Check(t, limit, qt.Equals, named(6))
}
