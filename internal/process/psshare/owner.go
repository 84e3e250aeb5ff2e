package psshare

import (
	"github.com/samber/lo"

	"persimmonstep/internal/process/pslease"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/version/psrendezvous"
)

// maxColdSenders is the number of VMs that send requests to a cold server.
const maxColdSenders = 4

// ColdFraction returns this VM's fraction of the rate that a cold server takes. Of each group a few VMs send it requests.
func ColdFraction(server string, h pslease.Holding) float64 {
	return h.Fraction(func(members []psmessage.Identity) float64 { return coldWeight(server, members) })
}

// coldWeight returns the first VM's fraction of what a group may send to a cold server.
func coldWeight(server string, list []psmessage.Identity) float64 {
	score := psrendezvous.Score(server, list[0].VM)
	higher := lo.CountBy(list[1:], func(i psmessage.Identity) bool {
		return psrendezvous.Score(server, i.VM) > score
	})
	if higher >= maxColdSenders {
		return 0
	}
	return 1 / float64(min(maxColdSenders, len(list)))
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
