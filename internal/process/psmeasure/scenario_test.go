package psmeasure_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psload"
	"persimmonstep/internal/process/psmeasure"
	"persimmonstep/internal/request/psgate"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
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
		qt.Check(t, string(s.Name)+".toml", qt.Equals, filepath.Base(f))
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

// unlimited admits everything.
type unlimited struct{}

func (unlimited) Spend(context.Context, *psplan.Plan, *psplan.Workspace) error { return nil }

// TestBrokenPromiseIsCounted turns the rate limit off and sees the count rise. The smallest
// workspace sends some 450 requests, far above its rate even if they take many seconds.
func TestBrokenPromiseIsCounted(t *testing.T) {
	s := &psmeasure.Scenario{
		Name: "unlimited", Seed: 1, Load: 0.01,
		Span: psdoc.Duration{Duration: time.Second}, WarmUp: psdoc.Duration{Duration: time.Millisecond},
		Busy: &psmeasure.Busy{Workspace: 7, Factor: 40},
	}
	off := psmeasure.Policy{Name: "off", Choice: psload.TakeRandom{}, Adjust: func(g *psgate.Gate) { g.Limiter = unlimited{} }}
	for _, p := range []psmeasure.Policy{off, psmeasure.Own()} {
		r, err := psmeasure.Run(t.Context(), psmeasure.Firms()[0], s, p, hclog.NewNullLogger())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, r.Broken.RateBeyondBound > 0, qt.Equals, p.Name == "off", qt.Commentf("%s: %+v", p.Name, r.Broken))
	}
}
