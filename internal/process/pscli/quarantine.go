package pscli

import (
	"context"
	"fmt"
	"net/http"

	"github.com/samber/lo"

	"persimmonstep/internal/process/psadmin"
	"persimmonstep/internal/process/psquarantine"
)

// quarantineCommands are the operations on quarantined requests.
type quarantineCommands struct {
	List  quarantineListCommand  `cmd:"" help:"List suspect and quarantined requests."`
	Clear quarantineClearCommand `cmd:"" help:"Let a quarantined request run again."`
}

// quarantineListCommand lists requests.
type quarantineListCommand struct {
	target
}

// Run prints the requests.
func (c *quarantineListCommand) Run(ctx context.Context, s streams) error {
	return listing(ctx, s, c.target, call{http.MethodGet, "/v1/quarantine", nil}, func(r psadmin.QuarantineResponse) {
		for _, q := range r.Requests {
			_, _ = fmt.Fprintf(s.out, "%s  %s  %s  %s  %s  left %s  crashed %s\n", q.Fingerprint, lo.Ternary(q.Held, "quarantined", "suspect"),
				q.Workspace, q.Route, q.Target, q.Left.Duration, join(q.Servers))
		}
	})
}

// quarantineClearCommand clears a request.
type quarantineClearCommand struct {
	target
	Fingerprint psquarantine.Fingerprint `arg:"" help:"The request's fingerprint, as listed."`
}

// Run clears the request on every VM.
func (c *quarantineClearCommand) Run(ctx context.Context, s streams) error {
	return listing(ctx, s, c.target, call{http.MethodDelete, "/v1/quarantine/" + c.Fingerprint.String(), nil}, func(r psadmin.ClearResponse) {
		_, _ = fmt.Fprintln(s.out, lo.Ternary(r.Told, "cleared on every VM that could be reached", "cleared here; the other VMs learn of it by heartbeat"))
	})
}
