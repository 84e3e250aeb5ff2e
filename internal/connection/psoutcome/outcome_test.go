package psoutcome_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/connection/psattempt"
	"persimmonstep/internal/connection/psoutcome"
	"persimmonstep/internal/connection/psresponse"
	"persimmonstep/internal/connection/psselection"
	"persimmonstep/internal/process/pslink"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/request/psblocklist"
	"persimmonstep/internal/request/psestimate"
	"persimmonstep/internal/request/psplacement"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/platform/psheader"
)

// TestRunsOnSlowMachineKeepEstimates guards against estimates that rise because runs were measured while machines were slow,
// and against a server that counts as slower than others because of its spells.
func TestRunsOnSlowMachineKeepEstimates(t *testing.T) {
	const run, slowRun = 60 * time.Millisecond, 130 * time.Millisecond
	route := &psconfig.Route{Name: "boards", TargetLatency: 200 * time.Millisecond}
	for _, stated := range []bool{true, false} {
		now := time.Unix(1000, 0)
		var estimates psestimate.Estimates
		r := psoutcome.Recorder{
			Links: pslink.New(nil, hclog.NewNullLogger(), time.Now), Estimates: &estimates, RoundTrips: &psestimate.RoundTrips{}, Blocklist: &psblocklist.List{}, Now: time.Now,
		}
		server := psserver.New(psserver.Entry{ID: "i-1", Service: "prices", Slots: 4}, "north", now)
		for n := range 400 {
			load, took := &psheader.Load{Slots: 4, WorkFactor: 1}, run
			if n%7 == 0 {
				load.WorkFactor, took = 2.5, slowRun
			}
			if !stated {
				load.WorkFactor = 0
			}
			start := now
			now = now.Add(took)
			r.Record(psoutcome.Attempt{
				Selection: psselection.Selection{Server: server, Choice: psplacement.Choice{NominalLatency: run}},
				Outcome: psattempt.Outcome{
					Result: psattempt.Answered, Response: &psresponse.Response{Status: 200, Metadata: psheader.Response{Load: load}},
				},
				Route: route, Start: start,
			}, now)
			now = now.Add(time.Second)
		}
		mean := estimates.Runs("boards", route.TargetLatency).Cached
		slowness := server.View(now).Slowness
		t.Logf("stated %t: estimated run %s, slowness %.2f", stated, mean, slowness)
		qt.Check(t, mean > run*9/10 && mean < run*11/10, qt.Equals, stated)
	}
}
