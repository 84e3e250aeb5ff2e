package psexperiment_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/trial/psexperiment"
	"persimmonstep/internal/trial/psscenario"
	"persimmonstep/internal/version/pstoml"
)

// TestCallersOfVMsWithoutServersAreUnserved guards against VMs that lose their links to all backend servers and then
// reject all callers, although other VMs could serve them.
func TestCallersOfVMsWithoutServersAreUnserved(t *testing.T) {
	for _, cut := range []psscenario.CutKind{psscenario.CutHang, psscenario.CutReset, psscenario.CutRefuse} {
		s := &psscenario.Scenario{
			Name: "cut-from-servers", Seed: 1, Load: 0.4,
			Span: pstoml.Duration{Duration: 8 * time.Second}, WarmUp: pstoml.Duration{Duration: time.Second},
			Faults: []psscenario.Fault{{
				Kind: psscenario.FaultCutFromServers, Target: 0, Count: 4, Cut: cut,
				At: pstoml.Duration{Duration: time.Second}, Until: pstoml.Duration{Duration: 7 * time.Second},
			}},
		}
		r, err := psexperiment.Run(t.Context(), psscenario.Firms()[0], s, psexperiment.System(), hclog.NewNullLogger())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, r.Broken.Total(), qt.Equals, 0, qt.Commentf("cut %q: %+v", cut, r.Broken))
	}
}

// TestCutVMsRefuseWithinRateWhileOthersRestart guards against 429 for callers within their rate at VMs without links to
// servers, whose callers come back to them when other VMs of their region are gone.
func TestCutVMsRefuseWithinRateWhileOthersRestart(t *testing.T) {
	s := &psscenario.Scenario{
		Name: "cut-under-faults", Seed: 35, Load: 0.6,
		Span: pstoml.Duration{Duration: 9 * time.Second}, WarmUp: pstoml.Duration{Duration: 3 * time.Second},
		Faults: []psscenario.Fault{
			{Kind: psscenario.FaultCutFromServers, Target: 0, Count: 3, At: pstoml.Duration{Duration: time.Second}, Until: pstoml.Duration{Duration: 8 * time.Second}},
			{Kind: psscenario.FaultStopVM, Target: 4, At: pstoml.Duration{Duration: 3 * time.Second}, Until: pstoml.Duration{Duration: 6 * time.Second}},
			{Kind: psscenario.FaultKillVM, Target: 6, At: pstoml.Duration{Duration: 4 * time.Second}, Until: pstoml.Duration{Duration: 7 * time.Second}},
			{Kind: psscenario.FaultStopVM, Target: 1, At: pstoml.Duration{Duration: 5 * time.Second}, Until: pstoml.Duration{Duration: 7 * time.Second}},
		},
	}
	r, err := psexperiment.Run(t.Context(), psscenario.Firms()[0], s, psexperiment.System(), hclog.NewNullLogger())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, r.Broken.Total(), qt.Equals, 0, qt.Commentf("%+v", r.Broken))
}
