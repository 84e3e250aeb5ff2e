package psresult

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"persimmonstep/internal/trial/psload"
	"persimmonstep/internal/trial/psscenario"
)

// InTarget counts the requests that were served within the target latency of their route. Numbers in target are fractions
// where a bound serves requests in part.
type InTarget struct {
	// Priorities are the counts by priority, the most urgent first.
	Priorities []PriorityResult `json:"priorities"`
	Sent       int              `json:"sent"`
	InTarget   float64          `json:"inTarget"`
	// SentWeight and Weight are the sums of the weights of all requests and of those in target.
	SentWeight float64 `json:"sentWeight"`
	Weight     float64 `json:"weight"`
}

// PriorityResult counts the requests of one priority.
type PriorityResult struct {
	Priority int     `json:"priority"`
	Sent     int     `json:"sent"`
	InTarget float64 `json:"inTarget"`
}

// Add counts a request.
func (t *InTarget) Add(priority int, weight float64, inTarget bool) {
	one := InTarget{Priorities: []PriorityResult{{Priority: priority, Sent: 1}}, Sent: 1, SentWeight: weight}
	if inTarget {
		one.Priorities[0].InTarget, one.InTarget, one.Weight = 1, 1, weight
	}
	t.Merge(one)
}

// Merge adds the counts of other requests.
func (t *InTarget) Merge(o InTarget) {
	t.Sent += o.Sent
	t.InTarget += o.InTarget
	t.SentWeight += o.SentWeight
	t.Weight += o.Weight
	for _, v := range o.Priorities {
		i, found := slices.BinarySearchFunc(t.Priorities, v.Priority, func(p PriorityResult, n int) int { return cmp.Compare(p.Priority, n) })
		if !found {
			t.Priorities = slices.Insert(t.Priorities, i, PriorityResult{Priority: v.Priority})
		}
		t.Priorities[i].Sent += v.Sent
		t.Priorities[i].InTarget += v.InTarget
	}
}

// countInTarget counts the requests that arrived when the load had settled.
func countInTarget(pools []psscenario.Pool, settle time.Duration, observations []psload.Observation) InTarget {
	var out InTarget
	for i := range observations {
		o := &observations[i]
		if o.At < settle || o.Stream.Marker != "" {
			continue
		}
		j := slices.IndexFunc(pools, func(p psscenario.Pool) bool { return p.Name == o.Stream.Route })
		if j >= 0 {
			out.Add(pools[j].Priority, pools[j].Weight(), o.Served() && o.Latency() <= pools[j].TargetLatency())
		}
	}
	return out
}

// Names of the rows that are computed instead of measured.
const (
	UpperBound = "upper bound"
	LowerBound = "clairvoyant"
)

// writeInTarget writes a line for each result, with the share of the bounds of the same scenario and firm that it reaches.
func writeInTarget(w io.Writer, results []*Result) {
	width := 0
	for _, r := range results {
		width = max(width, len(r.InTarget.Priorities))
	}
	_, _ = fmt.Fprint(w, "\nfirm\tscenario\tpolicy\tseed\tsent\tin target\tweighted\tof clairvoyant\tof upper bound")
	for i := range width {
		_, _ = fmt.Fprintf(w, "\tpriority rank %d", i)
	}
	_, _ = fmt.Fprintln(w)
	for _, r := range results {
		v := r.InTarget
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.0f (%.1f%%)\t%.0f (%.1f%%)\t%s\t%s", r.Firm, r.Scenario, r.Policy, r.Seed, v.Sent, v.InTarget,
			percent(v.InTarget, float64(v.Sent)), v.Weight, percent(v.Weight, v.SentWeight), r.shareOf(LowerBound, results), r.shareOf(UpperBound, results))
		for _, p := range v.Priorities {
			_, _ = fmt.Fprintf(w, "\t%.0f of %d (%.1f%%)", p.InTarget, p.Sent, percent(p.InTarget, float64(p.Sent)))
		}
		_, _ = fmt.Fprintln(w)
	}
}

func percent(part, whole float64) float64 { return 100 * part / max(1, whole) }

// shareOf returns the weight in target as a share of that of a bound.
func (r *Result) shareOf(bound string, results []*Result) string {
	for _, b := range results {
		if b.Policy == bound && b.Firm == r.Firm && b.Scenario == r.Scenario && b.Seed == r.Seed {
			return fmt.Sprintf("%.1f%%", percent(r.InTarget.Weight, b.InTarget.Weight))
		}
	}
	return "none"
}
