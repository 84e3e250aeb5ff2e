package pssnapshot

import (
	"persimmonstep/internal/process/psmessage"
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
	vms, own := psshare.ColdSenders(server.ID, s.ShareHolders)
	return psserver.ColdShare{PerSecond: service.ColdPerSecond / float64(vms), Burst: 1}, own
}

// TokenOwners returns the VMs that own the rate-limit tokens of a workspace for the fleet: the primary, and the
// backup to ask if the primary doesn't answer.
func (s *Snapshot) TokenOwners(workspace string) (primary, backup psmessage.Identity) {
	return psshare.TokenOwners(workspace, s.ShareHolders)
}

// ServerTokenOwners returns the VMs that own the tokens of a server's limit: the primary, and the backup.
func (s *Snapshot) ServerTokenOwners(server psserver.Entry, region string) (primary, backup psmessage.Identity) {
	return psshare.ServerTokenOwners(server.ID, server.FailureDomain, region, s.ShareHolders)
}

// Server returns the server of a service that is registered as a run.
func (s *Snapshot) Server(service string, run psserver.Run) (*psserver.Server, bool) {
	for _, v := range s.Servers[service] {
		if v.Entry().Run() == run {
			return v, true
		}
	}
	return nil, false
}

// ReachableFraction returns the fraction of the known VMs that may still use their share of the fleet's limits:
// this VM, and those from which a report arrived recently or that were discovered recently.
func (s *Snapshot) ReachableFraction() float64 {
	return float64(len(s.ShareHolders)) / float64(s.FleetSize)
}
