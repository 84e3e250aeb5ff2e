// Package psproblem answers refusals as RFC 9457 problem details.
//
// Every refusal states whether the request ran. "no" is said only where no byte of the
// request can have reached a backend server, or where a backend server itself said that
// it shed the request unrun; everything else is "unknown".
package psproblem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Ran says whether a refused request ran.
type Ran string

const (
	// RanNo says that the request certainly did not run.
	RanNo Ran = "no"
	// RanUnknown says that the request may have run.
	RanUnknown Ran = "unknown"
)

// HeaderRan carries the same word as the body's member ran.
const HeaderRan = "Persimmonstep-Ran"

// Problem is a refusal. It is an error.
type Problem struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// Title is the status text.
	Title string `json:"title"`
	// Code names the reason for programs.
	Code string `json:"code"`
	// Detail explains the reason to people.
	Detail string `json:"detail"`
	// Ran says whether the request ran.
	Ran Ran `json:"ran"`

	// RetryAfter tells the caller when to come back; 0 gives no advice.
	RetryAfter time.Duration `json:"-"`
}

// New makes a refusal of a request that did not run.
func New(status int, code, detail string) *Problem {
	return &Problem{Status: status, Title: http.StatusText(status), Code: code, Detail: detail, Ran: RanNo}
}

// Unknown makes a refusal of a request that may have run.
func Unknown(status int, code, detail string) *Problem {
	p := New(status, code, detail)
	p.Ran = RanUnknown
	return p
}

// After sets the advice when to come back.
func (p *Problem) After(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// Error gives the code and the detail.
func (p *Problem) Error() string {
	return p.Code + ": " + p.Detail
}

// Body is the refusal as problem details.
func (p *Problem) Body() []byte {
	text, err := json.Marshal(p)
	if err != nil {
		panic("psproblem: " + err.Error())
	}
	return append(text, '\n')
}

// Write answers a call with the refusal.
func (p *Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderRan, string(p.Ran))
	if p.RetryAfter > 0 {
		// Retry-After counts whole seconds.
		seconds := (p.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(p.Body())
}
