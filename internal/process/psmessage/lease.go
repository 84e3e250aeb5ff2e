package psmessage

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Lease is a VM's statement about its part of the fleet's limits, and about the VMs to which it lends that part. Its tags are
// short because each report carries one.
type Lease struct {
	// Parts is the number of equal parts into which the VM divides each limit, and Owners identifies the VMs that own one, or
	// may soon own one; 0 if they are those of Group.
	Parts  int    `json:"p"`
	Owners uint32 `json:"o,omitempty"`
	// PartsAge is how long ago, in milliseconds, some VM counted that many owners.
	PartsAge int64 `json:"pa,omitempty"`
	// FormerParts is the number of parts by which the VM still decides how limits are shared; 0 if it goes by Parts.
	FormerParts int `json:"fp,omitempty"`
	// Guest is set if none of the parts is the VM's own, since other VMs may not count it as an owner yet.
	Guest bool `json:"guest,omitempty"`
	// Ended is set in the last reports of a VM that ends: it uses nothing of the limits any more. Heir is the VM to which it
	// has left its part; empty if there is none.
	Ended bool   `json:"ended,omitempty"`
	Heir  string `json:"heir,omitempty"`
	// Alone is set while no other VM lends its part to this one.
	Alone bool `json:"alone,omitempty"`
	// Earlier is set while the VM knows one of an earlier build, and splits rates as that does.
	Earlier bool `json:"earlier,omitempty"`
	// Group identifies the VMs that may borrow the VM's part, itself included.
	Group uint32 `json:"g"`
	// Settled states that all members of the group must know of its last change.
	Settled bool `json:"s,omitempty"`
	// Excluded are the known VMs that aren't in the group.
	Excluded Names `json:"excluded,omitzero"`
	// Silent are the VMs of the group that the VM doesn't hear. They must not borrow its part now.
	Silent Names `json:"silent,omitzero"`
	// Lag is the age of the oldest report, in milliseconds, of those VMs that the VM hears.
	Lag int64 `json:"l"`
}

// Names is a set of VMs: single ones, and all of some failure domains.
type Names struct {
	VMs            []string `json:"vms,omitempty"`
	FailureDomains []string `json:"failureDomains,omitempty"`
}

// Has reports whether the set has a VM.
func (n Names) Has(i Identity) bool {
	return slices.Contains(n.VMs, i.VM) || slices.Contains(n.FailureDomains, i.FailureDomain)
}

// OwnersHash identifies the VMs that own a part, or may soon own one.
func (l *Lease) OwnersHash() uint32 {
	if l.Owners == 0 {
		return l.Group
	}
	return l.Owners
}

// LagTime returns the age of the oldest report of the VMs that the sender hears.
func (l *Lease) LagTime() time.Duration { return time.Duration(l.Lag) * time.Millisecond }

// PartsAgeTime returns how long ago some VM counted as many owners as there are parts.
func (l *Lease) PartsAgeTime() time.Duration { return time.Duration(l.PartsAge) * time.Millisecond }

// The ranges of a lease's fields.
const (
	// maxParts is far above the number of VMs of a fleet.
	maxParts = 1 << 20
	// maxLag is the longest lag or age, in milliseconds, that a VM can state.
	maxLag = 24 * 60 * 60 * 1000
)

// Check validates a decoded lease.
func (l *Lease) Check() error {
	if l.Parts < 1 || l.Parts > maxParts || l.FormerParts < 0 || l.FormerParts > maxParts || l.Lag < 0 || l.Lag > maxLag || l.PartsAge < 0 || l.PartsAge > maxLag {
		return errors.New("check lease: parts, lag or age is out of range")
	}
	return nil
}
