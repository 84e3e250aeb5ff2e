package psrepeat_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"persimmonstep/internal/request/psrepeat"
)

// TestRepeatsKeepTheBound replays servers that turn away whatever comes while the load moves,
// at several VMs with the same part of the slack.
func TestRepeatsKeepTheBound(t *testing.T) {
	const (
		ratio, slack = 0.2, 58.0
		window       = 10 * time.Second
		step         = 100 * time.Millisecond
	)
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 9).Draw(t, "vms")
		loads := rapid.SliceOfN(rapid.IntRange(0, 20), 300, 300).Draw(t, "loads")
		budgets := make([]psrepeat.Budgets, vms)
		bound := psrepeat.Bound{Ratio: ratio, Window: window, Slack: slack / float64(vms)}
		now := time.Unix(1000, 0)
		var requests, repeats []float64
		for _, n := range loads {
			now = now.Add(step)
			asked, again := 0, 0
			for i := range budgets {
				for range n {
					budgets[i].Request("prices", window, now)
					asked++
					if budgets[i].Take("prices", bound, now) {
						again++
					}
				}
			}
			requests = append(requests, float64(asked))
			repeats = append(repeats, float64(again))
		}
		size := int(window / step)
		for end := size; end <= len(loads); end++ {
			var q, r float64
			for i := end - size; i < end; i++ {
				q += requests[i]
				r += repeats[i]
			}
			before := 0.0
			for i := max(0, end-2*size); i < end-size; i++ {
				before += requests[i]
			}
			if most := ratio*max(q, before) + slack; r > most {
				t.Fatalf("%.0f repeats in a window, %.0f allowed", r, most)
			}
		}
	})
}

func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	var b psrepeat.Budgets
	now := time.Unix(1000, 0)
	bound := psrepeat.Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: 2}
	qt.Assert(t, b.Take("prices", bound, now), qt.IsTrue)
	qt.Assert(t, b.Take("prices", bound, now), qt.IsFalse)
	qt.Assert(t, b.Take("ledger", bound, now), qt.IsTrue)
	qt.Assert(t, b.Take("prices", bound, now.Add(11*time.Second)), qt.IsTrue)
}
