// Package pscredit moves slots of backend servers between VMs.
//
// A VM whose requests find no slot asks the owners of other servers for a loan, the nearest
// first. The owner lowers its own limit before it answers, so that a lost answer wastes
// slots for a while and never creates any. Loans in use are renewed ahead of their term and
// returned when idle. A VM that starts asks the others what an earlier process of its name
// lent to them, and uses none of its own slots until it knows.
package pscredit

import (
	"encoding/json"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/pspool"
	"persimmonstep/internal/version/psdoc"
)

// Methods of the peer protocol.
const (
	methodBorrow  = "slots.borrow"
	methodSettle  = "slots.settle"
	methodHeld    = "slots.held"
	methodRunning = "slots.running"
	methodOffer   = "slots.offer"
	methodLeave   = "slots.leave"
)

// maxWant bounds the slots that one call asks for.
const maxWant = 256

// borrowRequest asks for slots of a pool.
type borrowRequest struct {
	Pool psdoc.Name `json:"pool"`
	Want int        `json:"want"`
}

// UnmarshalJSON reads and checks the request.
func (r *borrowRequest) UnmarshalJSON(data []byte) error {
	type plain borrowRequest
	if err := json.Unmarshal(data, (*plain)(r)); err != nil {
		return err
	}
	if r.Pool == "" || r.Want < 1 || r.Want > maxWant {
		return errors.Errorf("a loan needs a pool and from 1 to %d slots", maxWant)
	}
	return nil
}

// borrowResponse carries the loans.
type borrowResponse struct {
	Grants []pspool.Grant `json:"grants,omitempty"`
	// Spare is the number of slots that the lender could still lend.
	Spare int `json:"spare"`
}

// settleRequest renews and returns loans.
type settleRequest struct {
	Renew  []pspool.Held    `json:"renew,omitempty"`
	Return []pspool.GrantID `json:"return,omitempty"`
}

// settleResponse gives the renewed sizes; a loan that is missing was not renewed.
type settleResponse struct {
	Renewed []renewal `json:"renewed,omitempty"`
}

// renewal is the new size of a loan.
type renewal struct {
	ID    pspool.GrantID `json:"id"`
	Slots int            `json:"slots"`
}

// heldResponse lists the loans that the asking VM, or an earlier process of its name, gave.
type heldResponse struct {
	Held []pspool.Held `json:"held,omitempty"`
	// Version is the configuration version that the answering VM has in force.
	Version uint64 `json:"version"`
	// Running counts the requests that it runs on slots that belong to the asking VM.
	Running int `json:"running"`
}

// runningResponse counts the requests that run on adopted slots of the asking VM.
type runningResponse struct {
	Running int `json:"running"`
}

// offerResponse opens a short time in which the asking VM may leave its slots.
type offerResponse struct {
	// Ticket must come back with what is left.
	Ticket uint64 `json:"ticket"`
}

// leaveRequest leaves the slots of a stopping VM to its guardian.
type leaveRequest struct {
	Ticket uint64           `json:"ticket"`
	Left   []pspool.Bequest `json:"left"`
}
