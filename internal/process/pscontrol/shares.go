package pscontrol

import (
	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/psshare"
)

// ColdShare returns this VM's part of what a cold server bears. Only a few VMs, which all
// compute alike, send requests to a cold server.
func (s *Snapshot) ColdShare(server psserver.Entry) (psserver.ColdShare, bool) {
	if s.Index == nil {
		return psserver.ColdShare{}, false
	}
	service, found := s.Index.Service(server.Service)
	if !found || service.ColdPerSecond <= 0 {
		return psserver.ColdShare{}, false
	}
	vms, own := psshare.ColdSenders(server.ID, s.holders)
	return psserver.ColdShare{PerSecond: service.ColdPerSecond / float64(vms), Depth: 1}, own
}

// Keepers returns the VMs that keep the tokens of a workspace for all: the first, and the
// one to ask if it doesn't answer.
func (s *Snapshot) Keepers(workspace string) (first, second psfleet.Identity) {
	return psshare.TokenOwners(workspace, s.holders)
}

// HeardPart is the part of the known VMs that were heard of lately.
func (s *Snapshot) HeardPart() float64 { return float64(len(s.holders)) / float64(s.FleetSize) }
