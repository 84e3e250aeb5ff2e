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

// reuse replays requests to a server that closes idle connections after a time that differs from the stated 10 s, and returns
// how many used a connection again and how many were lost on a closed one.
func reuse(closesAfter time.Duration) (reused, lost int) {
	var h pskeepalive.History
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	for range 200 {
		h.RecordStated(10 * time.Second)
		idle := time.Duration(random.ExpFloat64() * float64(4*time.Second))
		now = now.Add(idle)
		switch {
		case idle > h.MaxIdle(false, now):
		case idle > closesAfter:
			lost++
			h.RecordClosed(idle, now)
		default:
			reused++
		}
	}
	return reused, lost
}

// TestServersThatForgetConnectionsLoseFewRequests covers servers that close idle connections long before they state: after a
// lost request the connections are used again only after shorter idle times.
func TestServersThatForgetConnectionsLoseFewRequests(t *testing.T) {
	reused, lost := reuse(10 * time.Second)
	qt.Check(t, lost, qt.Equals, 0)
	qt.Check(t, reused > 150, qt.IsTrue, qt.Commentf("%d of 200 used again", reused))
	// 200 requests in 800 s: at most two for each time in which the loss is remembered.
	_, lost = reuse(300 * time.Millisecond)
	qt.Check(t, lost <= 2*800/30, qt.IsTrue, qt.Commentf("%d of 200 lost", lost))
}
