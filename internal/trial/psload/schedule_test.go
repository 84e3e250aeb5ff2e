package psload_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/trial/psload"
)

func TestDrawFollowsSeedAndRate(t *testing.T) {
	c := qt.New(t)
	streams := []psload.Stream{{Rate: 1000}, {Rate: 500, From: time.Second, To: 2 * time.Second}}
	a := psload.Draw(1, streams, 4, 10*time.Second)
	b := psload.Draw(1, streams, 4, 10*time.Second)
	c.Assert(len(a), qt.Equals, len(b))
	counts := make(map[*psload.Stream]float64)
	for i, v := range a {
		c.Assert(v.At, qt.Equals, b[i].At)
		c.Assert(v.Sequence, qt.Equals, i)
		c.Assert(i == 0 || v.At >= a[i-1].At, qt.IsTrue)
		counts[v.Stream]++
	}
	// The bounds are five standard deviations of a Poisson count.
	c.Check(counts[&streams[0]] > 9500 && counts[&streams[0]] < 10500, qt.IsTrue)
	c.Check(counts[&streams[1]] > 388 && counts[&streams[1]] < 612, qt.IsTrue)
	c.Assert(psload.Draw(2, streams, 4, 10*time.Second)[0].At, qt.Not(qt.Equals), a[0].At)
}
