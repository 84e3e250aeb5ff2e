package psscenario_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/trial/psscenario"
)

func TestScenarioFilesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../scenarios/*.toml")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, f := range files {
		data, err := os.ReadFile(f)
		qt.Assert(t, err, qt.IsNil)
		s, err := psscenario.Parse(f, data)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, s.Name+".toml", qt.Equals, filepath.Base(f))
	}
}

func TestParseReportsEveryFinding(t *testing.T) {
	_, err := psscenario.Parse("x.toml", []byte(`
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
[[faults]]
kind = "limit"
target = 39
count = 2
limits = [-1.0]
[[faults]]
kind = "drain"
limits = [3.0]
`))
	qt.Assert(t, err, qt.IsNotNil)
	for _, text := range []string{"needs a name", "at most one minute", "no such workspace", "no such target", "ends before it begins", `unknown fault kind "rain"`, "there are fewer targets", "must not be negative", "no other fault has any"} {
		qt.Check(t, err.Error(), qt.Contains, text)
	}
}
