package pspromise_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psload"
	"persimmonstep/internal/process/pspromise"
	"persimmonstep/internal/version/psdoc"
)

func stream(kind psdoc.RouteKind) *psload.Stream {
	return &psload.Stream{Workspace: "w", Route: "r", Kind: kind}
}

// served is a request that was served in its home region.
func served(n int, at time.Duration) psload.Observation {
	return psload.Observation{
		Arrival: psload.Arrival{Sequence: n, At: at, Stream: stream(psdoc.KindExclusive)},
		Sent:    at, Done: at + 10*time.Millisecond, Key: fmt.Sprint("k", n), Status: 200, Server: "s", Tries: 1,
	}
}

// evidence is a run in which everything held.
func evidence() pspromise.Evidence {
	e := pspromise.Evidence{
		Workspaces: []pspromise.Workspace{{Name: "w", Rate: 10, Burst: 5}},
		Fractions:  map[psdoc.Name]float64{"r": 0.5},
		Homes:      []psdoc.Name{"north"},
		Servers: []pspromise.Server{
			{Name: "s", Region: "north", Slots: 2, HighWater: 2, Runs: make(map[string]int)},
			{Name: "t", Region: "south", Slots: 2, Runs: make(map[string]int)},
		},
	}
	for i := range 100 {
		o := served(i, time.Duration(i)*100*time.Millisecond)
		e.Observations = append(e.Observations, o)
		e.Servers[0].Runs[o.Key] = 1
	}
	return e
}

func TestCheckCountsEachBrokenPromise(t *testing.T) {
	tests := []struct {
		name     string
		harm     func(*pspromise.Evidence)
		expected pspromise.Broken
	}{
		{"nothing", func(*pspromise.Evidence) {}, pspromise.Broken{}},
		{"shift", func(e *pspromise.Evidence) {
			for i := range 53 {
				e.Observations[i].Server = "t"
			}
		}, pspromise.Broken{ShiftBeyondCap: 3}},
		{"shift at the cap", func(e *pspromise.Evidence) {
			for i := range 50 {
				e.Observations[i].Server = "t"
			}
		}, pspromise.Broken{}},
		{"rate", func(e *pspromise.Evidence) {
			for i := range 8 {
				o := served(1000+i, time.Second)
				e.Observations = append(e.Observations, o)
				e.Servers[0].Runs[o.Key] = 1
			}
		}, pspromise.Broken{RateBeyondBound: 3}},
		{"slots", func(e *pspromise.Evidence) { e.Servers[0].HighWater = 3 }, pspromise.Broken{SlotsBeyondBound: 1}},
		{"runs", func(e *pspromise.Evidence) { e.Servers[1].Runs["k7"] = 1 }, pspromise.Broken{RepeatedRuns: 1}},
		{"runs of a lookup", func(e *pspromise.Evidence) {
			e.Servers[1].Runs["k7"] = 1
			e.Observations[7].Stream = stream(psdoc.KindLookup)
		}, pspromise.Broken{}},
		{"false not run", func(e *pspromise.Evidence) {
			e.Observations[3].Status, e.Observations[3].Ran = 503, "no"
		}, pspromise.Broken{FalseNotRun: 1}},
		{"foreign answer", func(e *pspromise.Evidence) { e.Observations[3].Foreign = true }, pspromise.Broken{ForeignAnswers: 1}},
		{"key seen", func(e *pspromise.Evidence) { e.Observations[3].KeySeen = true }, pspromise.Broken{KeysSeen: 1}},
		{"withdrawn key", func(e *pspromise.Evidence) {
			e.Withdrawals = []pspromise.Withdrawal{{Workspace: "w", At: 4850 * time.Millisecond}}
		}, pspromise.Broken{WithdrawnKeys: 1}},
		{"late work", func(e *pspromise.Evidence) {
			e.Servers[0].DrainedAt, e.Servers[0].LastRun = time.Second, 7*time.Second
		}, pspromise.Broken{LateWork: 1}},
		{"cut by a stop", func(e *pspromise.Evidence) {
			e.Stopped = []psdoc.Name{"vm-1"}
			e.Observations[3].Cuts = []psdoc.Name{"vm-1"}
			e.Observations[4].Cuts = []psdoc.Name{"vm-2"}
		}, pspromise.Broken{CutByStop: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := evidence()
			tt.harm(&e)
			qt.Assert(t, pspromise.Check(e), qt.Equals, tt.expected)
		})
	}
}
