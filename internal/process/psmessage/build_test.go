package psmessage_test

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psserver"
)

var updateBuild = flag.Bool("update", false, "rewrite the messages of the current build")

// buildDirectory holds messages as each build encodes them, by the commit of the build. A landing that changes a message
// adds a directory.
const buildDirectory = "testdata/builds"

// currentBuild is the directory of the messages of this build.
const currentBuild = "current"

// message is a message of one of the types that VMs exchange.
type message interface{ Check() error }

// newMessage returns an empty message of the type that a file holds.
func newMessage(t *testing.T, file string) message {
	t.Helper()
	name := strings.TrimSuffix(filepath.Base(file), ".json")
	switch name {
	case "identity":
		return &psmessage.Identity{}
	case "report":
		return &psmessage.Report{}
	case "digest":
		return &psmessage.Digest{}
	case "noticeServers", "noticeDesiredState":
		return &psmessage.Notice{}
	case "tokenRequest", "serverTokenRequest":
		return &psmessage.TokenRequest{}
	case "tokenResponse", "serverTokenResponse":
		return &psmessage.TokenResponse{}
	case "controlState":
		return &psmessage.ControlState{}
	}
	t.Fatalf("unknown message %s", file)
	return nil
}

// decodeFile decodes the message in a file, and also returns it as a JSON value.
func decodeFile(t *testing.T, file string) (message, any) {
	t.Helper()
	data, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	m := newMessage(t, file)
	qt.Assert(t, json.Unmarshal(data, m), qt.IsNil)
	qt.Assert(t, m.Check(), qt.IsNil)
	var value any
	qt.Assert(t, json.Unmarshal(data, &value), qt.IsNil)
	return m, value
}

// encode returns a message as it is sent, as a JSON value.
func encode(t *testing.T, m message) any {
	t.Helper()
	data, err := json.Marshal(m)
	qt.Assert(t, err, qt.IsNil)
	var value any
	qt.Assert(t, json.Unmarshal(data, &value), qt.IsNil)
	return value
}

func buildFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(buildDirectory, "*", "*.json"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 30, qt.IsTrue)
	return files
}

// TestMessageOfEarlierBuildIsMisread decodes the messages of each build. Nothing of them may be lost or mean anything else.
func TestMessageOfEarlierBuildIsMisread(t *testing.T) {
	for _, file := range buildFiles(t) {
		m, want := decodeFile(t, file)
		qt.Check(t, encode(t, m), qt.DeepEquals, want, qt.Commentf("%s", file))
	}
}

// TestEarlierBuildMisreadsMessage encodes the messages of each build with all that this build adds. The earlier build
// ignores unknown fields, so each field that it knows must be there with the same value.
func TestEarlierBuildMisreadsMessage(t *testing.T) {
	for _, file := range buildFiles(t) {
		m, want := decodeFile(t, file)
		addFeatures(m)
		requireSubset(t, file, want, encode(t, m))
	}
}

// addFeatures sets the fields that this build adds to the messages of earlier ones.
func addFeatures(m message) {
	switch m := m.(type) {
	case *psmessage.Identity:
		m.Features = psmessage.CurrentFeatures
	case *psmessage.Report:
		m.Features = psmessage.CurrentFeatures
		m.Departed = []psmessage.Departure{{Run: psserver.Run{ID: "i-1", Incarnation: 1700000000123}, Sequence: 9, Removed: true}}
		m.Busy = []string{"trays"}
		m.Lease = &psmessage.Lease{
			Parts: 9, Owners: 4000000001, FormerParts: 8, Guest: true, Ended: true, Heir: "vm-3", Alone: true, Earlier: true,
			Group: 4000000002, Settled: true, Excluded: psmessage.Names{VMs: []string{"vm-4"}, FailureDomains: []string{"south-a"}},
			Silent: psmessage.Names{VMs: []string{"vm-5"}}, Lag: 251,
		}
	case *psmessage.TokenResponse:
		m.NotOwner = true
	case *psmessage.Digest:
		for i := range m.Reports {
			addFeatures(&m.Reports[i].Report)
		}
	}
}

// requireSubset fails the test unless each member of the wanted value has the same value in the other one.
func requireSubset(t *testing.T, path string, want, got any) {
	t.Helper()
	switch want := want.(type) {
	case map[string]any:
		members, found := got.(map[string]any)
		qt.Assert(t, found, qt.IsTrue, qt.Commentf("%s", path))
		for name, v := range want {
			if name == "features" {
				requireFeatures(t, path, v, members[name])
				continue
			}
			requireSubset(t, path+"."+name, v, members[name])
		}
	case []any:
		entries, found := got.([]any)
		qt.Assert(t, found && len(entries) == len(want), qt.IsTrue, qt.Commentf("%s", path))
		for i, v := range want {
			requireSubset(t, path+"[]", v, entries[i])
		}
	default:
		qt.Check(t, got, qt.Equals, want, qt.Commentf("%s", path))
	}
}

// requireFeatures fails the test unless a set of features has all of another one. Earlier builds ignore those that they don't
// know.
func requireFeatures(t *testing.T, path string, want, got any) {
	t.Helper()
	all, _ := got.(float64)
	known, found := want.(float64)
	qt.Check(t, found && psmessage.Features(all).Has(psmessage.Features(known)), qt.IsTrue, qt.Commentf("%s: features %v, want those of %v", path, got, want))
}

// TestMessageChangesUnnoticed compares the messages of this build with the files that the next build will be tested
// against.
func TestMessageChangesUnnoticed(t *testing.T) {
	const latest = "3a12874"
	files, err := filepath.Glob(filepath.Join(buildDirectory, latest, "*.json"))
	qt.Assert(t, err, qt.IsNil)
	for _, file := range files {
		m, _ := decodeFile(t, file)
		addFeatures(m)
		data, err := json.MarshalIndent(m, "", "  ")
		qt.Assert(t, err, qt.IsNil)
		data = append(data, '\n')
		current := filepath.Join(buildDirectory, currentBuild, filepath.Base(file))
		if *updateBuild {
			qt.Assert(t, os.MkdirAll(filepath.Dir(current), 0o755), qt.IsNil)
			qt.Assert(t, os.WriteFile(current, data, 0o644), qt.IsNil)
		}
		want, err := os.ReadFile(current)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(data), qt.Equals, string(want), qt.Commentf("run: go test ./internal/process/psfleet -update"))
	}
}

// TestBriefReportStatesFeatures covers a report that only names its VM's process. Builds recognise it by having no other
// field of an identity.
func TestBriefReportStatesFeatures(t *testing.T) {
	m, _ := decodeFile(t, filepath.Join(buildDirectory, "3a12874", "report.json"))
	r, _ := m.(*psmessage.Report)
	r.Features, r.Sequence = psmessage.CurrentFeatures, 1001
	r.Shorten(0)
	_, stated := encode(t, r).(map[string]any)["features"]
	qt.Assert(t, stated, qt.IsFalse)
}
