package psmessage

import (
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/pslimit"
	"persimmonstep/internal/process/psserver"
)

// ServerLimit is what a VM knows of the limit of a backend server.
type ServerLimit struct {
	psserver.Run
	Limit pslimit.Limit `json:"limit,omitzero"`
	// Age is the time since a response to the VM, or to one that it learned from, confirmed the limit.
	Age time.Duration `json:"age"`
}

// Check validates a decoded limit.
func (l ServerLimit) Check() error {
	if l.Age < 0 {
		return errors.New("check limit of a server: age is negative")
	}
	return l.Limit.Check()
}

// TokenRequest asks the VM that owns the tokens of a workspace, or of a server's limit, for one of them.
type TokenRequest struct {
	Workspace string `json:"workspace,omitempty"`
	// Backup is set if the primary owner didn't answer and the receiver is asked as the backup.
	Backup bool `json:"second,omitempty"`
	// Late is set if the caller is retrying and can't be answered within its latency target any more.
	Late bool `json:"late,omitempty"`
	// Ahead is set if the sender can hold a second token of the workspace, for its next request.
	Ahead bool `json:"ahead,omitempty"`
	// Refill is set if only the token for the next request is asked for, because the one that was held has been used, and
	// Returned if that has expired unused.
	Refill   bool `json:"refill,omitempty"`
	Returned bool `json:"returned,omitempty"`
	// Server is the server whose tokens are requested, with what the sender knows of its limit; nil if the request
	// is for a workspace.
	Server *ServerLimit `json:"server,omitempty"`
	// Service is the service of the server.
	Service string `json:"service,omitempty"`
	// Wanted is the number of requests that the sender would have sent to the server since its last request for a
	// token, this one included.
	Wanted int `json:"wanted,omitempty"`
}

// Check validates a decoded request.
func (r TokenRequest) Check() error {
	if r.Server == nil {
		return nil
	}
	if r.Wanted < 1 {
		return errors.New("check token request: no request is wanted")
	}
	return r.Server.Check()
}

// TokenResponse answers a [TokenRequest].
type TokenResponse struct {
	Granted bool `json:"granted"`
	// NotOwner is set if the VM doesn't own the tokens now.
	NotOwner bool `json:"notOwner,omitempty"`
	// Wait is the time until the next token is available.
	Wait time.Duration `json:"wait,omitempty"`
	// Excess is set if the demand has exceeded the rate for a sustained time.
	Excess bool `json:"excess,omitempty"`
	// Ahead is set if the sender of the request may hold a token for its next request.
	Ahead bool `json:"ahead,omitempty"`
	// Server is what the owner knows of the server's limit; nil if that is what the request said, or the owner doesn't
	// know the server.
	Server *ServerLimit `json:"server,omitempty"`
	// Fraction is the fraction in 0..1 of the requests that the VMs want to send to the server for which they should
	// request tokens.
	Fraction float64 `json:"fraction,omitempty"`
}

// Check validates a decoded response.
func (r TokenResponse) Check() error {
	if !(r.Fraction >= 0 && r.Fraction <= 1) {
		return errors.New("check token response: fraction is out of range")
	}
	if r.Server == nil {
		return nil
	}
	return r.Server.Check()
}
