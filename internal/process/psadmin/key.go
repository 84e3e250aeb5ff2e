package psadmin

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/pstoml"
	"persimmonstep/internal/version/psversion"
)

// IssueRequest enters a key. The secret stays with the operator's command.
type IssueRequest struct {
	Operation
	// ID names the key.
	ID psdoc.Name `json:"id"`
	// Workspace is the key's workspace.
	Workspace psdoc.Name `json:"workspace"`
	// Digest is that of the key's secret.
	Digest psdoc.Digest `json:"digest"`
}

// WithdrawRequest withdraws keys.
type WithdrawRequest struct {
	// Author names the operator.
	Author string `json:"author" maxLength:"100"`
	// IDs names the keys.
	IDs []psdoc.Name `json:"ids" minItems:"1" maxItems:"1000"`
}

// WithdrawResponse says which VMs honour a withdrawal.
type WithdrawResponse struct {
	// VM is the answering VM.
	VM psdoc.Name `json:"vm"`
	// Confirmed lists the VMs that honour it.
	Confirmed []psdoc.Name `json:"confirmed"`
	// Missing lists the VMs that did not answer.
	Missing []psdoc.Name `json:"missing"`
	// Unknown lists the ids that this VM's configuration does not hold.
	Unknown []psdoc.Name `json:"unknown,omitempty"`
}

// KeysResponse lists the keys of the version in force.
type KeysResponse struct {
	Version uint64     `json:"version"`
	Keys    []KeyEntry `json:"keys"`
}

// KeyEntry describes a key.
type KeyEntry struct {
	ID        psdoc.Name `json:"id"`
	Workspace psdoc.Name `json:"workspace"`
	Withdrawn bool       `json:"withdrawn"`
}

func (a *API) registerKeys(h huma.API) {
	registerList(h, "listKeys", "/v1/keys", "List the keys in force", a.keys)
	register(h, "issueKey", http.MethodPost, "/v1/keys", "Enter a key", a.issue)
	register(h, "withdrawKeys", http.MethodPost, "/v1/keys/withdraw", "Withdraw keys; works without the platform", a.withdraw)
}

func (a *API) keys(context.Context) (KeysResponse, error) {
	p := a.Plans.Plan()
	entries := make([]KeyEntry, 0)
	for k := range p.Keys() {
		entries = append(entries, KeyEntry{ID: k.ID, Workspace: k.Workspace.Name, Withdrawn: a.Withdrawer.Has(k.ID)})
	}
	slices.SortFunc(entries, func(a, b KeyEntry) int { return cmp.Compare(a.ID, b.ID) })
	return KeysResponse{Version: p.Version, Keys: entries}, nil
}

func (a *API) issue(ctx context.Context, r IssueRequest) (ApplyResponse, error) {
	out := a.change(ctx, r.Operation, r.edit)
	if a.Withdrawer.Has(r.ID) {
		out.Warnings = append(out.Warnings, fmt.Sprintf("key %s is withdrawn and stays so", r.ID))
	}
	a.audit("issueKey", r.Operation, string(r.ID), out)
	return out, nil
}

// edit enters the key; a key that is there already with the same digest needs no change.
func (r IssueRequest) edit(c *psversion.Content) (psdoc.Document, bool, pstoml.Findings) {
	d := documentOf(c, psdoc.IssuedKeys)
	next := psdoc.Key{ID: r.ID, Workspace: r.Workspace, Digest: r.Digest}
	if slices.Contains(d.Keys, next) {
		return psdoc.Document{}, false, nil
	}
	return psdoc.Document{Document: psdoc.IssuedKeys, Keys: append(slices.Clone(d.Keys), next)}, true, nil
}

// withdraw needs no platform: the set of withdrawn keys spreads from VM to VM.
func (a *API) withdraw(ctx context.Context, r WithdrawRequest) (WithdrawResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	confirmed, missing := a.Withdrawer.Withdraw(ctx, r.IDs...)
	p := a.Plans.Plan()
	unknown := lo.Reject(r.IDs, func(id psdoc.Name, _ int) bool {
		_, found := p.Key(id)
		return found
	})
	outcome := lo.Ternary(len(missing) == 0, OutcomeInForce, OutcomeAccepted)
	for _, id := range r.IDs {
		psevent.OperatorChange.Log(a.Logger, "withdrawKey", r.Author, "", string(id), string(outcome), p.Version)
	}
	return WithdrawResponse{VM: a.Self, Confirmed: confirmed, Missing: missing, Unknown: unknown}, nil
}

// withdrawnIn warns of withdrawn keys in operators' documents: they stay withdrawn.
func (a *API) withdrawnIn(put map[string]string) []string {
	var out []string
	for _, file := range slices.Sorted(maps.Keys(put)) {
		d, _ := psdoc.Parse(file, []byte(put[file]))
		if d == nil {
			continue
		}
		for i, k := range d.Keys {
			if a.Withdrawer.Has(k.ID) {
				out = append(out, d.Finding(fmt.Sprintf("keys[%d].id", i), fmt.Sprintf("key %q is withdrawn and stays so", k.ID)).String())
			}
		}
	}
	return out
}
