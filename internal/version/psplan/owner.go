package psplan

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psrendezvous"
)

// group is a pool's servers in one failure domain.
type group struct {
	domain psdoc.Name
	pool   psdoc.Name
}

// assignOwners gives the slots of each server to one VM of the server's failure domain.
//
// Each VM gets its part, by weight, of a pool's servers in the domain, and each server goes
// to the VM with the highest rendezvous hash that has room left. So a change of VMs or
// servers moves few of the others, and no VM stands without servers while another has many.
func (c *compiler) assignOwners() {
	groups := make(map[group][]*Server)
	for _, s := range c.plan.Servers {
		k := group{domain: s.Domain.Name, pool: s.Pool}
		groups[k] = append(groups[k], s)
	}
	for _, k := range slices.SortedFunc(maps.Keys(groups), compareGroups) {
		assignGroup(groups[k])
	}
}

func compareGroups(a, b group) int {
	return cmp.Or(cmp.Compare(a.domain, b.domain), cmp.Compare(a.pool, b.pool))
}

func assignGroup(servers []*Server) {
	vms := servers[0].Domain.VMs
	weight := 0.0
	for _, v := range vms {
		weight += v.Weight
	}
	room := make(map[*VM]int, len(vms))
	for _, v := range vms {
		room[v] = roomOf(float64(len(servers)) * v.Weight / weight)
	}
	byName := slices.SortedFunc(slices.Values(servers), func(a, b *Server) int { return cmp.Compare(a.Name, b.Name) })
	for _, s := range byName {
		s.Owner = bestOwner(s, vms, room)
		if s.Owner != nil {
			room[s.Owner]--
		}
	}
}

// ownerSlack is how much above its even part of a large pool a VM may own. Without slack
// every VM would be full, and one that comes would move servers between the others too.
const ownerSlack = 1.25

// roomOf returns the servers that a VM may own, given its even part.
func roomOf(even float64) int {
	return max(int(math.Ceil(even)), int(even*ownerSlack))
}

// bestOwner is the VM with room and the highest rendezvous hash; nil in a domain without VMs.
func bestOwner(s *Server, vms []*VM, room map[*VM]int) *VM {
	var best *VM
	var highest uint64
	for _, v := range vms {
		if room[v] <= 0 {
			continue
		}
		if h := psrendezvous.Score(s.Name, v.Name); best == nil || h > highest {
			best, highest = v, h
		}
	}
	return best
}
