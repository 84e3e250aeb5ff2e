// Package psshare computes this VM's share of the limits that hold for the whole fleet: the request rates of
// workspaces, the requests to servers in their cold start, and the ownership of tokens that one VM grants
// for all.
//
// All VMs compute the shares by the same rules from the reports that they exchange, so the shares add up to
// the limit without coordination.
package psshare

import (
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psrate"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/psrendezvous"
)

// maxColdSenders is the number of VMs that send requests to a cold server.
const maxColdSenders = 4

// Shares computes this VM's shares of the workspaces' rates.
type Shares struct {
	// demands are the demands that this VM reported last to the others, by workspace.
	demands map[string]float64
	// computed are the shares that were computed lately, by workspace.
	computed map[string]*psrate.ShareHistory
	// stable are the shares at the last time when all VMs were live, by workspace.
	stable map[string]float64
}

// New returns the shares of a VM that has not reported a demand yet.
func New() *Shares {
	return &Shares{computed: map[string]*psrate.ShareHistory{}, stable: map[string]float64{}}
}

// Record replaces the demands by those that this VM reports now.
func (s *Shares) Record(demands map[string]float64) { s.demands = demands }

// RateShares returns this VM's share of each workspace's rate, and the even share for workspaces that aren't
// listed. While a VM with a reserved share is silent, no share exceeds its last stable value: the silent VM may
// not have received the demands by which this VM's share would grow, and would not reduce its own.
func (s *Shares) RateShares(f *psfleet.Fleet, x *psconfig.Index, now time.Time) (shares map[string]float64, even float64) {
	peers := lo.Filter(f.Peers(), func(p *psfleet.Peer, _ int) bool { return f.Reserved(p, now) })
	even = 1 / float64(len(peers)+1)
	if x == nil {
		return nil, even
	}
	allLive := lo.EveryBy(peers, func(p *psfleet.Peer) bool { return f.Live(p, now) })
	window := f.PropagationTime() + f.ReportInterval()
	shares = make(map[string]float64, len(x.Configuration.Workspaces))
	others := make([]float64, len(peers))
	for i := range x.Configuration.Workspaces {
		w := &x.Configuration.Workspaces[i]
		own := s.demands[w.Name]
		for j, p := range peers {
			others[j] = own
			if p.Report != nil {
				others[j] = p.Report.Demands[w.Name]
			}
		}
		share := s.history(w.Name).Record(psrate.Share(w.Rate, own, others), window, now)
		if limit, found := s.stable[w.Name]; !allLive && found {
			share = min(share, limit)
		}
		shares[w.Name] = share
	}
	if allLive {
		s.stable = shares
	}
	return shares, even
}

// history returns the shares of a workspace that were computed lately.
func (s *Shares) history(workspace string) *psrate.ShareHistory {
	h, found := s.computed[workspace]
	if !found {
		h = &psrate.ShareHistory{}
		s.computed[workspace] = h
	}
	return h
}

// Of returns the share of a workspace's rate: the listed one, or the even share if it isn't listed.
func Of(shares map[string]float64, even float64, workspace string) float64 {
	if share, found := shares[workspace]; found {
		return share
	}
	return even
}

// ColdSenders returns the number of VMs that send requests to a cold server and share its request rate.
// It also returns whether the first VM of the list is one of them. The others send none.
func ColdSenders(server string, list []psmessage.Identity) (vms int, own bool) {
	score := psrendezvous.Score(server, list[0].VM)
	higher := lo.CountBy(list[1:], func(i psmessage.Identity) bool {
		return psrendezvous.Score(server, i.VM) > score
	})
	return min(maxColdSenders, len(list)), higher < maxColdSenders
}

// TokenOwners returns the VMs of a list that own the tokens of a workspace: the primary, and the backup to
// ask if the primary doesn't answer. In a fleet of one VM they are the same.
func TokenOwners(workspace string, list []psmessage.Identity) (primary, backup psmessage.Identity) {
	return owners(workspace, list, func(psmessage.Identity) int { return 0 })
}

// ServerTokenOwners returns the VMs of a list that own the tokens of a server's limit. They are as near to the server
// as possible, so that a VM which can reach the server can usually reach them as well.
func ServerTokenOwners(server, failureDomain, region string, list []psmessage.Identity) (primary, backup psmessage.Identity) {
	return owners(server, list, func(i psmessage.Identity) int { return i.Distance(failureDomain, region) })
}

// owners returns the two VMs with the least distance, and among those with the same distance the highest score.
func owners(key string, list []psmessage.Identity, distance func(psmessage.Identity) int) (primary, backup psmessage.Identity) {
	var first, second position
	for _, i := range list {
		switch p := (position{distance(i), psrendezvous.Score(key, i.VM)}); {
		case primary.VM == "" || p.before(first):
			backup, second = primary, first
			primary, first = i, p
		case backup.VM == "" || p.before(second):
			backup, second = i, p
		}
	}
	if backup.VM == "" {
		backup = primary
	}
	return primary, backup
}

// position is the position of a VM in the order in which VMs own tokens.
type position struct {
	distance int
	score    uint64
}

func (p position) before(other position) bool {
	if p.distance != other.distance {
		return p.distance < other.distance
	}
	return p.score > other.score
}
