package psload_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/trial/psload"
	"persimmonstep/internal/version/psconfig"
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

// TestRateFollowsWavesAndSurges guards against scenarios whose waves, bursts and regions of objects the load doesn't have.
func TestRateFollowsWavesAndSurges(t *testing.T) {
	streams := []psload.Stream{{
		Rate: 1000, Domains: []int{2, 3}, Objects: 10, FirstObject: 50, Kind: psconfig.Idempotent, Pipelined: 0.5,
		Wave:   psload.Wave{Amplitude: 0.5, Period: 8 * time.Second, Phase: 0.25},
		Surges: []psload.Surge{{From: 8 * time.Second, To: 9 * time.Second, Factor: 2}},
	}}
	var perSecond [10]float64
	pipelined := 0
	for _, a := range psload.Draw(1, streams, 6, 10*time.Second) {
		perSecond[int(a.At.Seconds())]++
		qt.Assert(t, a.Domain == 2 || a.Domain == 3, qt.IsTrue)
		qt.Assert(t, a.Object >= 50 && a.Object < 60, qt.IsTrue)
		if a.Pipelined {
			pipelined++
		}
	}
	// The wave begins at its top and is lowest after four seconds. The bounds are five standard deviations.
	for second, want := range map[int]float64{0: 1450, 3: 550, 4: 550, 8: 2900} {
		qt.Check(t, math.Abs(perSecond[second]-want) < 5*math.Sqrt(want), qt.IsTrue, qt.Commentf("%d: %f", second, perSecond[second]))
	}
	qt.Check(t, pipelined > 5000 && pipelined < 6500, qt.IsTrue, qt.Commentf("%d", pipelined))
}
