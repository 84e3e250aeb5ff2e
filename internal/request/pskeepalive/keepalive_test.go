package pskeepalive_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/request/pskeepalive"
)

func TestStatedTimeoutBoundsReuse(t *testing.T) {
	now := time.Unix(1000, 0)
	var h pskeepalive.History
	qt.Assert(t, h.MaxIdle(true, now), qt.Equals, 6*time.Second)
	qt.Assert(t, h.MaxIdle(false, now), qt.Equals, time.Second)
	h.RecordStated(10 * time.Second)
	h.RecordStated(0)
	qt.Assert(t, h.MaxIdle(true, now), qt.Equals, 9*time.Second)
	qt.Assert(t, h.MaxIdle(false, now), qt.Equals, 7*time.Second)
	h.RecordStated(time.Second)
	qt.Assert(t, h.MaxIdle(false, now), qt.Equals, time.Millisecond)
}

// reuse replays requests to servers that close idle connections after a time that differs from the stated 10 s, and that lose
// a fraction of all requests. It returns how many requests used a connection again and how many were lost on a closed one.
func reuse(closesAfter time.Duration, failing float64) (reused, closed int) {
	var h pskeepalive.History
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	for range 400 {
		h.RecordStated(10 * time.Second)
		now = now.Add(200 * time.Millisecond)
		idle := time.Duration(random.ExpFloat64() * float64(4*time.Second))
		lost := random.Float64() < failing
		switch {
		case idle > h.MaxIdle(false, now):
			h.Record(0, lost, now)
		case idle > closesAfter:
			closed++
			h.Record(idle, true, now)
		default:
			reused++
			h.Record(idle, lost, now)
		}
	}
	return reused, closed
}

// TestServersThatForgetConnectionsLoseFewRequests covers servers that close idle connections long before they state: after two
// lost requests connections are reused only after shorter idle times.
func TestServersThatForgetConnectionsLoseFewRequests(t *testing.T) {
	reused, closed := reuse(10*time.Second, 0)
	qt.Check(t, closed, qt.Equals, 0)
	qt.Check(t, reused > 300, qt.IsTrue, qt.Commentf("%d of 400 used again", reused))
	// 400 requests in 80 s, in which the losses are forgotten twice.
	_, closed = reuse(300*time.Millisecond, 0)
	qt.Check(t, closed <= 12, qt.IsTrue, qt.Commentf("%d of 400 lost", closed))
}

// TestFailingServersDoNotEndReuse covers servers that lose a part of all requests: new connections wouldn't help.
func TestFailingServersDoNotEndReuse(t *testing.T) {
	for _, failing := range []float64{0.03, 0.2} {
		reused, _ := reuse(10*time.Second, failing)
		qt.Check(t, reused > 300, qt.IsTrue, qt.Commentf("%d of 400 used again", reused))
	}
}
