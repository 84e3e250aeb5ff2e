package psmeasure_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psmeasure"
	"persimmonstep/internal/version/pstoml"
)

func TestScenariosAreSound(t *testing.T) {
	files, err := filepath.Glob("../../../scenarios/*.toml")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, f := range files {
		data, err := os.ReadFile(f)
		qt.Assert(t, err, qt.IsNil)
		s, err := psmeasure.Parse(f, data)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, s.Name+".toml", qt.Equals, filepath.Base(f))
	}
}

func TestParseReportsEveryFinding(t *testing.T) {
	_, err := psmeasure.Parse("x.toml", []byte(`
seed = 1
span = "2h"
[busy]
workspace = 8
[[faults]]
at = "2s"
until = "1s"
kind = "killVM"
target = 9
[[faults]]
kind = "rain"
`))
	qt.Assert(t, err, qt.IsNotNil)
	for _, text := range []string{"needs a name", "at most one minute", "no such workspace", "no such target", "ends before it begins", `"rain" is not a fault`} {
		qt.Check(t, err.Error(), qt.Contains, text)
	}
}

// TestBrokenPromiseIsCounted lets callers pass the rate limit by and sees the count rise. The
// smallest workspace sends some 450 requests, far above its rate even if they take many seconds.
func TestBrokenPromiseIsCounted(t *testing.T) {
	s := &psmeasure.Scenario{
		Name: "unlimited", Seed: 1, Load: 0.01,
		Span: pstoml.Duration{Duration: time.Second}, WarmUp: pstoml.Duration{Duration: time.Millisecond},
		Busy: &psmeasure.Busy{Workspace: 7, Factor: 40},
	}
	for _, p := range []psmeasure.Policy{psmeasure.Baseline(), psmeasure.Own()} {
		r, err := psmeasure.Run(t.Context(), psmeasure.Firms()[0], s, p, hclog.NewNullLogger())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, r.Broken.RateBeyondBound > 0, qt.Equals, p.Name == "direct", qt.Commentf("%s: %+v", p.Name, r.Broken))
	}
}
