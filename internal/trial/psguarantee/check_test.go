package psguarantee_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/trial/psguarantee"
	"persimmonstep/internal/trial/psload"
	"persimmonstep/internal/version/psconfig"
)

func stream(kind psconfig.Kind) *psload.Stream {
	return &psload.Stream{Workspace: "w", Route: "r", Kind: kind}
}

// served returns a request that was served in its caller's region.
func served(n int, at time.Duration) psload.Observation {
	return psload.Observation{
		Arrival: psload.Arrival{Sequence: n, At: at, Stream: stream(psconfig.AtMostOnce)},
		Sent:    at, Done: at + 10*time.Millisecond, IDs: []string{fmt.Sprint("k", n)}, Status: 200, Server: "s",
	}
}

// history returns the history of a run without violations.
func history() psguarantee.History {
	h := psguarantee.History{
		Workspaces:  []psguarantee.Workspace{{Name: "w", Rate: 10, Burst: 5}},
		HomeRegions: []string{"north"},
		Servers:     []psguarantee.Server{{ID: "s", Region: "north", Runs: make(map[string]int)}, {ID: "t", Region: "south", Runs: make(map[string]int)}},
	}
	for i := range 100 {
		o := served(i, time.Duration(i)*100*time.Millisecond)
		h.Observations = append(h.Observations, o)
		h.Servers[0].Runs[o.IDs[0]] = 1
	}
	return h
}

func TestCheckCountsEachViolation(t *testing.T) {
	tests := []struct {
		name     string
		violate  func(*psguarantee.History)
		expected psguarantee.Violations
	}{
		{"no violation", func(*psguarantee.History) {}, psguarantee.Violations{}},
		{"rate limit", func(h *psguarantee.History) {
			for i := range 8 {
				o := served(1000+i, time.Second)
				h.Observations = append(h.Observations, o)
				h.Servers[0].Runs[o.IDs[0]] = 1
			}
		}, psguarantee.Violations{RateBeyondBound: 3}},
		{"rate limit within the tolerance", func(h *psguarantee.History) {
			h.Workspaces[0].Slack = 3
			for i := range 8 {
				o := served(1000+i, time.Second)
				h.Observations = append(h.Observations, o)
				h.Servers[0].Runs[o.IDs[0]] = 1
			}
		}, psguarantee.Violations{}},
		{"repeated run", func(h *psguarantee.History) { h.Servers[1].Runs["k7"] = 1 }, psguarantee.Violations{RepeatedRuns: 1}},
		{"runs of two attempts", func(h *psguarantee.History) {
			h.Observations[7].IDs = []string{"k7", "k7-again"}
			h.Servers[1].Runs["k7-again"] = 1
		}, psguarantee.Violations{RepeatedRuns: 1}},
		{"runs of an idempotent request", func(h *psguarantee.History) {
			h.Servers[1].Runs["k7"] = 1
			h.Observations[7].Stream = stream(psconfig.Idempotent)
		}, psguarantee.Violations{}},
		{"run after a rejection as not run", func(h *psguarantee.History) {
			h.Observations[3].Status, h.Observations[3].NotRun = 503, true
		}, psguarantee.Violations{FalseNotRun: 1}},
		{"mismatched response", func(h *psguarantee.History) { h.Observations[3].Mismatched = true }, psguarantee.Violations{ForeignAnswers: 1}},
		{"exposed key", func(h *psguarantee.History) { h.Observations[3].KeyExposed = true }, psguarantee.Violations{KeysSeen: 1}},
		{"revoked key", func(h *psguarantee.History) {
			h.Revocations = []psguarantee.Revocation{{Workspace: "w", At: 4850 * time.Millisecond}}
		}, psguarantee.Violations{WithdrawnKeys: 1}},
		{"run after a drain", func(h *psguarantee.History) {
			h.Servers[0].DrainedAt, h.Servers[0].LastRun = time.Second, 7*time.Second
		}, psguarantee.Violations{LateWork: 1}},
		{"abort by a graceful shutdown", func(h *psguarantee.History) {
			h.Stopped = []string{"vm-1"}
			h.Observations[3].AbortedBy = []string{"vm-1"}
			h.Observations[4].AbortedBy = []string{"vm-2"}
		}, psguarantee.Violations{CutByStop: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := history()
			tt.violate(&h)
			qt.Assert(t, psguarantee.Check(h), qt.Equals, tt.expected)
		})
	}
}
