// Package psshare works out this VM's part of what the whole fleet shares: the rates of workspaces, the
// requests that cold servers bear, and the tokens that one VM keeps for all.
//
// All VMs compute alike from what they hear of each other, so that the parts add up without a word.
package psshare

import (
	"math"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psrate"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/psrendezvous"
)

// coldVMs is the number of VMs that share the requests of a cold server.
const coldVMs = 4

// Shares are this VM's parts of what the fleet shares.
type Shares struct {
	// demands are those of this VM, as the other VMs were told.
	demands map[string]*psrate.Demand
	// settled are the parts at the last moment when all VMs were heard.
	settled map[string]float64
}

// New returns the shares of a VM that has reported nothing yet.
func New() *Shares {
	return &Shares{demands: map[string]*psrate.Demand{}, settled: map[string]float64{}}
}

// Report takes in what the other VMs are told now.
func (s *Shares) Report(demands map[string]float64) {
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
func (s *Shares) own(workspace string, spread int) float64 {
	d, found := s.demands[workspace]
	if !found {
		return 0
	}
	return d.Usable(spread)
}

// Parts returns this VM's part of each workspace's rate.
func (s *Shares) Parts(f *psfleet.Fleet, x *psconfig.Index, now time.Time) (parts map[string]float64, even float64) {
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

// PartOf returns the part of a workspace's rate; the even one unless the parts list it.
func PartOf(parts map[string]float64, even float64, workspace string) float64 {
	if part, found := parts[workspace]; found {
		return part
	}
	return even
}

// Cold returns the number of VMs among which the requests of a cold server are shared, and whether the
// first of the list is one of them. The others send it none.
func Cold(server string, list []psfleet.Identity) (vms int, own bool) {
	score := psrendezvous.Score(server, list[0].VM)
	before := lo.CountBy(list[1:], func(i psfleet.Identity) bool {
		return psrendezvous.Score(server, i.VM) > score
	})
	return min(coldVMs, len(list)), before < coldVMs
}

// Keepers returns the VMs of a list that keep the tokens of a workspace for all: the first, and the
// one to ask if it doesn't answer. They are the same one in a fleet of one.
func Keepers(workspace string, list []psfleet.Identity) (first, second psfleet.Identity) {
	var best, next uint64
	for _, i := range list {
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
