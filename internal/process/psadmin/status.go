package psadmin

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"

	"persimmonstep/internal/version/psdoc"
)

// StatusResponse says what runs where.
type StatusResponse struct {
	// VM is the answering VM.
	VM psdoc.Name `json:"vm"`
	// Version is the configuration version that it has in force.
	Version uint64 `json:"version"`
	// Confirmed and Missing list the VMs that answered that they have the version, and the others.
	Confirmed []psdoc.Name `json:"confirmed"`
	Missing   []psdoc.Name `json:"missing"`
}

func (a *API) registerStatus(h huma.API) {
	huma.Register(h, huma.Operation{OperationID: "status", Method: http.MethodGet, Path: "/v1/status", Summary: "Show what runs where"},
		func(ctx context.Context, _ *struct{}) (*output[StatusResponse], error) {
			version := a.Plans.Plan().Version
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			confirmed, missing := a.Confirmer.Confirm(ctx, version)
			return &output[StatusResponse]{StatusResponse{VM: a.Self, Version: version, Confirmed: confirmed, Missing: missing}}, nil
		})
}
