package pscontrol

import (
	"math"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psrate"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/psrendezvous"
)

// coldVMs is the number of VMs that share the requests of a cold server.
const coldVMs = 4

// shares are this VM's parts of what the fleet shares.
type shares struct {
	// demands are those of this VM, as the other VMs were told.
	demands map[string]*psrate.Demand
	// settled are the parts at the last moment when all VMs were heard.
	settled map[string]float64
}

func newShares() *shares {
	return &shares{demands: map[string]*psrate.Demand{}, settled: map[string]float64{}}
}

// report takes in what the other VMs are told now.
func (s *shares) report(demands map[string]float64) {
	for name := range demands {
		if s.demands[name] == nil {
			s.demands[name] = &psrate.Demand{}
		}
	}
	for name, d := range s.demands {
		d.Report(demands[name])
	}
}

// own returns this VM's demand as far as the other VMs know of it.
func (s *shares) own(workspace string, spread int) float64 {
	d, found := s.demands[workspace]
	if !found {
		return 0
	}
	return d.Usable(spread)
}

// parts returns this VM's part of each workspace's rate.
func (s *shares) parts(f *psfleet.Fleet, x *psconfig.Index, now time.Time) (parts map[string]float64, even float64) {
	peers := lo.Filter(f.Peers(), func(p *psfleet.Peer, _ int) bool { return f.Reserved(p, now) })
	even = 1 / float64(len(peers)+1)
	if x == nil {
		return nil, even
	}
	spread := int(math.Ceil(float64(f.Spread()) / float64(f.Interval())))
	calm := lo.EveryBy(peers, func(p *psfleet.Peer) bool { return f.Live(p, now) })
	parts = make(map[string]float64, len(x.Configuration.Workspaces))
	for i := range x.Configuration.Workspaces {
		name := x.Configuration.Workspaces[i].Name
		own := s.own(name, spread)
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

// holders lists this VM and those that may still use their part of what the fleet shares.
func holders(self psfleet.Identity, f *psfleet.Fleet, now time.Time) []psfleet.Identity {
	list := []psfleet.Identity{self}
	for _, p := range f.Peers() {
		if f.Reserved(p, now) {
			list = append(list, p.Identity)
		}
	}
	return list
}

// PartOf returns the part of a workspace's rate; the even one unless the parts list it.
func PartOf(parts map[string]float64, even float64, workspace string) float64 {
	if part, found := parts[workspace]; found {
		return part
	}
	return even
}

// ColdShare returns this VM's part of what a cold server bears. Only a few VMs, which all
// compute alike, send requests to a cold server.
func (s *Snapshot) ColdShare(server psserver.Entry) (psserver.ColdShare, bool) {
	if s.Index == nil {
		return psserver.ColdShare{}, false
	}
	service, found := s.Index.Service(server.Service)
	if !found || service.ColdPerSecond <= 0 || !owns(server.ID, s.holders) {
		return psserver.ColdShare{}, false
	}
	return psserver.ColdShare{PerSecond: service.ColdPerSecond / float64(min(coldVMs, len(s.holders))), Depth: 1}, true
}

// owns reports whether the first of the VMs is among those that send requests to a cold server.
func owns(server string, list []psfleet.Identity) bool {
	own := psrendezvous.Score(server, list[0].VM)
	before := lo.CountBy(list[1:], func(i psfleet.Identity) bool {
		return psrendezvous.Score(server, i.VM) > own
	})
	return before < coldVMs
}

// Keepers returns the VMs that keep the tokens of a workspace for all: the first, and the
// one to ask if it doesn't answer. They are the same one in a fleet of one.
func (s *Snapshot) Keepers(workspace string) (first, second psfleet.Identity) {
	var best, next uint64
	for _, i := range s.holders {
		switch v := psrendezvous.Score(workspace, i.VM); {
		case v >= best:
			second, next = first, best
			first, best = i, v
		case v >= next:
			second, next = i, v
		}
	}
	if second.VM == "" {
		second = first
	}
	return first, second
}

// HeardPart is the part of the known VMs that were heard of lately.
func (s *Snapshot) HeardPart() float64 { return float64(len(s.holders)) / float64(s.FleetSize) }
