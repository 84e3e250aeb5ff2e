package pscli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psadmin"
	"persimmonstep/internal/version/psdoc"
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
	JSON  bool     `help:"Print the findings as JSON."`
}

// Run prints every finding.
func (c *checkCommand) Run(s streams) error {
	documents, err := readDocuments(c.Files)
	if err != nil {
		return err
	}
	_, _, findings := psversion.Merge(&psversion.Content{}, psversion.Change{Put: documents})
	findings = append(findings, psadmin.ReservedFindings(documents, nil)...)
	findings.Sort()
	switch {
	case c.JSON:
		printJSON(s.out, findings)
	case len(findings) > 0:
		_, _ = fmt.Fprintln(s.out, findings.Error())
	}
	if len(findings) == 0 {
		return nil
	}
	return &exitError{code: ExitFindings}
}

// applyCommand applies documents as a whole.
type applyCommand struct {
	change
	Files  []string     `arg:"" optional:"" type:"existingfile" help:"The documents (TOML)."`
	Remove []psdoc.Name `help:"Take this document out; may be repeated."`
	Base   uint64       `help:"Fail unless this is the latest version."`
}

// Run applies and prints the version and its confirmations.
func (c *applyCommand) Run(ctx context.Context, s streams) error {
	if len(c.Files) == 0 && len(c.Remove) == 0 {
		return errors.New("apply needs a document to put in or to --remove")
	}
	documents, err := readDocuments(c.Files)
	if err != nil {
		return err
	}
	in := psadmin.ApplyRequest{Operation: c.operation(), Base: c.Base, Put: documents, Remove: c.Remove}
	return c.send(ctx, s, call{http.MethodPost, "/v1/apply", in}, nil)
}

// send carries out a change. The VMs are asked one after the other under the same operation
// id until one has an outcome. Before the answer is printed, first may print what belongs to it.
func (c *change) send(ctx context.Context, s streams, k call, first func(psadmin.ApplyResponse)) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	out, err := client.change(ctx, k)
	if err != nil {
		return c.unanswered(err)
	}
	if first != nil {
		first(out)
	}
	if c.JSON {
		printJSON(s.out, out)
	} else {
		printApply(s.out, out)
	}
	return applyExit(out.Outcome)
}

// unclearError says that a change may have been carried out.
type unclearError struct {
	cause error
}

// Error gives the cause.
func (e *unclearError) Error() string {
	return e.cause.Error()
}

func (c *change) unanswered(err error) error {
	var u *unclearError
	if !errors.As(err, &u) {
		return err
	}
	return &exitError{code: ExitUnknown, text: "persimmonstep: " + err.Error() + "; the outcome is unknown: repeat with --operation " + c.Operation}
}

// change asks the VMs in turn until one has a known outcome.
func (c *client) change(ctx context.Context, k call) (psadmin.ApplyResponse, error) {
	var out psadmin.ApplyResponse
	var last error
	unclear, answered := false, false
	for _, a := range c.addresses {
		one := &client{addresses: []netip.AddrPort{a}, token: c.token, http: c.http}
		var next psadmin.ApplyResponse
		lost, err := one.ask(ctx, k, &next)
		var refused *answerError
		if errors.As(err, &refused) && refused.final() {
			return out, err
		}
		if err != nil {
			unclear, last = unclear || lost, err
			continue
		}
		answered, out = true, next
		if next.Outcome != psadmin.OutcomeUnavailable && next.Outcome != psadmin.OutcomeUnknown {
			return out, nil
		}
		unclear = unclear || next.Outcome == psadmin.OutcomeUnknown
	}
	switch {
	case unclear && answered:
		out.Outcome = psadmin.OutcomeUnknown
		return out, nil
	case unclear:
		return out, &unclearError{last}
	case answered:
		return out, nil
	}
	return out, last
}

func printApply(w io.Writer, r psadmin.ApplyResponse) {
	for _, v := range r.Warnings {
		_, _ = fmt.Fprintln(w, "warning:", v)
	}
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
	switch o {
	case psadmin.OutcomeInForce:
		return nil
	case psadmin.OutcomeFindings:
		return &exitError{code: ExitFindings}
	case psadmin.OutcomeConflict:
		return &exitError{code: ExitConflict}
	case psadmin.OutcomeUnknown:
		return &exitError{code: ExitUnknown}
	case psadmin.OutcomeAccepted:
		return &exitError{code: ExitAccepted}
	}
	return &exitError{code: ExitFailed}
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
