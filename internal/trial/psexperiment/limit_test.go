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

// TestVMsTogetherExceedLimitOfServer guards against sending a server more requests than the limit that it names for
// all VMs together. Four servers name limits far below their share of the load.
func TestVMsTogetherExceedLimitOfServer(t *testing.T) {
	s := &psscenario.Scenario{
		Name: "limited", Seed: 1, Load: 0.4,
		Span: pstoml.Duration{Duration: 9 * time.Second}, WarmUp: pstoml.Duration{Duration: time.Second},
		Faults: []psscenario.Fault{
			{Kind: psscenario.FaultLimit, Target: 0, Count: 3, Limits: []float64{4}},
			{Kind: psscenario.FaultLimit, Target: 3, Limits: []float64{0.3}},
		},
	}
	for _, p := range []psexperiment.Policy{psexperiment.Baseline(), psexperiment.System()} {
		r, err := psexperiment.Run(t.Context(), psscenario.Firms()[0], s, p, hclog.NewNullLogger())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, r.Broken.LimitExceeded > 0, qt.Equals, p.Name == "direct", qt.Commentf("%s: %+v", p.Name, r.Broken))
	}
}
