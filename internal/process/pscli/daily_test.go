package pscli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/pscli"
	"persimmonstep/internal/process/psdev"
	"persimmonstep/internal/process/psstandin"
)

// fixture is a running system with commands sent to its operator addresses.
type fixture struct {
	*qt.C
	system *psdev.System
}

func newFixture(t *testing.T) *fixture {
	s, stop, err := psdev.New(context.Background(), psdev.Example(), hclog.NewNullLogger())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(stop)
	return &fixture{C: qt.New(t), system: s}
}

// run runs a command against the VMs and returns its exit code and output.
func (f *fixture) run(args ...string) (int, string) {
	args = append(args, "--token-file", f.system.Ready.OperatorTokenFile)
	for _, o := range f.system.Ready.Operators {
		args = append(args, "--vm", o.String())
	}
	return runAlone(args...)
}

func runAlone(args ...string) (int, string) {
	var out bytes.Buffer
	code := pscli.Run(context.Background(), args, &out, &out)
	return code, out.String()
}

// status sends a lookup with a key to the n-th VM.
func (f *fixture) status(n int, key string) int {
	r, err := http.NewRequestWithContext(context.Background(), "GET", "http://"+f.system.Ready.Callers[n].String()+"/prices/eggs", nil)
	f.Assert(err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+key)
	a, err := http.DefaultClient.Do(r)
	f.Assert(err, qt.IsNil)
	_ = a.Body.Close()
	return a.StatusCode
}

func (f *fixture) write(name, text string) string {
	path := filepath.Join(f.Mkdir(), name)
	f.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// issue issues a key and returns its id and text.
func (f *fixture) issue(workspace string) (string, string) {
	code, out := f.run("key", "issue", workspace, "--json")
	f.Assert(code, qt.Equals, pscli.ExitDone, qt.Commentf("%s", out))
	var issued struct{ ID, Key string }
	f.Assert(json.Unmarshal([]byte(out), &issued), qt.IsNil)
	return issued.ID, issued.Key
}

func TestIssuedKeyWorksUntilItIsWithdrawn(t *testing.T) {
	f := newFixture(t)
	id, key := f.issue("negril")
	for n := range f.system.Ready.Callers {
		f.Check(f.status(n, key), qt.Equals, http.StatusOK)
	}
	for range 2 {
		code, out := f.run("key", "withdraw", id)
		f.Assert(code, qt.Equals, pscli.ExitDone, qt.Commentf("%s", out))
	}
	for n := range f.system.Ready.Callers {
		f.Check(f.status(n, key), qt.Equals, http.StatusUnauthorized)
	}
	_, out := f.run("key", "list")
	f.Assert(out, qt.Contains, id+"  negril  withdrawn")
	_, secret, _ := strings.Cut(key, ".")
	f.Assert(out, qt.Not(qt.Contains), secret)
}

func TestWithdrawWorksWithoutThePlatform(t *testing.T) {
	f := newFixture(t)
	key := f.system.Ready.Workspaces[0]
	f.system.Platform.Faults.Set(psstandin.Fault{Path: "/", Kind: psstandin.FaultRefuse})
	code, out := f.run("key", "withdraw", string(key.KeyID), "--json")
	f.Assert(code, qt.Equals, pscli.ExitDone, qt.Commentf("%s", out))
	for n := range f.system.Ready.Callers {
		f.Check(f.status(n, key.Key), qt.Equals, http.StatusUnauthorized)
	}
	// What needs the table says so and changes nothing.
	code, out = f.run("key", "issue", "negril")
	f.Assert(code, qt.Equals, pscli.ExitFailed, qt.Commentf("%s", out))
}

func TestApplyDoesNotReadmitAWithdrawnKey(t *testing.T) {
	f := newFixture(t)
	w := f.system.Ready.Workspaces[1]
	f.run("key", "withdraw", string(w.KeyID))
	text := "document = \"keys\"\n\n[[keys]]\nid = \"" + string(w.KeyID) + "\"\nworkspace = \"ocho-rios\"\ndigest = \"sha256:" + strings.Repeat("ab", 32) + "\"\n"
	code, out := f.run("apply", f.write("keys.toml", text))
	f.Assert(code, qt.Equals, pscli.ExitDone, qt.Commentf("%s", out))
	f.Assert(out, qt.Contains, "keys.toml:4:1: key \""+string(w.KeyID)+"\" is withdrawn and stays so")
	f.Assert(f.status(0, w.Key), qt.Equals, http.StatusUnauthorized)
}

func TestDrainAndUndrain(t *testing.T) {
	f := newFixture(t)
	server := string(f.system.Ready.Servers[0].Name)
	for range 2 {
		code, out := f.run("drain", server)
		f.Assert(code, qt.Equals, pscli.ExitDone, qt.Commentf("%s", out))
	}
	_, out := f.run("status")
	f.Assert(out, qt.Contains, "drained: "+server)
	_, out = f.run("explain", "/prices/x", "--workspace", "negril")
	f.Assert(out, qt.Contains, "candidate: "+server)
	f.Assert(out, qt.Contains, ", leaving, excluded")
	for range 2 {
		code, out := f.run("undrain", server)
		f.Assert(code, qt.Equals, pscli.ExitDone, qt.Commentf("%s", out))
	}
	code, out := f.run("drain", "nowhere")
	f.Assert(code, qt.Equals, pscli.ExitFindings)
	f.Assert(out, qt.Contains, `unknown backend server "nowhere"`)
}

func TestUndrainNamesTheOperatorsDocument(t *testing.T) {
	f := newFixture(t)
	server := string(f.system.Ready.Servers[0].Name)
	own := f.write("own.toml", "document = \"own\"\n[[drains]]\nserver = \""+server+"\"\n")
	code, out := f.run("apply", own)
	f.Assert(code, qt.Equals, pscli.ExitDone, qt.Commentf("%s", out))
	code, out = f.run("undrain", server)
	f.Assert(code, qt.Equals, pscli.ExitFindings)
	f.Assert(out, qt.Equals, "own:3:1: the drain stands in this document: apply it without the drain\n")
	code, _ = f.run("apply", "--remove", "own")
	f.Assert(code, qt.Equals, pscli.ExitDone)
}

func TestExitCodesOfApply(t *testing.T) {
	f := newFixture(t)
	extra := f.write("extra.toml", "document = \"extra\"\n")
	tests := []struct {
		name string
		args []string
		code int
		text string
	}{
		{"reserved", []string{"apply", f.write("r.toml", "document = \"issued-keys\"\n")}, pscli.ExitFindings, "reserved"},
		{"findings", []string{"apply", f.write("w.toml", "document = \"w\"\n[[workspaces]]\nname = \"a\"\n")}, pscli.ExitFindings, "w.toml:2:3: the rate must be above 0"},
		{"unknown removal", []string{"apply", "--remove", "nothing"}, pscli.ExitFindings, "no such document"},
		{"nothing to do", []string{"apply"}, pscli.ExitFailed, "needs a document"},
		{"stale base", []string{"apply", extra, "--base", "9"}, pscli.ExitConflict, "came first"},
		{"current base", []string{"apply", extra, "--base", "1"}, pscli.ExitDone, "version 2"},
		{"lost race", []string{"apply", extra, "--base", "1"}, pscli.ExitConflict, "version 2 by"},
	}
	for _, tt := range tests {
		f.Run(tt.name, func(c *qt.C) {
			code, out := f.run(tt.args...)
			c.Assert(code, qt.Equals, tt.code, qt.Commentf("%s", out))
			c.Assert(out, qt.Contains, tt.text)
		})
	}
}

func TestOutcomeIsUnknownWhenTheAnswerIsLost(t *testing.T) {
	f := newFixture(t)
	extra := f.write("extra.toml", "document = \"extra\"\n")
	code, out := runAlone("apply", extra, "--vm", "127.0.0.1:1", "--token-file", f.system.Ready.OperatorTokenFile)
	f.Assert(code, qt.Equals, pscli.ExitFailed, qt.Commentf("%s", out))
	deaf := deafServer(t)
	code, out = runAlone("apply", extra, "--vm", deaf, "--token-file", f.system.Ready.OperatorTokenFile)
	f.Assert(code, qt.Equals, pscli.ExitUnknown, qt.Commentf("%s", out))
	f.Assert(out, qt.Contains, "repeat with --operation ")
	code, out = runAlone("apply", extra, "--vm", deaf, "--vm", f.system.Ready.Operators[1].String(), "--token-file", f.system.Ready.OperatorTokenFile)
	f.Assert(code, qt.Equals, pscli.ExitDone, qt.Commentf("%s", out))
}

// TestApplyNamesTheVMsThatHaveNotConfirmed applies while one VM is gone.
func TestApplyNamesTheVMsThatHaveNotConfirmed(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	last := len(f.system.VMs) - 1
	f.system.Kill(last)
	code, out := f.run("apply", f.write("extra.toml", "document = \"extra\"\n"))
	f.Assert(code, qt.Equals, pscli.ExitAccepted, qt.Commentf("%s", out))
	f.Assert(out, qt.Contains, "version 2\n")
	f.Assert(out, qt.Contains, "not confirmed: "+string(psdev.Example().VMs[last].Name))
	f.Assert(f.system.Start(t.Context(), last), qt.IsNil)
	for end := time.Now().Add(20 * time.Second); f.system.VMs[last].Version() < 2; time.Sleep(20 * time.Millisecond) {
		f.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("a started VM takes the latest version"))
	}
}

func TestTokenFileIsReadAgain(t *testing.T) {
	f := newFixture(t)
	own := f.write("token", "rotated-token")
	code, _ := runAlone("status", "--vm", f.system.Ready.Operators[0].String(), "--token-file", own)
	f.Assert(code, qt.Equals, pscli.ExitFailed)
	f.Assert(os.WriteFile(f.system.Ready.OperatorTokenFile, []byte("rotated-token\n"), 0o600), qt.IsNil)
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if code, _ = f.run("status"); code == pscli.ExitDone {
			break
		}
		f.Assert(time.Now().Before(end), qt.IsTrue)
	}
}

func TestRacingOperatorsAllSucceed(t *testing.T) {
	f := newFixture(t)
	var racing sync.WaitGroup
	codes := make([]int, 6)
	for i := range codes {
		racing.Go(func() { codes[i], _ = f.run("drain", string(f.system.Ready.Servers[i].Name)) })
	}
	racing.Wait()
	f.Assert(codes, qt.DeepEquals, make([]int, len(codes)))
	var status struct{ Leaving []string }
	_, out := f.run("status", "--json")
	f.Assert(json.Unmarshal([]byte(out), &status), qt.IsNil)
	f.Assert(status.Leaving, qt.HasLen, len(codes))
}
