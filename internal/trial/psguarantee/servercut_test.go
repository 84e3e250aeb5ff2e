package psguarantee_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/trial/psguarantee"
	"persimmonstep/internal/trial/psload"
)

// firstAttempts returns observations of first attempts at a VM in one second, of which some were served.
func firstAttempts(vm string, second time.Duration, all, served int) []psload.Observation {
	var out []psload.Observation
	for i := range all {
		out = append(out, psload.Observation{
			First: vm, FirstServed: i < served, Sent: second * time.Second, Arrival: psload.Arrival{Stream: &psload.Stream{}},
		})
	}
	return out
}

func TestCutVMsMustServe(t *testing.T) {
	cut := psguarantee.ServerCut{VMs: []string{"vm-1", "vm-3", "vm-4"}, From: time.Second, Until: 9 * time.Second}
	restarts := map[string][]time.Duration{
		"vm-3": {4 * time.Second, 4500 * time.Millisecond}, "vm-4": {time.Second, 5 * time.Second},
	}
	for name, v := range map[string]struct {
		cut, others []psload.Observation
		want        int
	}{
		"none served":             {firstAttempts("vm-1", 5, 100, 0), firstAttempts("vm-2", 5, 100, 100), 100},
		"half served":             {firstAttempts("vm-1", 5, 100, 50), firstAttempts("vm-2", 5, 100, 100), 50},
		"two thirds served":       {firstAttempts("vm-1", 5, 90, 60), firstAttempts("vm-2", 5, 100, 100), 0},
		"as many as at others":    {firstAttempts("vm-1", 5, 100, 30), firstAttempts("vm-2", 5, 100, 40), 0},
		"few":                     {firstAttempts("vm-1", 5, 10, 0), firstAttempts("vm-2", 5, 100, 100), 0},
		"soon after the begin":    {firstAttempts("vm-1", 3, 100, 0), firstAttempts("vm-2", 3, 100, 100), 0},
		"after the end":           {firstAttempts("vm-1", 9, 100, 0), firstAttempts("vm-2", 9, 100, 100), 0},
		"killed before":           {firstAttempts("vm-3", 5, 100, 0), firstAttempts("vm-2", 5, 100, 100), 0},
		"stopped long before":     {firstAttempts("vm-4", 5, 100, 0), firstAttempts("vm-2", 5, 100, 100), 0},
		"started long before":     {firstAttempts("vm-4", 8, 100, 0), firstAttempts("vm-2", 8, 100, 100), 100},
		"callers left for others": {nil, firstAttempts("vm-2", 5, 100, 100), 0},
	} {
		h := psguarantee.History{Observations: append(v.cut, v.others...), ServerCuts: []psguarantee.ServerCut{cut}, Restarts: restarts}
		qt.Check(t, psguarantee.Check(h).CutVMsUnserved, qt.Equals, v.want, qt.Commentf("%s", name))
	}
}
