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
	fraction := psshare.ColdFraction(server.ID, s.Holding)
	return psserver.ColdShare{PerSecond: service.ColdPerSecond * fraction, Burst: 1}, fraction > 0
}

// TokenOwners returns the VMs that own the rate-limit tokens of a workspace for the fleet: the primary, and the
// backup to ask if the primary doesn't answer.
func (s *Snapshot) TokenOwners(workspace string) (primary, backup psmessage.Identity) {
	return psshare.TokenOwners(workspace, s.Holding.Members())
}

// TokenFraction returns the fraction of a workspace's rate for which this VM owns the tokens, as the primary or as the backup.
func (s *Snapshot) TokenFraction(workspace string, backup bool) float64 {
	return s.Holding.Fraction(func(members []psmessage.Identity) float64 {
		primary, second := psshare.TokenOwners(workspace, members)
		return ownership(members[0], primary, second, backup)
	})
}

// ServerTokenFraction returns the fraction of a server's limit for which this VM owns the tokens, as the primary or as the
// backup.
func (s *Snapshot) ServerTokenFraction(server psserver.Entry, region string, backup bool) float64 {
	return s.Holding.Fraction(func(members []psmessage.Identity) float64 {
		primary, second := psshare.ServerTokenOwners(server.ID, server.FailureDomain, region, members)
		return ownership(members[0], primary, second, backup)
	})
}

// ownership returns 1 if a VM is the primary owner, or the backup, and 0 otherwise.
func ownership(self, primary, second psmessage.Identity, backup bool) float64 {
	owner := primary
	if backup {
		owner = second
	}
	if owner.VM == self.VM {
		return 1
	}
	return 0
}

// ServerTokenOwners returns the VMs that own the tokens of a server's limit: the primary, and the backup.
func (s *Snapshot) ServerTokenOwners(server psserver.Entry, region string) (primary, backup psmessage.Identity) {
	return psshare.ServerTokenOwners(server.ID, server.FailureDomain, region, s.Holding.Members())
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
