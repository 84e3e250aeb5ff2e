// Package psadmin is the read-only HTTP API of a VM for operators: its state and its metrics.
//
// Operators make changes through the platform's store instead, so that each change reaches every VM.
package psadmin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/pkg/errors"

	"persimmonstep/internal/process/psstate"
)

const (
	// PathState is the path of a VM's state.
	PathState = "/state"
	// PathMetrics is the path of a VM's metrics.
	PathMetrics = "/metrics"
	// callTimeout bounds a call to a VM, including its response.
	callTimeout = 5 * time.Second
)

// Handler returns the handler of the API. The part that serves the state is built at the first request for it, so
// that it does not delay the start of a VM.
func Handler(state func() psstate.State, metrics http.Handler) http.Handler {
	api := sync.OnceValue(func() http.Handler { return newAPI(state) })
	mux := http.NewServeMux()
	mux.Handle(PathMetrics, metrics)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { api().ServeHTTP(w, r) })
	return mux
}

// stateOutput is the response with the state.
type stateOutput struct {
	Body psstate.State
}

func newAPI(state func() psstate.State) http.Handler {
	mux := http.NewServeMux()
	api := humago.New(mux, huma.DefaultConfig("persimmonstep", "1"))
	o := huma.Operation{OperationID: "state", Method: http.MethodGet, Path: PathState, Summary: "What the VM believes"}
	huma.Register(api, o, func(context.Context, *struct{}) (*stateOutput, error) { return &stateOutput{state()}, nil })
	return mux
}

// FetchState returns the state of the VM whose operator address is the given one.
func FetchState(ctx context.Context, at netip.AddrPort) (psstate.State, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+PathState, nil)
	if err != nil {
		return psstate.State{}, errors.Wrap(err, "fetch state")
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return psstate.State{}, errors.Wrap(err, "fetch state")
	}
	defer response.Body.Close() //nolint:errcheck // the body was read
	if response.StatusCode != http.StatusOK {
		return psstate.State{}, errors.Errorf("fetch state from %s: status %d", at, response.StatusCode)
	}
	var s psstate.State
	return s, errors.Wrap(json.NewDecoder(response.Body).Decode(&s), "decode state")
}
