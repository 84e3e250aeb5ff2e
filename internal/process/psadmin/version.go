package psadmin

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/pstoml"
	"persimmonstep/internal/version/psversion"
)

// Operation identifies a change and who makes it.
type Operation struct {
	// OperationID makes the change idempotent.
	OperationID string `json:"operationId" minLength:"1" maxLength:"100" pattern:"^[A-Za-z0-9._-]+$"`
	// Author names the operator.
	Author string `json:"author" maxLength:"100"`
}

// ApplyRequest is an operator's change of the configuration.
type ApplyRequest struct {
	Operation
	// Base is the version that the operator looked at; 0 takes the latest.
	Base uint64 `json:"base,omitempty"`
	// Put holds documents by file name.
	Put map[string]string `json:"put,omitempty"`
	// Remove names documents to take out.
	Remove []psdoc.Name `json:"remove,omitempty"`
}

// ApplyOutcome says how a change ended.
type ApplyOutcome string

const (
	// OutcomeInForce says that every VM has the version in force.
	OutcomeInForce ApplyOutcome = "inForce"
	// OutcomeFindings says that the configuration has faults and nothing changed.
	OutcomeFindings ApplyOutcome = "findings"
	// OutcomeConflict says that another apply came first and nothing changed.
	OutcomeConflict ApplyOutcome = "conflict"
	// OutcomeUnknown says that the platform's answer was lost.
	OutcomeUnknown ApplyOutcome = "unknown"
	// OutcomeAccepted says that some VMs have not confirmed the version yet.
	OutcomeAccepted ApplyOutcome = "accepted"
	// OutcomeUnavailable says that the platform is down and nothing changed.
	OutcomeUnavailable ApplyOutcome = "unavailable"
)

// ApplyResponse answers a change.
type ApplyResponse struct {
	Outcome   ApplyOutcome    `json:"outcome"`
	Head      psversion.Head  `json:"head"`
	Findings  pstoml.Findings `json:"findings,omitempty"`
	Confirmed []psdoc.Name    `json:"confirmed,omitempty"`
	Missing   []psdoc.Name    `json:"missing,omitempty"`
	Detail    string          `json:"detail,omitempty"`
	// Warnings tells what an operator may not expect of a change that was made.
	Warnings []string `json:"warnings,omitempty"`
}

// HistoryResponse lists versions, the newest first.
type HistoryResponse struct {
	Versions []psversion.Head `json:"versions"`
}

func (a *API) registerVersions(h huma.API) {
	register(h, "apply", http.MethodPost, "/v1/apply", "Apply documents as a whole", a.apply)
	type page struct {
		Limit int `query:"limit" default:"20" minimum:"1" maximum:"200"`
	}
	huma.Register(h, huma.Operation{OperationID: "history", Method: http.MethodGet, Path: "/v1/history", Summary: "List configuration versions"},
		func(ctx context.Context, in *page) (*output[HistoryResponse], error) {
			versions, err := a.Versions.History(ctx, in.Limit)
			if err != nil {
				return nil, huma.Error503ServiceUnavailable("the history could not be read", err)
			}
			return &output[HistoryResponse]{HistoryResponse{Versions: versions}}, nil
		})
}

// apply carries out an operator's documents together with what they make of the reserved ones.
func (a *API) apply(ctx context.Context, r ApplyRequest) (ApplyResponse, error) {
	out := a.tryApply(ctx, r)
	a.audit("apply", r.Operation, "", out)
	return out, nil
}

func (a *API) tryApply(ctx context.Context, r ApplyRequest) ApplyResponse {
	if findings := ReservedFindings(r.Put, r.Remove); len(findings) > 0 {
		return ApplyResponse{Outcome: OutcomeFindings, Findings: findings}
	}
	latest, content, err := a.latest(ctx)
	if err != nil {
		return applyFailure(err)
	}
	put, warnings := a.prune(content, r)
	base := r.Base
	if len(put) > len(r.Put) && base == 0 {
		// The reserved documents were changed as this version had them.
		base = latest.Version
	}
	out := a.commit(ctx, psversion.Change{
		OperationID: r.OperationID, Author: r.Author, Base: base, Put: put, Remove: r.Remove,
	})
	out.Warnings = append(warnings, a.withdrawnIn(r.Put)...)
	return out
}

// latest returns the latest version with its content.
func (a *API) latest(ctx context.Context) (psversion.Head, *psversion.Content, error) {
	head, err := a.Versions.Latest(ctx)
	if err != nil {
		return head, nil, err
	}
	content, err := a.Versions.Load(ctx, head)
	return head, content, err
}

// commit applies a change and waits for the VMs.
func (a *API) commit(ctx context.Context, c psversion.Change) ApplyResponse {
	head, err := a.Versions.Apply(ctx, c)
	if err != nil {
		return applyFailure(err)
	}
	return a.confirm(ctx, head)
}

func (a *API) confirm(ctx context.Context, head psversion.Head) ApplyResponse {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	confirmed, missing := a.Confirmer.Confirm(ctx, head.Version)
	return ApplyResponse{
		Outcome: lo.Ternary(len(missing) == 0, OutcomeInForce, OutcomeAccepted),
		Head:    head, Confirmed: confirmed, Missing: missing,
	}
}

func applyFailure(err error) ApplyResponse {
	var findings pstoml.Findings
	var conflict *psversion.ConflictError
	switch {
	case errors.As(err, &findings):
		return ApplyResponse{Outcome: OutcomeFindings, Findings: findings}
	case errors.As(err, &conflict):
		return ApplyResponse{Outcome: OutcomeConflict, Head: conflict.Winner, Detail: err.Error()}
	case psplatform.IsUnknown(err):
		return ApplyResponse{Outcome: OutcomeUnknown, Detail: err.Error()}
	}
	return ApplyResponse{Outcome: OutcomeUnavailable, Detail: err.Error()}
}

// audit logs a change.
func (a *API) audit(operation string, o Operation, target string, r ApplyResponse) {
	psevent.OperatorChange.Log(a.Logger, operation, o.Author, o.OperationID, target, string(r.Outcome), r.Head.Version)
}
