package psadmin

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"persimmonstep/internal/process/psquarantine"
)

// Quarantine lists and clears the requests that take down backend servers.
type Quarantine interface {
	List() []psquarantine.Listed
	// Clear returns a channel that is closed when the other VMs were told; it reports false
	// where the request is not known.
	Clear(f psquarantine.Fingerprint) (<-chan struct{}, bool)
}

// QuarantineResponse lists the suspect and quarantined requests that a VM knows.
type QuarantineResponse struct {
	Requests []psquarantine.Listed `json:"requests"`
}

// ClearResponse answers a clearance.
type ClearResponse struct {
	// Told says that the VM has told the others; those that it could not reach learn later.
	Told bool `json:"told"`
}

// clearTimeout bounds the wait until the other VMs are told.
const clearTimeout = time.Second

func (a *API) registerQuarantine(h huma.API) {
	registerList(h, "quarantine", "/v1/quarantine", "List suspect and quarantined requests",
		func(context.Context) (QuarantineResponse, error) {
			return QuarantineResponse{Requests: a.Quarantine.List()}, nil
		})
	type path struct {
		Fingerprint string `path:"fingerprint"`
	}
	huma.Register(h, huma.Operation{OperationID: "clearQuarantine", Method: http.MethodDelete, Path: "/v1/quarantine/{fingerprint}", Summary: "Let a quarantined request run again"},
		func(ctx context.Context, in *path) (*output[ClearResponse], error) {
			out, err := a.clearQuarantine(ctx, in.Fingerprint)
			return &output[ClearResponse]{out}, err
		})
}

func (a *API) clearQuarantine(ctx context.Context, text string) (ClearResponse, error) {
	var f psquarantine.Fingerprint
	if err := f.UnmarshalText([]byte(text)); err != nil {
		return ClearResponse{}, huma.Error422UnprocessableEntity(err.Error())
	}
	told, found := a.Quarantine.Clear(f)
	if !found {
		return ClearResponse{}, huma.Error404NotFound("no such request is suspect or quarantined")
	}
	ctx, cancel := context.WithTimeout(ctx, clearTimeout)
	defer cancel()
	select {
	case <-told:
		return ClearResponse{Told: true}, nil
	case <-ctx.Done():
		return ClearResponse{}, nil
	}
}
