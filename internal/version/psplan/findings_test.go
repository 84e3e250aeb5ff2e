package psplan_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
	"persimmonstep/internal/version/pstoml"
)

// updateVariable names the environment variable that has the golden files written anew.
const updateVariable = "PERSIMMONSTEP_UPDATE_GOLDEN"

// TestFindings compares the findings of the documents in each folder of testdata with its
// golden file.
func TestFindings(t *testing.T) {
	folders, err := filepath.Glob("testdata/*")
	qt.Assert(t, err, qt.IsNil)
	for _, f := range folders {
		if _, err := os.Stat(filepath.Join(f, "a.toml")); err != nil {
			continue
		}
		t.Run(filepath.Base(f), func(t *testing.T) {
			got := findings(t, f).Error() + "\n"
			golden := filepath.Join(f, "findings.golden")
			if os.Getenv(updateVariable) != "" {
				qt.Assert(t, os.WriteFile(golden, []byte(got), 0o600), qt.IsNil)
			}
			want, err := os.ReadFile(golden)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.Equals, string(want))
		})
	}
}

func findings(t *testing.T, folder string) pstoml.Findings {
	files, err := filepath.Glob(filepath.Join(folder, "*.toml"))
	qt.Assert(t, err, qt.IsNil)
	var out pstoml.Findings
	var documents []*psdoc.Document
	for _, f := range files {
		data, err := os.ReadFile(f)
		qt.Assert(t, err, qt.IsNil)
		d, faults := psdoc.Parse(strings.TrimPrefix(f, folder+"/"), data)
		out = append(out, faults...)
		if d != nil {
			documents = append(documents, d)
		}
	}
	_, faults := psplan.Compile(1, documents)
	out = append(out, faults...)
	out.Sort()
	return out
}
