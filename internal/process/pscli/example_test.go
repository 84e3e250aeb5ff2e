package pscli_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"persimmonstep/internal/process/pscli"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// exampleDocuments lists an example's files without the settings, which are no document.
func exampleDocuments(t *testing.T, firm string) []string {
	files, err := filepath.Glob("../../../examples/" + firm + "/*.toml")
	qt.Assert(t, err, qt.IsNil)
	return lo.Reject(files, func(f string, _ int) bool { return filepath.Base(f) == "settings.toml" })
}

func TestCheckAcceptsTheExamplesAtTheirSizes(t *testing.T) {
	tests := map[string]struct {
		vms, slots int
		pools      map[psdoc.Name]int
		bits       float64
	}{
		"egg-exchange": {9, 16*5 + 12*3 + 12*3, map[psdoc.Name]int{"prices": 16, "orders": 12, "inspections": 12}, 4e9},
		"cart-maker":   {8, 16*4 + 12*3 + 12*3, map[psdoc.Name]int{"catalogue": 16, "ordering": 12, "workshop": 12}, 280e6},
	}
	for firm, tt := range tests {
		t.Run(firm, func(t *testing.T) {
			files := exampleDocuments(t, firm)
			code, out := runAlone(append([]string{"check"}, files...)...)
			qt.Assert(t, code, qt.Equals, pscli.ExitDone, qt.Commentf("%s", out))
			p := compile(t, files)
			qt.Assert(t, p.Regions, qt.HasLen, 3)
			qt.Assert(t, p.Domains, qt.HasLen, 6)
			qt.Assert(t, p.VMs, qt.HasLen, tt.vms)
			qt.Assert(t, p.Workspaces, qt.HasLen, 8)
			qt.Assert(t, lo.SumBy(p.Servers, func(s *psplan.Server) int { return s.Slots }), qt.Equals, tt.slots)
			for pool, n := range tt.pools {
				qt.Assert(t, p.Pool(pool), qt.HasLen, n)
			}
			qt.Assert(t, p.Links, qt.HasLen, 3)
			for _, l := range p.Links {
				qt.Assert(t, l.BitsPerSecond, qt.Equals, tt.bits)
			}
			for _, s := range p.Servers {
				open := lo.SumBy(p.VMs, func(v *psplan.VM) int { return psplan.ConnectionsOf(p, s, v.Domain) })
				qt.Assert(t, open <= s.Connections, qt.IsTrue, qt.Commentf("%s: %d connections", s.Name, open))
			}
		})
	}
}

func compile(t *testing.T, files []string) *psplan.Plan {
	var documents []*psdoc.Document
	for _, f := range files {
		data, err := os.ReadFile(f)
		qt.Assert(t, err, qt.IsNil)
		d, findings := psdoc.Parse(f, data)
		qt.Assert(t, findings, qt.HasLen, 0)
		documents = append(documents, d)
	}
	p, findings := psplan.Compile(1, documents)
	qt.Assert(t, findings, qt.HasLen, 0)
	return p
}
