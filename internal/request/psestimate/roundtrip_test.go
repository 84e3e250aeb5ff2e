package psestimate_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/request/psestimate"
)

func TestRoundTripsFollowTheShortestTimes(t *testing.T) {
	var v psestimate.RoundTrips
	_, found := v.All()["north-a"]
	qt.Assert(t, found, qt.IsFalse)
	for _, took := range []time.Duration{80 * time.Millisecond, 70 * time.Millisecond, 300 * time.Millisecond} {
		v.Observe("north-a", took)
	}
	d := v.All()["north-a"]
	qt.Assert(t, d >= 70*time.Millisecond && d < 76*time.Millisecond, qt.IsTrue, qt.Commentf("%s", d))
	// The estimate follows a path that stays longer.
	for range 200 {
		v.Observe("north-a", 120*time.Millisecond)
	}
	d = v.All()["north-a"]
	qt.Assert(t, d > 115*time.Millisecond, qt.IsTrue, qt.Commentf("%s", d))
	qt.Assert(t, v.All(), qt.HasLen, 1)
}
