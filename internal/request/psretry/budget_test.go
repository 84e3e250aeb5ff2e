package psretry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"persimmonstep/internal/request/psretry"
)

// TestRetriesStayWithinBound guards against retry storms. It replays servers that reject every request
// under a varying load, at several VMs with equal shares of the slack.
func TestRetriesStayWithinBound(t *testing.T) {
	const (
		ratio, slack = 0.2, 58.0
		window       = 10 * time.Second
		step         = 100 * time.Millisecond
	)
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 9).Draw(t, "vms")
		loads := rapid.SliceOfN(rapid.IntRange(0, 20), 300, 300).Draw(t, "loads")
		budgets := make([]psretry.Budgets, vms)
		bound := psretry.Bound{Ratio: ratio, Window: window, Slack: slack / float64(vms)}
		now := time.Unix(1000, 0)
		var requests, retries []float64
		for _, n := range loads {
			now = now.Add(step)
			received, retried := 0, 0
			for i := range budgets {
				for range n {
					budgets[i].AddRequest("prices", window, now)
					received++
					if budgets[i].Take("prices", bound, now) {
						retried++
					}
				}
			}
			requests = append(requests, float64(received))
			retries = append(retries, float64(retried))
		}
		size := int(window / step)
		for end := size; end <= len(loads); end++ {
			var q, r float64
			for i := end - size; i < end; i++ {
				q += requests[i]
				r += retries[i]
			}
			before := 0.0
			for i := max(0, end-2*size); i < end-size; i++ {
				before += requests[i]
			}
			if most := ratio*max(q, before) + slack; r > most {
				t.Fatalf("%.0f retries in a window, %.0f allowed", r, most)
			}
		}
	})
}

func TestRetryBudgetIsPerService(t *testing.T) {
	var b psretry.Budgets
	now := time.Unix(1000, 0)
	bound := psretry.Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: 2}
	qt.Assert(t, b.Take("prices", bound, now), qt.IsTrue)
	qt.Assert(t, b.Take("prices", bound, now), qt.IsFalse)
	qt.Assert(t, b.Take("ledger", bound, now), qt.IsTrue)
	qt.Assert(t, b.Take("prices", bound, now.Add(11*time.Second)), qt.IsTrue)
}
