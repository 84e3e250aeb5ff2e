package psadmin

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/pstoml"
	"persimmonstep/internal/version/psversion"
)

// DrainRequest orders or ends a backend server's drain.
type DrainRequest struct {
	Operation
	// Server is the backend server.
	Server psdoc.Name `json:"server"`
}

func (a *API) registerDrains(h huma.API) {
	register(h, "drain", http.MethodPost, "/v1/drain", "Send a backend server no new work",
		func(ctx context.Context, r DrainRequest) (ApplyResponse, error) {
			out := a.change(ctx, r.Operation, r.drain)
			a.audit("drain", r.Operation, string(r.Server), out)
			return out, nil
		})
	register(h, "undrain", http.MethodPost, "/v1/undrain", "Send a drained backend server work again",
		func(ctx context.Context, r DrainRequest) (ApplyResponse, error) {
			out := a.change(ctx, r.Operation, r.undrain)
			a.audit("undrain", r.Operation, string(r.Server), out)
			return out, nil
		})
}

func (r DrainRequest) drain(c *psversion.Content) (psdoc.Document, bool, pstoml.Findings) {
	d := documentOf(c, psdoc.OrderedDrains)
	next := psdoc.Drain{Server: r.Server}
	if slices.Contains(d.Drains, next) {
		return psdoc.Document{}, false, nil
	}
	return psdoc.Document{Document: psdoc.OrderedDrains, Drains: append(slices.Clone(d.Drains), next)}, true, nil
}

// undrain cannot end a drain that stands in an operator's own document.
func (r DrainRequest) undrain(c *psversion.Content) (psdoc.Document, bool, pstoml.Findings) {
	if findings := r.ownDrains(c); len(findings) > 0 {
		return psdoc.Document{}, false, findings
	}
	d := documentOf(c, psdoc.OrderedDrains)
	kept := lo.Without(d.Drains, psdoc.Drain{Server: r.Server})
	if len(kept) == len(d.Drains) {
		return psdoc.Document{}, false, nil
	}
	return psdoc.Document{Document: psdoc.OrderedDrains, Drains: kept}, true, nil
}

func (r DrainRequest) ownDrains(c *psversion.Content) pstoml.Findings {
	var out pstoml.Findings
	for _, n := range slices.Sorted(maps.Keys(c.Documents)) {
		if psdoc.Reserved(n) {
			continue
		}
		d := documentOf(c, n)
		for i, v := range d.Drains {
			if v.Server == r.Server {
				out = append(out, d.Finding(fmt.Sprintf("drains[%d].server", i), "the drain stands in this document: apply it without the drain"))
			}
		}
	}
	return out
}
