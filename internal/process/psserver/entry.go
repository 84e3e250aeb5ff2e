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
	"strings"
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

// The ranges of an entry's fields. Entries beyond them have another writer than a backend server. Without a bound, one
// of them would attract all requests, stay cold forever, or make all later entries of its server look outdated.
const (
	maxSlots = 1 << 12
	maxCold  = time.Hour
	// maxSequence leaves room for servers that number their heartbeats by the time in nanoseconds.
	maxSequence = 1 << 62
	// maxNameBytes is the length of the longest key of the store, in bytes.
	maxNameBytes = 200
)

// minIncarnation and maxIncarnation bound the start time of a server.
var (
	minIncarnation = time.Unix(0, 0)
	maxIncarnation = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)
)

// Check validates a decoded entry.
func (e Entry) Check() error {
	if !validID(e.ID) {
		return errors.Errorf("check server entry: id is missing or invalid: %.50q", e.ID)
	}
	for _, name := range []string{e.Service, e.FailureDomain} {
		if name == "" || len(name) > maxNameBytes {
			return errors.New("check server entry: service or failure domain is missing or too long")
		}
	}
	if err := checkAddress(e.Address); err != nil {
		return err
	}
	switch {
	case e.Slots <= 0 || e.Slots > maxSlots || e.ColdFor < 0 || e.ColdFor > maxCold || e.State > Draining:
		return errors.New("check server entry: slots, cold time or state is out of range")
	case e.Sequence < 0 || e.Sequence > maxSequence:
		return errors.New("check server entry: sequence is out of range")
	case !e.Incarnation.IsZero() && (e.Incarnation.Before(minIncarnation) || e.Incarnation.After(maxIncarnation)):
		return errors.New("check server entry: start time is out of range")
	}
	return nil
}

// validID reports whether an id consists of visible ASCII characters, so that it can be sent in a header.
func validID(id string) bool {
	hidden := func(c rune) bool { return c <= ' ' || c > '~' }
	return id != "" && len(id) <= maxNameBytes && !strings.ContainsFunc(id, hidden)
}

// checkAddress reports an address at which no server can listen.
func checkAddress(a netip.AddrPort) error {
	ip := a.Addr()
	switch {
	case !a.IsValid() || a.Port() == 0:
		return errors.New("check server entry: address is missing or has no port")
	case ip.Zone() != "" || ip.IsUnspecified() || ip.IsMulticast() || ip == broadcast:
		return errors.Errorf("check server entry: no server can listen at %s", a)
	}
	return nil
}

// broadcast is the address of all hosts of the local network.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})
