package pscli_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/pscli"
)

func TestSteerChecksItsSettings(t *testing.T) {
	good := filepath.Join("..", "..", "..", "platform", "testdata", "settings.yaml")
	var out, failures bytes.Buffer
	qt.Assert(t, pscli.Run(context.Background(), []string{"steer", "--settings", good, "--check"}, &out, &failures), qt.Equals, pscli.ExitDone)
	bad := filepath.Join(t.TempDir(), "node.yaml")
	qt.Assert(t, os.WriteFile(bad, []byte("listen: {front: nowhere}\nbounds: [\"drain_s=soon\"]\n"), 0o600), qt.IsNil)
	qt.Assert(t, pscli.Run(context.Background(), []string{"steer", "--settings", bad, "--check"}, &out, &failures), qt.Equals, pscli.ExitFindings)
	for _, text := range []string{"listen.front", "drain_s", "node_name"} {
		qt.Check(t, failures.String(), qt.Contains, text)
	}
}
