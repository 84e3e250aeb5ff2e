package pscheck

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/trial/psmutation"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/pslint"
	"persimmonstep/platform/psdocument"
)

// mutations is the number of changed documents of [TestMutatedConfigurations].
const mutations = 2000

func samples(t testing.TB) (list [][]byte) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", "pscli", "testdata", "check", "*.json"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 4, qt.IsTrue)
	for _, name := range files {
		data, err := os.ReadFile(name)
		qt.Assert(t, err, qt.IsNil)
		list = append(list, data)
	}
	return list
}

// FuzzCheckConfiguration guards against a check that panics, and against one that disagrees with what VMs accept.
func FuzzCheckConfiguration(f *testing.F) {
	for _, data := range samples(f) {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) { compareWithVM(t, data, data) })
}

// TestMutatedConfigurations is the fuzz test with documents that mostly can be decoded.
func TestMutatedConfigurations(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	list := samples(t)
	accepted := 0
	for n := range mutations {
		if compareWithVM(t, psmutation.Mutate(random, list[n%len(list)]), list[(n/7)%len(list)]) {
			accepted++
		}
	}
	qt.Assert(t, accepted > mutations/40, qt.IsTrue, qt.Commentf("accepted %d", accepted))
}

// compareWithVM checks a document, alone and against another one in force, and reports whether a VM accepts it.
func compareWithVM(t *testing.T, data, other []byte) bool {
	t.Helper()
	fleet := pslint.Fleet{Regions: []string{"north"}, Servers: []pslint.Server{{Service: "prices", Region: "north"}}, VMs: 3, RoundTrip: 1}
	findings := checkConfiguration(data, &Installation{fleet: fleet})
	c, err := psdocument.DecodeConfiguration(data)
	accepted := err == nil && len(c.Check()) == 0
	if slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == pslint.Error }) == accepted {
		t.Fatalf("%s\naccepted by a VM: %t, findings: %v", data, accepted, findings)
	}
	for _, f := range findings {
		if f.Line < 1 && f.Code != codeUnreadable || f.Code == psconfig.Code("") {
			t.Fatalf("finding without position or code: %v", f)
		}
	}
	if d, err := psdocument.Read(other); err == nil {
		for _, document := range []*psdocument.Document{nil, d} {
			in := &Installation{fleet: fleet, inForce: d.Configuration, document: document, file: "in-force"}
			checkConfiguration(data, in)
		}
	}
	return accepted
}
