// Package psserver holds one VM's view of a backend server.
//
// An [Entry] is the server's registration in the store. A [Server] adds what this VM measures itself: its
// requests in flight, the load that responses report, failure rate, slowness, lag and cache hit rates.
//
// A VM sees only its own share of a server's traffic, and most of what it knows of a server in a large fleet
// is old. Measurements therefore decay exponentially towards a neutral value, so that a server that was
// overloaded, slow or failing is tried again without a separate reset.
package psserver

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// State is the state that a server registers for itself.
type State uint8

const (
	// Ready servers take requests.
	Ready State = iota
	// Draining servers finish their requests and take no new ones.
	Draining
)

// Entry is a registered backend server.
type Entry struct {
	// ID identifies the server. ID and Incarnation together identify one run of it.
	ID string `json:"id"`
	// Incarnation is the server's start time. It differs after a restart under the same id.
	Incarnation   time.Time      `json:"incarnation"`
	Service       string         `json:"service"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain string         `json:"failureDomain"`
	Slots         int            `json:"slots"`
	State         State          `json:"state"`
	// ColdFor is the remaining time for which the server is cold, that is, warms up and takes a reduced load.
	ColdFor time.Duration `json:"coldFor"`
	// Sequence increases with each heartbeat of one incarnation.
	Sequence int64 `json:"sequence"`
}

// Run returns the run of the server that wrote the entry.
func (e Entry) Run() Run { return Run{ID: e.ID, Incarnation: e.Incarnation.UnixMilli()} }

// Run identifies one run of a backend server, from its start until it ends.
type Run struct {
	ID string `json:"id"`
	// Incarnation is the start time, in milliseconds since the Unix epoch.
	Incarnation int64 `json:"incarnation"`
}

// Check validates a decoded entry.
func (e Entry) Check() error {
	switch {
	case e.ID == "" || e.Service == "" || e.FailureDomain == "":
		return errors.New("check server entry: id, service or failure domain is missing")
	case !e.Address.IsValid():
		return errors.New("check server entry: address is missing")
	case e.Slots <= 0 || e.ColdFor < 0 || e.State > Draining:
		return errors.New("check server entry: slots, cold time or state is out of range")
	}
	return nil
}
