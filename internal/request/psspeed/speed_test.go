package psspeed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/request/psspeed"
)

// spells returns the factor of a machine in each millisecond. It is 2.5 times slower in 15% of the time, in spells that
// begin every 600 ms on average.
func spells(n int) []float64 {
	random := rand.New(rand.NewPCG(1, 1))
	list := make([]float64, 0, n)
	for slow := false; len(list) < n; slow = !slow {
		factor, mean := 1.0, 510.0
		if slow {
			factor, mean = 2.5, 90
		}
		for range int(math.Round(random.ExpFloat64() * mean)) {
			list = append(list, factor)
		}
	}
	return list[:n]
}

// TestPredictionBeatsMean guards against a decay that doesn't fit the spells: predictions of the mean factor of a run must be
// closer than the long-run mean and than a statement without decay, at each age of the statement.
func TestPredictionBeatsMean(t *testing.T) {
	const millisecond = time.Millisecond
	factors := spells(1_000_000)
	start := time.Unix(0, 0)
	for _, age := range []int{0, 20, 80, 200, 3000} {
		for _, run := range []int{1, 72, 400} {
			var tracker psspeed.Tracker
			var predicted, mean, stated float64
			for i := 0; i+age+run < len(factors); i += 1009 {
				at := start.Add(time.Duration(i) * millisecond)
				tracker.Record(factors[i], at)
				s := tracker.At(at.Add(time.Duration(age) * millisecond))
				actual := 0.0
				for _, f := range factors[i+age : i+age+run] {
					actual += f / float64(run)
				}
				predicted += math.Pow(s.Average(0, time.Duration(run)*millisecond)-actual, 2)
				mean += math.Pow(1.225-actual, 2)
				stated += math.Pow(factors[i]-actual, 2)
			}
			t.Logf("age %d ms, run %d ms: squared error %.3f of that of the mean, %.3f of that of the statement", age, run, predicted/mean, predicted/stated)
			qt.Check(t, predicted <= 1.05*mean, qt.IsTrue, qt.Commentf("age %d ms, run %d ms", age, run))
			qt.Check(t, predicted <= stated*1.05+0.1, qt.IsTrue, qt.Commentf("age %d ms, run %d ms", age, run))
			if age <= 20 && run <= 72 {
				qt.Check(t, predicted < 0.75*mean, qt.IsTrue, qt.Commentf("age %d ms, run %d ms", age, run))
			}
		}
	}
}

// TestAverageOverPastAndFuture compares averages with the sum over their milliseconds, before and after the statement.
func TestAverageOverPastAndFuture(t *testing.T) {
	s := psspeed.Speed{Stated: 2.5, Age: 50 * time.Millisecond, Mean: 1.2}
	for _, v := range [][2]int{{-200, -100}, {-200, 0}, {-50, 100}, {0, 300}} {
		sum := 0.0
		for i := v[0]; i < v[1]; i++ {
			at := time.Duration(i)*time.Millisecond + time.Millisecond/2
			sum += s.Average(at, at)
		}
		average := s.Average(time.Duration(v[0])*time.Millisecond, time.Duration(v[1])*time.Millisecond)
		qt.Check(t, math.Abs(average-sum/float64(v[1]-v[0])) < 0.002, qt.IsTrue, qt.Commentf("%v", v))
	}
}

func TestUnknownSpeedIsUsual(t *testing.T) {
	var tracker psspeed.Tracker
	now := time.Unix(0, 0)
	for _, v := range []float64{0, -1, math.NaN()} {
		tracker.Record(v, now)
		qt.Assert(t, tracker.At(now).Average(0, time.Second), qt.Equals, 1.0)
	}
	tracker.Record(1e9, now)
	qt.Assert(t, tracker.At(now).Now(), qt.Equals, 20.0)
}
