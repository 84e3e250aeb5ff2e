package psheartbeat

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// maxBeatsPerSecond bounds the heartbeats that a VM sends at rest, and with them the bytes
// of a large fleet.
const maxBeatsPerSecond = 16

// targets are the VMs to which a VM sends heartbeats.
type targets struct {
	// near lists the other VMs of the own failure domain.
	near []*psplan.VM
	// far lists for each other domain its VMs in the order in which they are tried.
	far [][]*psplan.VM
}

// newTargets picks the targets of a VM: all of its own domain, and one of each other domain.
// Different VMs of a domain prefer different VMs of the other one, so that the domains stay
// joined when any VM fails.
func newTargets(p *psplan.Plan, self psdoc.Name) targets {
	var out targets
	own, found := p.VM(self)
	if !found {
		return out
	}
	rest := make(map[*psplan.Domain][]*psplan.VM)
	for _, v := range p.VMs {
		switch {
		case v.Name == self:
		case v.Domain == own.Domain:
			out.near = append(out.near, v)
		default:
			rest[v.Domain] = append(rest[v.Domain], v)
		}
	}
	for _, d := range p.Domains {
		if vms := rest[d]; len(vms) > 0 {
			out.far = append(out.far, rotate(vms, xxhash.Sum64String(string(self)+"/"+string(d.Name))))
		}
	}
	return out
}

// rotate returns the VMs beginning at the n-th, modulo their number.
func rotate(vms []*psplan.VM, n uint64) []*psplan.VM {
	i := int(n % uint64(len(vms)))
	return append(append([]*psplan.VM(nil), vms[i:]...), vms[:i]...)
}

// interval is the time between two heartbeats to the same VM.
func (t targets) interval() time.Duration {
	return max(Interval, time.Duration(len(t.near)+len(t.far))*time.Second/maxBeatsPerSecond)
}

// Period returns the time within which a VM hears from each of its targets while all is
// well. It is [Interval] in small fleets and grows with the number of targets.
func Period(p *psplan.Plan, self psdoc.Name) time.Duration {
	return newTargets(p, self).interval()
}
