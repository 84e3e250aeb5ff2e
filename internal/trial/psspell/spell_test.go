package psspell_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/trial/psspell"
)

// TestWorkSpansSpells guards against runs that take the speed of their start for all of their time: bound and stand-in
// would then differ in the capacity of a slow machine.
func TestWorkSpansSpells(t *testing.T) {
	const ms = time.Millisecond
	s := psspell.Spells{Factor: 2.5, Changes: []time.Duration{100 * ms, 200 * ms}}
	for _, v := range []struct{ start, work, end time.Duration }{
		{0, 50 * ms, 50 * ms},
		{100 * ms, 40 * ms, 200 * ms},
		{80 * ms, 40 * ms, 150 * ms},
		{150 * ms, 100 * ms, 280 * ms},
		{-30 * ms, 40 * ms, 10 * ms},
		{300 * ms, 10 * ms, 310 * ms},
	} {
		qt.Check(t, s.Finish(v.start, v.work), qt.Equals, v.end)
		qt.Check(t, s.Work(v.start, v.end), qt.Equals, v.work)
	}
	qt.Check(t, s.FactorAt(99*ms), qt.Equals, 1.0)
	qt.Check(t, s.FactorAt(100*ms), qt.Equals, 2.5)
	drawn := psspell.Draw(1, 3, 2.5, 90*ms, 510*ms, 1000*time.Second)
	// 15% of the time at 2.5 times the run time leave 0.91 of the work.
	part := drawn.Work(0, 1000*time.Second).Seconds() / 1000
	qt.Check(t, part > 0.9 && part < 0.92, qt.IsTrue, qt.Commentf("%f", part))
}
