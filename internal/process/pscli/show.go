package pscli

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/psadmin"
	"persimmonstep/internal/version/psdoc"
)

// statusCommand shows what runs where.
type statusCommand struct {
	target
}

// Run prints the status.
func (c *statusCommand) Run(ctx context.Context, s streams) error {
	return listing(ctx, s, c.target, call{http.MethodGet, "/v1/status", nil}, func(r psadmin.StatusResponse) {
		_, _ = fmt.Fprintf(s.out, "%s has version %d\nin force: %s\nlagging or silent: %s\n", r.VM, r.Version, join(r.Confirmed), join(r.Missing))
		for _, v := range r.VMs {
			state := lo.Ternary(v.Reachable, fmt.Sprintf("version %d", v.Version), "silent")
			_, _ = fmt.Fprintf(s.out, "%s  %s  %s  %s  %s\n", v.Name, v.Region, v.FailureDomain, v.Operator, state)
		}
		if len(r.Leaving) > 0 {
			_, _ = fmt.Fprintf(s.out, "drained: %s\n", join(r.Leaving))
		}
	})
}

// historyCommand shows who changed what.
type historyCommand struct {
	target
	Limit int `default:"20" help:"The number of versions."`
}

// Run prints the history.
func (c *historyCommand) Run(ctx context.Context, s streams) error {
	k := call{http.MethodGet, fmt.Sprintf("/v1/history?limit=%d", c.Limit), nil}
	return listing(ctx, s, c.target, k, func(r psadmin.HistoryResponse) {
		for _, h := range r.Versions {
			_, _ = fmt.Fprintf(s.out, "%d  %s  %s  %s  %s\n", h.Version, h.Time.Format(time.RFC3339), h.Author, h.OperationID, join(h.Changed))
		}
	})
}

// documentCommands show documents.
type documentCommands struct {
	List documentsCommand `cmd:"" help:"List the documents of the latest version."`
	Get  documentCommand  `cmd:"" help:"Print a document of the latest version."`
}

// documentsCommand lists documents.
type documentsCommand struct {
	target
}

// Run prints the list.
func (c *documentsCommand) Run(ctx context.Context, s streams) error {
	return listing(ctx, s, c.target, call{http.MethodGet, "/v1/documents", nil}, func(r psadmin.DocumentsResponse) {
		_, _ = fmt.Fprintf(s.out, "version %d\n", r.Version)
		for _, d := range r.Documents {
			_, _ = fmt.Fprintf(s.out, "%s  %d bytes%s\n", d.Name, d.Bytes, lo.Ternary(d.Reserved, "  written by commands", ""))
		}
	})
}

// documentCommand prints one document.
type documentCommand struct {
	target
	Name psdoc.Name `arg:"" help:"The document."`
}

// Run prints the document as it was written.
func (c *documentCommand) Run(ctx context.Context, s streams) error {
	k := call{http.MethodGet, "/v1/documents/" + url.PathEscape(string(c.Name)), nil}
	return listing(ctx, s, c.target, k, func(r psadmin.DocumentResponse) { _, _ = fmt.Fprint(s.out, r.Text) })
}

// explainCommand explains a decision.
type explainCommand struct {
	target
	Path      string       `arg:"" help:"The request's path."`
	KeyID     psdoc.Name   `help:"The id of the caller's key."`
	Workspace psdoc.Name   `help:"The caller's workspace, in place of a key."`
	Client    string       `help:"The caller's IP address."`
	BodyBytes int64        `help:"The length of the request's body."`
	Tried     []psdoc.Name `help:"A backend server that was tried already; may be repeated."`
}

// Run prints the decision with its reasons.
func (c *explainCommand) Run(ctx context.Context, s streams) error {
	in := psadmin.ExplainRequest{
		Path: c.Path, KeyID: c.KeyID, Workspace: c.Workspace, Client: c.Client, BodyBytes: c.BodyBytes, Tried: c.Tried,
	}
	return listing(ctx, s, c.target, call{http.MethodPost, "/v1/explain", in}, func(r psadmin.ExplainResponse) { printExplanation(s, r) })
}

func printExplanation(s streams, r psadmin.ExplainResponse) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(s.out, format+"\n", args...) }
	line("VM: %s in %s, version %d", r.VM, r.FailureDomain, r.Version)
	line("route: %s (%s)", r.Route, r.RouteKind)
	line("workspace: %s", r.Workspace)
	if r.Refusal != nil {
		line("refused: %d %s: %s (ran: %s)", r.Refusal.Status, r.Refusal.Code, r.Refusal.Detail, r.Refusal.Ran)
		return
	}
	line("home region: %s", r.Home)
	for _, c := range r.Candidates {
		line("candidate: %s in %s, %d of %d slots in use, latency %s%s%s%s", c.Server, c.FailureDomain, c.InFlight, c.Limit, c.Latency,
			lo.Ternary(c.Leaving, ", leaving", ""), lo.Ternary(c.Excluded, ", excluded", ""), lo.Ternary(c.Shifted, ", outside the home region", ""))
	}
	line("decision: %s", r.Decision)
	line("decision while the shift cap has room: %s", r.Shifted)
	for _, v := range r.Conditions {
		line("may still be refused: %s", v)
	}
}
