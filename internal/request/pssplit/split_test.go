package pssplit_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/request/pssplit"
	"persimmonstep/internal/version/psconfig"
)

func route(weights ...float64) *psconfig.Route {
	r := &psconfig.Route{Name: "boards"}
	for i, w := range weights {
		r.Backends = append(r.Backends, psconfig.Backend{Service: string(rune('a' + i)), Weight: w})
	}
	return r
}

// TestSharesFollowWeights checks the shares of services after each of a route's requests from the 50th
// on, also right after the weights have changed.
func TestSharesFollowWeights(t *testing.T) {
	var s pssplit.Splitter
	for _, weights := range [][]float64{{90, 10}, {1, 1, 2}, {0, 1}, {50, 50}} {
		r, counts, sum := route(weights...), map[string]float64{}, 0.0
		for _, w := range weights {
			sum += w
		}
		for n := 1.0; n <= 1000; n++ {
			counts[s.Next(r)]++
			if n < 50 {
				continue
			}
			for _, b := range r.Backends {
				deviation := counts[b.Service]/n - b.Weight/sum
				qt.Assert(t, deviation < 0.02 && deviation > -0.02, qt.IsTrue, qt.Commentf("weights %v after %.0f requests: deviation %.3f", weights, n, deviation))
			}
		}
	}
}

func TestSingleServiceGetsAllRequests(t *testing.T) {
	var s pssplit.Splitter
	qt.Assert(t, s.Next(route(3)), qt.Equals, "a")
}
