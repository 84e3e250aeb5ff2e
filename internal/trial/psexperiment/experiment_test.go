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

// TestRateViolationIsCounted checks that an experiment counts violations of a rate limit when callers bypass
// the system. The smallest workspace sends about 450 requests, far above its rate even if they take many seconds.
func TestRateViolationIsCounted(t *testing.T) {
	s := &psscenario.Scenario{
		Name: "unlimited", Seed: 1, Load: 0.01,
		Span: pstoml.Duration{Duration: time.Second}, WarmUp: pstoml.Duration{Duration: time.Millisecond},
		Busy: &psscenario.Busy{Workspace: 7, Factor: 40},
	}
	for _, p := range []psexperiment.Policy{psexperiment.Baseline(), psexperiment.System()} {
		r, err := psexperiment.Run(t.Context(), psscenario.Firms()[0], s, p, hclog.NewNullLogger())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, r.Broken.RateBeyondBound > 0, qt.Equals, p.Name == "direct", qt.Commentf("%s: %+v", p.Name, r.Broken))
	}
}
