package pscontrol

import (
	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/psshare"
)

// ColdShare returns this VM's share of the rate that a cold server takes, and whether this VM may send it
// requests. Only a few VMs do; all VMs select them by the same deterministic rule.
func (s *Snapshot) ColdShare(server psserver.Entry) (psserver.ColdShare, bool) {
	if s.Index == nil {
		return psserver.ColdShare{}, false
	}
	service, found := s.Index.Service(server.Service)
	if !found || service.ColdPerSecond <= 0 {
		return psserver.ColdShare{}, false
	}
	vms, own := psshare.ColdSenders(server.ID, s.shareHolders)
	return psserver.ColdShare{PerSecond: service.ColdPerSecond / float64(vms), Burst: 1}, own
}

// TokenOwners returns the VMs that own the rate-limit tokens of a workspace for the fleet: the primary, and the
// backup to ask if the primary doesn't answer.
func (s *Snapshot) TokenOwners(workspace string) (primary, backup psfleet.Identity) {
	return psshare.TokenOwners(workspace, s.shareHolders)
}

// ReachableFraction returns the fraction of the known VMs that may still use their share of the fleet's limits:
// this VM, and those from which a report arrived recently or that were discovered recently.
func (s *Snapshot) ReachableFraction() float64 {
	return float64(len(s.shareHolders)) / float64(s.FleetSize)
}
