// Package psmessage holds the messages that VMs exchange: reports, digests of reports, notices of changes in the store,
// requests for tokens, and the control state that a VM serves to others.
//
// VMs of two builds run side by side during an upgrade, so a field keeps its name and meaning, and an earlier build must be
// able to ignore a new one. The tests decode the messages of earlier builds.
package psmessage

import (
	"math"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Identity names the process of a VM, its location and its addresses, as published in the store.
type Identity struct {
	VM            string         `json:"vm"`
	FailureDomain string         `json:"failureDomain,omitempty"`
	Region        string         `json:"region,omitempty"`
	CallerAddress netip.AddrPort `json:"callers,omitzero"`
	PeerAddress   netip.AddrPort `json:"peers,omitzero"`
	// Link is the capacity of the VM's network link in each direction, in Mbit/s.
	Link float64 `json:"link,omitempty"`
	// Incarnation is the start time of the process, in milliseconds since the Unix epoch. It grows with each restart.
	Incarnation int64 `json:"incarnation"`
	// Features are what the build of the VM can do for others.
	Features Features `json:"features,omitempty"`
}

// Before orders the VMs of a region or failure domain in the same way on all VMs. The first live VM
// acts for the others, so VMs with larger network links come first.
func (i Identity) Before(other Identity) bool {
	if i.Link != other.Link {
		return i.Link > other.Link
	}
	return i.VM < other.VM
}

// maxDistance is the largest distance of two VMs.
const maxDistance = 2

// Distance returns the distance of the VM from a location: 0 within a failure domain, 1 within a region and 2 between
// regions.
func (i Identity) Distance(failureDomain, region string) int {
	switch {
	case i.FailureDomain == failureDomain:
		return 0
	case i.Region == region:
		return 1
	}
	return maxDistance
}

// The ranges of an identity's fields. An identity with a later incarnation would hide all reports of its VM, and one with
// a faster link would make it the relay of its region.
const (
	// maxLink is the fastest network link, in Mbit/s.
	maxLink = 10_000_000
	// maxPeerPort leaves room for the ports of a VM that follow the one for messages.
	maxPeerPort = math.MaxUint16 - 8
	// maxSequence is reached after thousands of years of reports.
	maxSequence = 1 << 40
)

// maxIncarnation is the latest start of a process.
var maxIncarnation = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()

// Check validates a decoded identity.
func (i Identity) Check() error {
	if i.VM == "" || i.FailureDomain == "" || i.Region == "" || !i.CallerAddress.IsValid() || !i.PeerAddress.IsValid() {
		return errors.New("check VM identity: a field is missing")
	}
	if i.CallerAddress.Port() == 0 || i.PeerAddress.Port() == 0 || i.PeerAddress.Port() > maxPeerPort || i.Link < 0 || i.Link > maxLink {
		return errors.New("check VM identity: a port or the link is out of range")
	}
	return i.checkIncarnation()
}

func (i Identity) checkIncarnation() error {
	if i.Incarnation < 0 || i.Incarnation > maxIncarnation {
		return errors.New("check VM identity: incarnation is out of range")
	}
	return nil
}

// Brief returns the fields that identify the VM's process. Receivers add the others from the last full
// identity.
func (i Identity) Brief() Identity { return Identity{VM: i.VM, Incarnation: i.Incarnation} }

// IsBrief reports whether the identity has only these fields.
func (i Identity) IsBrief() bool { return i.VM != "" && i.Incarnation != 0 && i == i.Brief() }
