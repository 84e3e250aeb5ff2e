package pscli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/pscli"
	"persimmonstep/internal/process/psstate"
	"persimmonstep/internal/trial/psdev"
)

// run executes a command and returns its exit code and combined output.
func run(args ...string) (int, string) {
	var out bytes.Buffer
	code := pscli.Run(context.Background(), args, &out, &out)
	return code, out.String()
}

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

var (
	platformData  = filepath.Join("..", "..", "..", "platform")
	goodSettings  = filepath.Join(platformData, "pssettings", "testdata", "settings.yaml")
	configuration = filepath.Join(platformData, "psdocument", "testdata", "configuration.json")
)

func TestSteerChecksItsSettings(t *testing.T) {
	code, _ := run("steer", "--settings", goodSettings, "--check")
	qt.Assert(t, code, qt.Equals, pscli.ExitOK)
	bad := write(t, "node.yaml", "listen: {front: nowhere}\nbounds: [\"drain_s=soon\"]\n")
	code, out := run("steer", "--settings", bad, "--check")
	qt.Assert(t, code, qt.Equals, pscli.ExitFindings)
	for _, text := range []string{"listen.front", "drain_s", "node_name"} {
		qt.Check(t, out, qt.Contains, text)
	}
}

func TestCheckPrintsTheFindingsOfAllFiles(t *testing.T) {
	data, err := os.ReadFile(configuration)
	qt.Assert(t, err, qt.IsNil)
	good := write(t, "configuration.json", strings.ReplaceAll(string(data), `"api_keys":[]`, `"api_keys":["k-3"]`))
	code, out := run("check", "--settings", goodSettings, "--configuration", good, filepath.Join("..", "..", "..", "scenarios", "calm.toml"))
	qt.Assert(t, code, qt.Equals, pscli.ExitOK, qt.Commentf("%s", out))
	qt.Assert(t, out, qt.Equals, good+":1:14: note: unknown: the field is unknown and ignored (unknown)\n")
	settings := write(t, "node.yaml", "listen: {front: nowhere}\n")
	faulty := write(t, "configuration.json", strings.ReplaceAll(string(data), `"prefix":"/`, `"prefix":"`))
	scenario := write(t, "scenario.toml", "span = \"2h\"\n")
	code, out = run("check", "--settings", settings, "--configuration", faulty, scenario)
	qt.Assert(t, code, qt.Equals, pscli.ExitFindings)
	for _, text := range []string{
		settings + ":1:10: error: listen.front: ", faulty + ":2:38: error: routes[0].prefix: ", faulty + ":3:38: error: routes[1].prefix: ",
		scenario + ":1:1: error: the span",
	} {
		qt.Check(t, out, qt.Contains, text)
	}
}

// waitForFleet waits until a VM knows a number of VMs: explanations change while VMs find each other.
func waitForFleet(t *testing.T, vm string, size int) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "state.json")
	deadline := time.Now().Add(30 * time.Second)
	for known := 0; known != size; time.Sleep(50 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d VMs known, %d wanted", known, size))
		code, out := run("status", "--vm", vm, "--save", file)
		qt.Assert(t, code, qt.Equals, pscli.ExitOK, qt.Commentf("%s", out))
		data, err := os.ReadFile(file)
		qt.Assert(t, err, qt.IsNil)
		var state psstate.State
		qt.Assert(t, json.Unmarshal(data, &state), qt.IsNil)
		known = state.FleetSize
	}
}

// TestExplainGivesSameResultForVMAndSavedState runs a system and compares the explanation by a VM with the one from
// the state that was saved from it.
func TestExplainGivesSameResultForVMAndSavedState(t *testing.T) {
	s, stop, err := psdev.New(context.Background(), psdev.Example(), func(string) io.Writer { return io.Discard })
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(stop)
	vm := s.Ready.VMs[0].Operators.String()
	saved := filepath.Join(t.TempDir(), "state.json")
	waitForFleet(t, vm, len(s.Ready.VMs))
	code, out := run("status", "--vm", vm, "--vm", s.Ready.VMs[1].Operators.String(), "--save", saved)
	qt.Assert(t, code, qt.Equals, pscli.ExitOK, qt.Commentf("%s", out))
	for _, text := range []string{s.Ready.VMs[0].Name, s.Ready.VMs[1].Name, s.Ready.Servers[0].ID} {
		qt.Check(t, out, qt.Contains, text)
	}
	text, err := os.ReadFile(saved)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(text), qt.Not(qt.Contains), s.Ready.Workspaces[0].Key)

	query := []string{"--host", s.Ready.Host, "--path", "/prices/eggs", "--object", "eggs", "--workspace", s.Ready.Workspaces[0].Name}
	code, fromVM := run(append([]string{"explain", "--vm", vm}, query...)...)
	qt.Assert(t, code, qt.Equals, pscli.ExitOK, qt.Commentf("%s", fromVM))
	code, fromFile := run(append([]string{"explain", "--state", saved}, query...)...)
	qt.Assert(t, code, qt.Equals, pscli.ExitOK, qt.Commentf("%s", fromFile))
	qt.Assert(t, fromFile, qt.Equals, fromVM)
	qt.Assert(t, fromVM, qt.Contains, "service prices, 100% of the requests: sent")

	code, out = run("explain", "--state", saved, "--host", "elsewhere", "--path", "/")
	qt.Assert(t, code, qt.Equals, pscli.ExitFindings)
	qt.Assert(t, out, qt.Contains, `host "elsewhere" has no route`)
}

func TestStandinServesAConfiguration(t *testing.T) {
	ctx, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer stop()
	var out bytes.Buffer
	code := pscli.Run(ctx, []string{"standin", "--listen", "127.0.0.1:0", "--configuration", configuration}, &out, &out)
	qt.Assert(t, code, qt.Equals, pscli.ExitOK, qt.Commentf("%s", out.String()))
	qt.Assert(t, out.String(), qt.Contains, "store: 127.0.0.1:")
}
