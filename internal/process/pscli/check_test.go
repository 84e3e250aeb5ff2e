package pscli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/pscli"
	"persimmonstep/internal/trial/psdev"
	"persimmonstep/internal/trial/psscenario"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/pslint"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestCheckOutput compares the output of check with golden files. It guards against findings that are lost, repeated or located
// elsewhere on the way from the rules to the output, and against other exit codes.
func TestCheckOutput(t *testing.T) {
	directory, err := filepath.Abs(filepath.Join("testdata", "check"))
	qt.Assert(t, err, qt.IsNil)
	t.Chdir(directory)
	settings := filepath.Join("..", "..", goodSettings)
	for golden, v := range map[string]struct {
		code int
		args []string
	}{
		"clean.golden":    {pscli.ExitOK, []string{"--configuration", "in-force.json"}},
		"errors.golden":   {pscli.ExitFindings, []string{"--configuration", "errors.json"}},
		"types.golden":    {pscli.ExitFindings, []string{"--configuration", "types.json", "--against", "in-force.json"}},
		"effects.golden":  {pscli.ExitFindings, []string{"--configuration", "effects.json"}},
		"state.golden":    {pscli.ExitFindings, []string{"--configuration", "effects.json", "--state", "state.json", "--settings", settings}},
		"next.golden":     {pscli.ExitFindings, []string{"--configuration", "next.json", "--against", "in-force.json"}},
		"next.jsonl":      {pscli.ExitFindings, []string{"--configuration", "next.json", "--against", "in-force.json", "--json"}},
		"same.golden":     {pscli.ExitOK, []string{"--configuration", "in-force.json", "--against", "in-force.json"}},
		"unusable.golden": {pscli.ExitFailed, []string{"--configuration", "syntax.json", "scenario.toml"}},
		"platform.golden": {pscli.ExitFindings, []string{"--configuration", filepath.Join("..", "..", configuration)}},
	} {
		t.Run(golden, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := pscli.Run(context.Background(), append([]string{"check"}, v.args...), &out, &errOut)
			qt.Check(t, code, qt.Equals, v.code)
			qt.Check(t, errOut.String(), qt.Equals, "")
			got := strings.NewReplacer(directory+string(filepath.Separator), "", filepath.Dir(mustAbs(t, filepath.Join("..", "..", configuration)))+string(filepath.Separator), "").Replace(out.String())
			if *update {
				qt.Assert(t, os.WriteFile(golden, []byte(got), 0o600), qt.IsNil)
			}
			want, err := os.ReadFile(golden)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.Equals, string(want))
		})
	}
}

func mustAbs(t *testing.T, path string) string {
	t.Helper()
	a, err := filepath.Abs(path)
	qt.Assert(t, err, qt.IsNil)
	return a
}

// TestCheckPrintsNoKey guards against keys in findings about keys.
func TestCheckPrintsNoKey(t *testing.T) {
	c := write(t, "c.json", `{"version":1,"tenants":[{"name":"a","api_keys":["secret"," secret "]},{"name":"b","api_keys":["secret"]}]}`)
	for _, flags := range [][]string{nil, {"--json"}, {"--against", filepath.Join("testdata", "check", "in-force.json")}} {
		code, out := run(append([]string{"check", "--configuration", c}, flags...)...)
		qt.Check(t, code, qt.Equals, pscli.ExitFindings)
		qt.Check(t, out, qt.Contains, "api_keys[1]")
		qt.Check(t, out, qt.Not(qt.Contains), "secret")
	}
}

// TestCheckJSONLines guards against lines that a program can't decode.
func TestCheckJSONLines(t *testing.T) {
	c := write(t, "c\n.json", `{"version":1,"a\nb":1}`)
	code, out := run("check", "--json", "--configuration", c)
	qt.Assert(t, code, qt.Equals, pscli.ExitOK)
	var f struct {
		File, Severity, Code, Path string
		Line, Column               int
	}
	qt.Assert(t, json.Unmarshal([]byte(out), &f), qt.IsNil)
	qt.Assert(t, f.File, qt.Equals, c)
	qt.Assert(t, []any{f.Severity, f.Code, f.Path, f.Line, f.Column}, qt.DeepEquals, []any{"note", "unknown", "a\nb", 1, 14})
}

// TestCheckUsage guards against wrong usage that looks like a check without findings.
func TestCheckUsage(t *testing.T) {
	inForce := filepath.Join("testdata", "check", "in-force.json")
	state := filepath.Join("testdata", "check", "state.json")
	for _, args := range [][]string{
		{},
		{"--configuration", "absent.json"},
		{"--settings", goodSettings, "--against", inForce},
		{"--settings", goodSettings, "--state", state},
		{"--configuration", inForce, "--state", state, "--vm", "127.0.0.1:1"},
		{"--configuration", inForce, "--state", inForce},
		{"--configuration", inForce, "--vm", "127.0.0.1:1"},
		{"--configuration", inForce, "--against", filepath.Join("testdata", "check", "syntax.json")},
		{"--configuration", inForce, "--against", filepath.Join("testdata", "check", "errors.json")},
		{"--configuration", inForce, "--against", filepath.Join("testdata", "check", "types.json")},
		{"--configuration", filepath.Join("testdata", "check")},
	} {
		code, out := run(append([]string{"check"}, args...)...)
		qt.Check(t, code, qt.Equals, pscli.ExitFailed, qt.Commentf("%v: %s", args, out))
		qt.Check(t, out, qt.Not(qt.Equals), "")
	}
}

// TestCheckAgainstVM compares a configuration with the version that a VM applies.
func TestCheckAgainstVM(t *testing.T) {
	s, stop, err := psdev.New(context.Background(), psdev.Example(), func(string) io.Writer { return io.Discard })
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(stop)
	next := write(t, "next.json", `{"version":100,"routes":[{"name":"prices","host":"eggs.example","prefix":"/prices/","route_type":"safe","timeout_s":2,
 "target_latency_s":0.2,"max_attempts":30,"affinity":true,"service":"prices"}],"services":[{"name":"prices","health_path":"/healthz","max_conns":400}],
 "tenants":[{"name":"mandeville","api_keys":["k"],"rate_per_s":900,"burst":500}]}`)
	code, out := run("check", "--configuration", next, "--vm", s.Ready.VMs[0].Operators.String())
	qt.Assert(t, code, qt.Equals, pscli.ExitFindings, qt.Commentf("%s", out))
	for _, text := range []string{
		next + ":1:16: warning: routes: route \"orders\" is removed: its requests get 404 (moves-traffic)\n",
		next + ":3:51: warning: tenants[0].rate_per_s: workspace mandeville: rate changes from 1000 to 900 (lowers-rate)\n",
		"(attempts-above-servers)",
	} {
		qt.Check(t, out, qt.Contains, text)
	}
}

// TestExamplesHaveNoFindings guards against rules that report what is right: the scenarios and the configurations of the
// development system and of the firms' models. The files in deploy are not configurations of this program.
func TestExamplesHaveNoFindings(t *testing.T) {
	scenarios, err := filepath.Glob(filepath.Join("..", "..", "..", "scenarios", "*.toml"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(scenarios) > 10, qt.IsTrue)
	code, out := run(append([]string{"check"}, scenarios...)...)
	qt.Assert(t, code, qt.Equals, pscli.ExitOK)
	qt.Assert(t, out, qt.Equals, "")
	topologies := []psdev.Topology{psdev.Example()}
	for _, f := range psscenario.Firms() {
		topologies = append(topologies, f.Topology(&psscenario.Scenario{}))
	}
	for _, v := range topologies {
		for i := range v.Configuration.Workspaces {
			v.Configuration.Workspaces[i].Keys = []psconfig.Digest{psconfig.DigestOf(v.Configuration.Workspaces[i].Name)}
		}
		f := pslint.Fleet{VMs: len(v.VMs)}
		for _, d := range v.Domains {
			f.Regions = append(f.Regions, d.Region)
		}
		for _, s := range v.Servers {
			f.Servers = append(f.Servers, pslint.Server{Service: s.Service, Region: s.Domain.Region})
		}
		qt.Check(t, pslint.Check(&v.Configuration, f), qt.HasLen, 0)
	}
}

// TestEveryCodeIsDocumented guards against codes that operators can't look up.
func TestEveryCodeIsDocumented(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	page, err := os.ReadFile(filepath.Join(root, "docs", "operators", "check.md"))
	qt.Assert(t, err, qt.IsNil)
	declaration := regexp.MustCompile(`Code\s+= "([a-z-]+)"`)
	count := 0
	for _, pattern := range []string{"internal/version/ps*/*.go", "platform/*.go", "platform/ps*/*.go", "internal/process/pscheck/*.go", "internal/process/pscli/*.go"} {
		files, err := filepath.Glob(filepath.Join(root, filepath.FromSlash(pattern)))
		qt.Assert(t, err, qt.IsNil)
		for _, name := range files {
			source, err := os.ReadFile(name)
			qt.Assert(t, err, qt.IsNil)
			for _, m := range declaration.FindAllSubmatch(source, -1) {
				count++
				qt.Check(t, string(page), qt.Contains, "`"+string(m[1])+"`")
			}
		}
	}
	qt.Assert(t, count > 50, qt.IsTrue, qt.Commentf("%d codes", count))
}
