package psbound

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/trial/psspell"
)

// TestRunsInSlotDontOverlap guards against schedules that use a slot twice at a time, which would make the lower bound
// too high. Runs are inserted out of order, on a machine with slow spells.
func TestRunsInSlotDontOverlap(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	spells := psspell.Draw(1, 1, 2.5, 90*time.Millisecond, 510*time.Millisecond, 10*time.Second)
	v := &timeline{server: &Server{Slots: 3, Spells: spells}, slots: make([][]run, 3)}
	inserted := 0
	for range 500 {
		ready := time.Duration(random.IntN(8000)) * time.Millisecond
		work := time.Duration(20+random.IntN(100)) * time.Millisecond
		if at, found := v.earliest(ready, ready+300*time.Millisecond, work); found {
			qt.Assert(t, at.start >= ready && at.end <= ready+300*time.Millisecond, qt.IsTrue)
			qt.Assert(t, spells.Finish(at.start, work), qt.Equals, at.end)
			at.occupy()
			inserted++
		}
	}
	count := 0
	for _, runs := range v.slots {
		for i := 1; i < len(runs); i++ {
			qt.Assert(t, runs[i-1].end <= runs[i].start, qt.IsTrue, qt.Commentf("%v %v", runs[i-1], runs[i]))
		}
		count += len(runs)
	}
	qt.Check(t, count, qt.Equals, inserted)
	qt.Check(t, inserted > 250, qt.IsTrue, qt.Commentf("%d", inserted))
}
