package pscontrol

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psrate"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psrendezvous"
)

// coldVMs is the number of VMs that share the requests of a cold server.
const coldVMs = 4

// shares are this VM's parts of what the fleet shares.
type shares struct {
	// reported are the demands that the other VMs were told last.
	reported map[string]float64
	// settled are the parts at the last moment when all VMs were heard.
	settled map[string]float64
}

func newShares() *shares {
	return &shares{reported: map[string]float64{}, settled: map[string]float64{}}
}

// parts returns this VM's part of each workspace's rate.
func (s *shares) parts(f *psfleet.Fleet, x *psconfig.Index, now time.Time) (parts map[string]float64, even float64) {
	peers := lo.Filter(f.Peers(), func(p *psfleet.Peer, _ int) bool { return f.Reserved(p, now) })
	even = 1 / float64(len(peers)+1)
	if x == nil {
		return nil, even
	}
	calm := lo.EveryBy(peers, func(p *psfleet.Peer) bool { return f.Live(p, now) })
	parts = make(map[string]float64, len(x.Configuration.Workspaces))
	for i := range x.Configuration.Workspaces {
		name := x.Configuration.Workspaces[i].Name
		own := s.reported[name]
		others := lo.Map(peers, func(p *psfleet.Peer, _ int) float64 {
			if p.Report == nil {
				return own
			}
			return p.Report.Demands[name]
		})
		parts[name] = psrate.Part(own, others)
		if most, found := s.settled[name]; !calm && found {
			parts[name] = min(parts[name], most)
		}
	}
	if calm {
		s.settled = parts
	}
	return parts, even
}

// coldShares returns this VM's part of each server that it may send requests while cold.
func coldShares(self string, f *psfleet.Fleet, servers map[string]*psserver.Server, x *psconfig.Index, now time.Time) map[string]psserver.ColdShare {
	if x == nil {
		return nil
	}
	names := []string{self}
	for _, p := range f.Peers() {
		if f.Reserved(p, now) {
			names = append(names, p.Identity.VM)
		}
	}
	shares := make(map[string]psserver.ColdShare, len(servers))
	for id, s := range servers {
		service, found := x.Service(s.Entry().Service)
		if !found || service.ColdPerSecond <= 0 || !owns(self, id, names) {
			continue
		}
		n := float64(min(coldVMs, len(names)))
		shares[id] = psserver.ColdShare{PerSecond: service.ColdPerSecond / n, Depth: 1}
	}
	return shares
}

// owns reports whether a VM is among those that may send requests to a cold server.
func owns(self, server string, names []string) bool {
	if len(names) <= coldVMs {
		return true
	}
	list := slices.Clone(names)
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Compare(psrendezvous.Score(psdoc.Name(server), psdoc.Name(b)), psrendezvous.Score(psdoc.Name(server), psdoc.Name(a)))
	})
	return slices.Contains(list[:coldVMs], self)
}
