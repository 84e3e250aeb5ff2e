package psexperiment_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psexperiment"
	"persimmonstep/internal/process/psscenario"
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
