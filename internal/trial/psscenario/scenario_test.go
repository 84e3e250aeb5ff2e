package psscenario_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/trial/psload"
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

// TestSiteHasItsServersAndCallers guards against installations whose regions are as large as each other, and objects that
// callers of several regions request.
func TestSiteHasItsServersAndCallers(t *testing.T) {
	for file, servers := range map[string][]int{"uneven-four-services": {20, 19, 5}, "uneven-two-services": {14, 13, 3}} {
		path := filepath.Join("../../../scenarios", file+".toml")
		data, err := os.ReadFile(path)
		qt.Assert(t, err, qt.IsNil)
		s, err := psscenario.Parse(path, data)
		qt.Assert(t, err, qt.IsNil)
		f := s.Firms()[0]
		byRegion := make(map[string]int)
		for _, v := range f.Topology(s).Servers {
			byRegion[v.Domain.Region]++
		}
		qt.Check(t, []int{byRegion["north"], byRegion["middle"], byRegion["south"]}, qt.DeepEquals, servers)
		regions := make(map[[2]any]string)
		for _, a := range psload.Draw(s.Seed, f.Streams(s), psscenario.DomainCount, s.Span.Duration) {
			if a.Stream.Objects == 0 {
				continue
			}
			object, region := [2]any{a.Stream.Route, a.Object}, f.Region(a.Domain)
			qt.Assert(t, regions[object] == "" || regions[object] == region, qt.IsTrue)
			regions[object] = region
		}
	}
}

func TestParseReportsEveryFindingOfSite(t *testing.T) {
	_, err := psscenario.Parse("x.toml", []byte(`
name = "x"
[busy]
workspace = 0
[site]
vms = 5
regions = ["a", "b"]
workspaces = [1.0, 0.0]
pipelined = 2.0
[site.wave]
amplitude = 0.5
[[site.pools]]
name = "quotes"
service = "lists"
kind = "sometimes"
[[surges]]
route = "boards"
workspace = 2
at = "2s"
until = "1s"
`))
	qt.Assert(t, err, qt.IsNotNil)
	for _, text := range []string{
		"the site needs a name", "each failure domain needs a VM", "a site has 3 regions", "each with a positive part", "between 0 and 1", "the wave needs a period",
		"no such pool before", `unknown kind "sometimes"`, "the rate must be greater", "the service time must be greater", "the target must be greater", "a pool with servers",
		"no such route", "no such workspace", "the surge ends", "the factor must be greater", "in place of a busy workspace",
	} {
		qt.Check(t, err.Error(), qt.Contains, text)
	}
}
