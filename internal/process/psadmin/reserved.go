package psadmin

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/pstoml"
	"persimmonstep/internal/version/psversion"
)

const (
	// editAttempts bounds the tries of an edit that other changes come before.
	editAttempts = 20
	// editPause is the mean time between two tries.
	editPause = 30 * time.Millisecond
)

// ReservedFindings reports operators' files that touch a reserved document.
func ReservedFindings(put map[string]string, remove []psdoc.Name) pstoml.Findings {
	const message = "the document name is reserved: use the commands key and drain"
	var out pstoml.Findings
	for _, file := range slices.Sorted(maps.Keys(put)) {
		if d, _ := psdoc.Parse(file, []byte(put[file])); d != nil && psdoc.Reserved(d.Document) {
			out = append(out, d.Finding("document", message))
		}
	}
	for _, n := range remove {
		if psdoc.Reserved(n) {
			out = append(out, pstoml.Finding{File: string(n), Line: 1, Column: 1, Message: message})
		}
	}
	return out
}

// documentOf parses a stored document; an absent one is empty.
func documentOf(c *psversion.Content, n psdoc.Name) *psdoc.Document {
	d, _ := psdoc.Parse(string(n), []byte(c.Documents[n]))
	if d == nil || d.Document == "" {
		return &psdoc.Document{Document: n}
	}
	return d
}

// render writes a reserved document.
func render(d psdoc.Document) string {
	text, err := toml.Marshal(d)
	if err != nil {
		panic(errors.Wrapf(err, "psadmin: render document %s", d.Document))
	}
	return string(text)
}

// edit is a change of one reserved document. It reports false where nothing has to change,
// and findings where the change is impossible.
type edit func(c *psversion.Content) (psdoc.Document, bool, pstoml.Findings)

// change carries out an edit on the latest version and tries again after a conflict.
func (a *API) change(ctx context.Context, o Operation, e edit) ApplyResponse {
	var out ApplyResponse
	for range editAttempts {
		out = a.tryChange(ctx, o, e)
		if out.Outcome != OutcomeConflict {
			return out
		}
		select {
		case <-ctx.Done():
			return out
		case <-time.After(rand.N(2 * editPause)):
		}
	}
	return out
}

func (a *API) tryChange(ctx context.Context, o Operation, e edit) ApplyResponse {
	head, content, err := a.latest(ctx)
	if err != nil {
		return applyFailure(err)
	}
	d, changed, findings := e(content)
	switch {
	case len(findings) > 0:
		return ApplyResponse{Outcome: OutcomeFindings, Findings: findings}
	case !changed:
		return a.confirm(ctx, head)
	}
	return a.commit(ctx, psversion.Change{
		OperationID: o.OperationID, Author: o.Author, Base: head.Version,
		Put: map[string]string{string(d.Document): render(d)},
	})
}

// prune adds to an apply the reserved documents without what it leaves pointless: drains of
// servers that are gone, and withdrawn keys of workspaces that are gone.
func (a *API) prune(old *psversion.Content, r ApplyRequest) (map[string]string, []string) {
	servers, workspaces := definedAfter(old, r)
	put := maps.Clone(r.Put)
	if put == nil {
		put = make(map[string]string)
	}
	var warnings []string
	drains := documentOf(old, psdoc.OrderedDrains)
	kept := lo.Filter(drains.Drains, func(v psdoc.Drain, _ int) bool { return servers[v.Server] })
	if len(kept) < len(drains.Drains) {
		warnings = append(warnings, fmt.Sprintf("%d drains of removed backend servers were dropped", len(drains.Drains)-len(kept)))
		put[string(psdoc.OrderedDrains)] = render(psdoc.Document{Document: psdoc.OrderedDrains, Drains: kept})
	}
	keys := documentOf(old, psdoc.IssuedKeys)
	used := lo.Filter(keys.Keys, func(k psdoc.Key, _ int) bool { return workspaces[k.Workspace] || !a.Withdrawer.Has(k.ID) })
	if len(used) < len(keys.Keys) {
		warnings = append(warnings, fmt.Sprintf("%d withdrawn keys of removed workspaces were dropped", len(keys.Keys)-len(used)))
		put[string(psdoc.IssuedKeys)] = render(psdoc.Document{Document: psdoc.IssuedKeys, Keys: used})
	}
	return put, warnings
}

// definedAfter lists the backend servers and workspaces that the apply leaves.
func definedAfter(old *psversion.Content, r ApplyRequest) (servers, workspaces map[psdoc.Name]bool) {
	documents := make(map[psdoc.Name]*psdoc.Document)
	for n := range old.Documents {
		documents[n] = documentOf(old, n)
	}
	for file, text := range r.Put {
		if d, _ := psdoc.Parse(file, []byte(text)); d != nil {
			documents[d.Document] = d
		}
	}
	for _, n := range r.Remove {
		delete(documents, n)
	}
	servers, workspaces = make(map[psdoc.Name]bool), make(map[psdoc.Name]bool)
	for _, d := range documents {
		for _, s := range d.Servers {
			servers[s.Name] = true
		}
		for _, w := range d.Workspaces {
			workspaces[w.Name] = true
		}
	}
	return servers, workspaces
}
