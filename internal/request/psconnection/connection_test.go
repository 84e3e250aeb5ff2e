package psconnection_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/request/psconnection"
)

// TestIdleConnectionsAreClosedBeforeSlowOnes replays a crowd that holds all connections in different ways: the order in
// which they are closed, and that requests which run and callers that read are never cut off.
func TestIdleConnectionsAreClosedBeforeSlowOnes(t *testing.T) {
	list := []psconnection.Connection{
		{psconnection.Running, time.Hour},
		{psconnection.Blocked, 2 * time.Second},
		{psconnection.SendingHead, time.Second},
		{psconnection.Idle, time.Second},
		{psconnection.Blocked, 10 * time.Millisecond},
		{psconnection.Idle, 5 * time.Second},
		{psconnection.SendingHead, 2 * time.Second},
		{psconnection.Lingering, 0},
	}
	qt.Check(t, psconnection.ToClose(list, 10), qt.DeepEquals, []int{7, 5, 3, 6, 2, 1})
	qt.Check(t, psconnection.ToClose(list, 2), qt.DeepEquals, []int{7, 5})
	qt.Check(t, psconnection.ToClose(list[:1], 2), qt.HasLen, 0)
}

// TestPipelineKeepsOrder replays random requests and responses on a connection: responses are written in the order of the
// requests without a gap, a request that runs alone has nothing beside it, and nothing is written after a response that closes or
// behind a request that is given up.
func TestPipelineKeepsOrder(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 0))
		var p psconnection.Pipeline
		var begun, answered []int
		alone, givenUp := map[int]bool{}, false
		for range 200 {
			overlaps := random.IntN(4) > 0
			switch {
			case random.IntN(2) == 0 && p.MayBegin(overlaps):
				qt.Assert(t, len(begun) > 0 && (alone[begun[len(begun)-1]] || !overlaps), qt.IsFalse)
				id := p.Begin(overlaps)
				begun, alone[id] = append(begun, id), !overlaps
			case len(begun) > 0 && random.IntN(10) == 0:
				// A request behind is given up, as when its turn will never come.
				i := random.IntN(len(begun))
				qt.Assert(t, p.End(begun[i]), qt.Equals, 0)
				qt.Assert(t, p.MayRead(), qt.IsFalse)
				begun = slices.Delete(begun, i, len(begun))
				if i == 0 {
					givenUp = true
				}
			case len(begun) > 0 && !givenUp:
				qt.Assert(t, p.IsTurn(begun[0]), qt.IsTrue)
				whenLast := random.IntN(5) == 0
				closing := p.Closing()
				closes := p.BeginResponse(random.IntN(40) == 0, whenLast)
				qt.Assert(t, closing && !closes, qt.IsFalse)
				qt.Assert(t, whenLast && len(begun) == 1 && !closes, qt.IsFalse)
				answered = append(answered, begun[0])
				next := p.End(begun[0])
				begun = begun[1:]
				qt.Assert(t, next != 0, qt.Equals, len(begun) > 0 && !closes)
				if closes {
					qt.Assert(t, p.MayRead(), qt.IsFalse)
					begun = nil
				}
			}
			qt.Assert(t, len(begun) <= psconnection.MaxInProgress, qt.IsTrue)
		}
		for i, id := range answered {
			qt.Assert(t, id, qt.Equals, i+1, qt.Commentf("seed %d: %v", seed, answered))
		}
	}
}
