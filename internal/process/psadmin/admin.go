// Package psadmin serves operators of one VM: what it believes, and its metrics.
//
// It only reads. What operators want is written to the platform's store.
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
	// PathState is where a VM serves its state.
	PathState = "/state"
	// PathMetrics is where a VM serves its metrics.
	PathMetrics = "/metrics"
	// callTimeout bounds a call to a VM.
	callTimeout = 5 * time.Second
)

// Handler serves operators. The API is built with the first call for a state, so that a VM
// that starts doesn't wait for it.
func Handler(state func() psstate.State, metrics http.Handler) http.Handler {
	api := sync.OnceValue(func() http.Handler { return newAPI(state) })
	mux := http.NewServeMux()
	mux.Handle(PathMetrics, metrics)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { api().ServeHTTP(w, r) })
	return mux
}

// stateOutput is the answer to a call for the state.
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

// Ask returns the state of the VM that serves operators at an address.
func FetchState(ctx context.Context, at netip.AddrPort) (psstate.State, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+PathState, nil)
	if err != nil {
		return psstate.State{}, errors.Wrap(err, "ask for the state")
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return psstate.State{}, errors.Wrap(err, "ask for the state")
	}
	defer answer.Body.Close() //nolint:errcheck // the body was read
	if answer.StatusCode != http.StatusOK {
		return psstate.State{}, errors.Errorf("ask %s for the state: status %d", at, answer.StatusCode)
	}
	var s psstate.State
	return s, errors.Wrap(json.NewDecoder(answer.Body).Decode(&s), "decode the state")
}
