// Package psclaim runs a request at most once.
//
// A claim is a row in the platform's table that is inserted before an exclusive request is
// dispatched. The row's key is the request's workspace, route and Idempotency-Key, so that
// two VMs can never both dispatch a repeated request. The recorded answer is replayed to
// repeats.
package psclaim

import (
	"net/http"

	"persimmonstep/internal/version/psdoc"
)

// Request identifies an exclusive request.
type Request struct {
	// Workspace is the caller's workspace.
	Workspace psdoc.Name
	// Route is the request's route.
	Route psdoc.Name
	// Key is the caller's Idempotency-Key.
	Key string
	// Digest is that of the method, the target and the body.
	Digest psdoc.Digest
}

// Answer is a recorded answer.
type Answer struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// Header holds the end-to-end headers.
	Header http.Header `json:"header"`
	// Body is the whole body.
	Body []byte `json:"body"`
}

// Result is what a claim allows: [Run] or [Replay].
type Result interface {
	result()
}

// Run lets the request run. Exactly one of its functions must be called.
type Run struct {
	// Release gives the claim up because the request certainly did not run.
	Release func()
	// Finish records the answer for repeats.
	Finish func(Answer)
	// Abandon leaves the outcome unknown for ever.
	Abandon func()
}

// Replay answers a repeat with the recorded answer.
type Replay struct {
	// Answer is the recorded answer.
	Answer Answer
}

func (Run) result()    {}
func (Replay) result() {}
