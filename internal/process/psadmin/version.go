package psadmin

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/pstoml"
	"persimmonstep/internal/version/psversion"
)

// ApplyRequest is an operator's change of the configuration.
type ApplyRequest struct {
	// OperationID makes the apply idempotent.
	OperationID string `json:"operationId" minLength:"1" maxLength:"100"`
	// Author names the operator.
	Author string `json:"author" maxLength:"100"`
	// Base is the version that the operator looked at; 0 takes the latest.
	Base uint64 `json:"base,omitempty"`
	// Put holds documents by file name.
	Put map[string]string `json:"put,omitempty"`
	// Remove names documents to take out.
	Remove []psdoc.Name `json:"remove,omitempty"`
}

// ApplyOutcome says how an apply ended.
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

// ApplyResponse answers an apply.
type ApplyResponse struct {
	Outcome   ApplyOutcome    `json:"outcome"`
	Head      psversion.Head  `json:"head"`
	Findings  pstoml.Findings `json:"findings,omitempty"`
	Confirmed []psdoc.Name    `json:"confirmed,omitempty"`
	Missing   []psdoc.Name    `json:"missing,omitempty"`
	Detail    string          `json:"detail,omitempty"`
}

// HistoryResponse lists versions, the newest first.
type HistoryResponse struct {
	Versions []psversion.Head `json:"versions"`
}

// output wraps a body as huma wants it.
type output[T any] struct {
	Body T
}

// input wraps a body as huma wants it.
type input[T any] struct {
	Body T
}

func (a *API) registerVersions(h huma.API) {
	huma.Register(h, huma.Operation{OperationID: "apply", Method: http.MethodPost, Path: "/v1/apply", Summary: "Apply documents as a whole"},
		func(ctx context.Context, in *input[ApplyRequest]) (*output[ApplyResponse], error) {
			return &output[ApplyResponse]{a.apply(ctx, in.Body)}, nil
		})
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

func (a *API) apply(ctx context.Context, r ApplyRequest) ApplyResponse {
	head, err := a.Versions.Apply(ctx, psversion.Change{
		OperationID: r.OperationID, Author: r.Author, Base: r.Base, Put: r.Put, Remove: r.Remove,
	})
	if err != nil {
		return applyFailure(err)
	}
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
