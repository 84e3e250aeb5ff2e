package psoutlier_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/request/psoutlier"
)

func TestFindReportsSlowServers(t *testing.T) {
	for name, v := range map[string]struct {
		lags []float64
		want []bool
	}{
		"no servers":                 {nil, nil},
		"none is suspect":            {[]float64{0, 1, 1.2, 0.3}, nil},
		"one is slow":                {[]float64{0, 1, 2.5, 0.3}, []bool{false, false, true, false}},
		"many at once are busy":      {[]float64{2, 3, 2.5, 0.3}, nil},
		"two of sixteen are slow":    {[]float64{2, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, []bool{true, true, 15: false}},
		"three of sixteen are busy":  {[]float64{2, 3, 4, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, nil},
		"too few servers to compare": {[]float64{9, 0}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, psoutlier.Find(v.lags), qt.DeepEquals, v.want)
		})
	}
}
