package pscli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psadmin"
	"persimmonstep/internal/request/pskey"
	"persimmonstep/internal/version/psversion"
)

// readDocuments reads files by name.
func readDocuments(files []string) (map[string]string, error) {
	out := make(map[string]string)
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, errors.Wrap(err, "read a document")
		}
		out[f] = string(data)
	}
	return out, nil
}

// checkCommand checks documents without a VM.
type checkCommand struct {
	Files []string `arg:"" type:"existingfile" help:"The documents (TOML)."`
}

// Run prints every finding.
func (c *checkCommand) Run(s streams) error {
	documents, err := readDocuments(c.Files)
	if err != nil {
		return err
	}
	_, _, findings := psversion.Merge(&psversion.Content{}, psversion.Change{Put: documents})
	if len(findings) == 0 {
		return nil
	}
	_, _ = fmt.Fprintln(s.out, findings.Error())
	return &exitError{code: ExitFindings}
}

// applyCommand applies documents as a whole.
type applyCommand struct {
	target
	Files     []string `arg:"" type:"existingfile" help:"The documents (TOML)."`
	Base      uint64   `help:"Fail unless this is the latest version."`
	Operation string   `help:"The operation's id; repeating an apply under the same id changes nothing more."`
	JSON      bool     `help:"Print the answer as JSON."`
}

// Run applies and prints the version and its confirmations.
func (c *applyCommand) Run(ctx context.Context, s streams) error {
	documents, err := readDocuments(c.Files)
	if err != nil {
		return err
	}
	if c.Operation == "" {
		c.Operation = pskey.New().Secret
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	var out psadmin.ApplyResponse
	in := psadmin.ApplyRequest{OperationID: c.Operation, Author: os.Getenv("USER"), Base: c.Base, Put: documents}
	if err := client.call(ctx, "POST", "/v1/apply", in, &out); err != nil {
		return &exitError{code: ExitUnknown, text: "persimmonstep: " + err.Error() + "; repeat with --operation " + c.Operation}
	}
	if c.JSON {
		printJSON(s.out, out)
	} else {
		printApply(s.out, out)
	}
	return applyExit(out.Outcome)
}

func printApply(w io.Writer, r psadmin.ApplyResponse) {
	switch r.Outcome {
	case psadmin.OutcomeInForce, psadmin.OutcomeAccepted:
		_, _ = fmt.Fprintf(w, "version %d\nconfirmed: %s\n", r.Head.Version, join(r.Confirmed))
		if len(r.Missing) > 0 {
			_, _ = fmt.Fprintf(w, "not confirmed: %s\n", join(r.Missing))
		}
	case psadmin.OutcomeFindings:
		_, _ = fmt.Fprintln(w, r.Findings.Error())
	default:
		_, _ = fmt.Fprintf(w, "%s: %s\n", r.Outcome, r.Detail)
	}
}

func applyExit(o psadmin.ApplyOutcome) error {
	codes := map[psadmin.ApplyOutcome]int{
		psadmin.OutcomeFindings: ExitFindings, psadmin.OutcomeConflict: ExitConflict,
		psadmin.OutcomeUnknown: ExitUnknown, psadmin.OutcomeAccepted: ExitAccepted, psadmin.OutcomeUnavailable: ExitFailed,
	}
	if code, found := codes[o]; found {
		return &exitError{code: code}
	}
	return nil
}

func join[T ~string](names []T) string {
	words := make([]string, len(names))
	for i, n := range names {
		words[i] = string(n)
	}
	return strings.Join(words, " ")
}

func printJSON(w io.Writer, v any) {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}

// statusCommand shows what runs where.
type statusCommand struct {
	target
	JSON bool `help:"Print the answer as JSON."`
}

// Run prints the status.
func (c *statusCommand) Run(ctx context.Context, s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	var out psadmin.StatusResponse
	if err := client.call(ctx, "GET", "/v1/status", nil, &out); err != nil {
		return err
	}
	if c.JSON {
		printJSON(s.out, out)
		return nil
	}
	_, _ = fmt.Fprintf(s.out, "%s has version %d\nin force: %s\nlagging or silent: %s\n", out.VM, out.Version, join(out.Confirmed), join(out.Missing))
	return nil
}

// historyCommand shows who changed what.
type historyCommand struct {
	target
	Limit int  `default:"20" help:"The number of versions."`
	JSON  bool `help:"Print the answer as JSON."`
}

// Run prints the history.
func (c *historyCommand) Run(ctx context.Context, s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	var out psadmin.HistoryResponse
	if err := client.call(ctx, "GET", fmt.Sprintf("/v1/history?limit=%d", c.Limit), nil, &out); err != nil {
		return err
	}
	if c.JSON {
		printJSON(s.out, out)
		return nil
	}
	for _, h := range out.Versions {
		_, _ = fmt.Fprintf(s.out, "%d  %s  %s  %s  %s\n", h.Version, h.Time.Format("2006-01-02T15:04:05Z07:00"), h.Author, h.OperationID, join(h.Changed))
	}
	return nil
}
