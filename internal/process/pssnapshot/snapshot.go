// Package pssnapshot is a VM's view of the system at one point in time, by which it routes requests.
//
// The control plane, package pscontrol, publishes an immutable [Snapshot] after each change. Requests read it without
// locks; what servers report about themselves in the meantime, and that they are no longer registered, is newer.
package pssnapshot

import (
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/pslease"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/psrevision"
)

// Snapshot is a VM's view of the system at one point in time.
type Snapshot struct {
	// Index is the configuration in force; nil before the first.
	Index *psconfig.Index
	// Servers lists the registered servers of each service.
	Servers map[string][]*psserver.Server
	// ServersReadAt is when the servers were last read from the store, by this or another VM.
	ServersReadAt time.Time
	// Evacuated is the set of failure domains whose servers get no requests.
	Evacuated map[string]bool
	// Holding is what this VM may use of the fleet's limits.
	Holding pslease.Holding
	// RateShares holds this VM's share in 0..1 of each workspace's rate.
	RateShares map[string]float64
	// RecentVMs lists this VM and those that were heard or discovered recently.
	RecentVMs []psmessage.Identity
	// PropagationTime is the time within which a VM's report reaches all VMs.
	PropagationTime time.Duration
	// RelaysStore is set if this VM relays store changes to the others of its region.
	RelaysStore bool
	// DesiredStateRevision is the store revision of the latest change of the desired state, and ServersRevision that
	// of the servers.
	DesiredStateRevision, ServersRevision psrevision.Revision
	// NewerVM is a live VM that has had a newer configuration for some time; nil if there is none.
	NewerVM *psmessage.Identity
	// Changes increases whenever the state changes that this VM sends to others.
	Changes int64
	// StoreReaders lists the other VMs that read the store.
	StoreReaders []psmessage.Identity
	// NoServers is set if this VM has lost its links to all backend servers. Helpers are then the other VMs that reach
	// servers, the nearest first.
	NoServers bool
	Helpers   []psmessage.Identity
	// FleetSize is the number of known VMs, this one included.
	FleetSize int
	// VMs lists the VMs that take callers, this one first.
	VMs []VM
}

// CanServe reports whether the VM has the state to serve requests: a configuration and the servers.
func (s *Snapshot) CanServe() bool { return s.Index != nil && !s.ServersReadAt.IsZero() }

// HasPeer reports whether an address is that of another VM.
func (s *Snapshot) HasPeer(a netip.Addr) bool {
	return slices.ContainsFunc(s.RecentVMs, func(i psmessage.Identity) bool { return i.PeerAddress.Addr() == a })
}

// NewVM returns the VM with an identity. noServers states that it has lost its links to all backend servers.
func NewVM(i psmessage.Identity, noServers bool) VM {
	return VM{Name: i.VM, Region: i.Region, FailureDomain: i.FailureDomain, Callers: i.CallerAddress.String(), NoServers: noServers}
}

// VM is a VM that takes callers.
type VM struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	Callers       string `json:"callers"`
	// NoServers is set if the VM has lost its links to all backend servers.
	NoServers bool `json:"noServers,omitempty"`
}

// Eras returns the eras of the store from which the desired state and the servers were read. The era increases each
// time the store is restored from a backup.
func (s *Snapshot) Eras() (desiredState, servers int64) {
	return s.DesiredStateRevision.Era, s.ServersRevision.Era
}

// ControlState returns the state for other VMs. The snapshot must have a configuration.
func (s *Snapshot) ControlState(now time.Time) psmessage.ControlState {
	state := psmessage.ControlState{
		Configuration: s.Index.Configuration, Evacuated: lo.Keys(s.Evacuated),
		DesiredStateRevision: s.DesiredStateRevision, ServersRevision: s.ServersRevision, Age: now.Sub(s.ServersReadAt),
	}
	for _, list := range s.Servers {
		state.Servers = append(state.Servers, lo.Map(list, func(v *psserver.Server, _ int) psserver.Entry { return v.Entry() })...)
	}
	return state
}
