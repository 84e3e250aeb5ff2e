package psfence

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
	"persimmonstep/internal/version/psrendezvous"
)

// Guardian returns the VM that may adopt a VM's revocable part. It follows from the
// configuration alone: the highest rendezvous hash among the other VMs of the failure
// domain, or of the region, or of the fleet where the nearer ones have no other VM.
// It is nil for a VM that stands alone.
func Guardian(p *psplan.Plan, vm psdoc.Name) *psplan.VM {
	v, found := p.VM(vm)
	if !found {
		return nil
	}
	return newNeighbours(p).guardian(v)
}

// neighbours groups the VMs of a plan by place.
type neighbours struct {
	all     []*psplan.VM
	domains map[psdoc.Name][]*psplan.VM
	regions map[psdoc.Name][]*psplan.VM
}

func newNeighbours(p *psplan.Plan) *neighbours {
	n := &neighbours{
		all:     p.VMs,
		domains: make(map[psdoc.Name][]*psplan.VM),
		regions: make(map[psdoc.Name][]*psplan.VM),
	}
	for _, v := range p.VMs {
		n.domains[v.Domain.Name] = append(n.domains[v.Domain.Name], v)
		n.regions[v.Domain.Region.Name] = append(n.regions[v.Domain.Region.Name], v)
	}
	return n
}

func (n *neighbours) guardian(v *psplan.VM) *psplan.VM {
	for _, among := range [][]*psplan.VM{n.domains[v.Domain.Name], n.regions[v.Domain.Region.Name], n.all} {
		var best *psplan.VM
		var highest uint64
		for _, w := range among {
			if w.Name == v.Name {
				continue
			}
			if h := psrendezvous.Score(v.Name, w.Name); best == nil || h > highest {
				best, highest = w, h
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// wards lists the VMs whose guardian is a VM.
func wards(p *psplan.Plan, guardian psdoc.Name) []psdoc.Name {
	var out []psdoc.Name
	n := newNeighbours(p)
	for _, v := range p.VMs {
		if g := n.guardian(v); g != nil && g.Name == guardian {
			out = append(out, v.Name)
		}
	}
	return out
}

func writeName(d *xxhash.Digest, n psdoc.Name) {
	_, _ = d.WriteString(string(n))
	_, _ = d.Write([]byte{0})
}

// Fingerprint identifies all of a plan on which shares and guardians depend: the VMs with
// their places and weights, and the bursts that are too small to be split over all VMs.
func Fingerprint(p *psplan.Plan) uint64 {
	var d xxhash.Digest
	number := func(n uint64) {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], n)
		_, _ = d.Write(b[:])
	}
	vms := slices.SortedFunc(slices.Values(p.VMs), func(a, b *psplan.VM) int { return cmp.Compare(a.Name, b.Name) })
	for _, v := range vms {
		writeName(&d, v.Name)
		writeName(&d, v.Domain.Name)
		writeName(&d, v.Domain.Region.Name)
		number(math.Float64bits(v.Weight))
	}
	small := func(n psdoc.Name, burst float64) {
		if burst < float64(len(vms)) {
			writeName(&d, n)
			number(uint64(burst))
		}
	}
	spaces := slices.SortedFunc(slices.Values(p.Workspaces), func(a, b *psplan.Workspace) int { return cmp.Compare(a.Name, b.Name) })
	for _, w := range spaces {
		small(w.Name, w.Burst)
	}
	routes := slices.SortedFunc(slices.Values(p.Routes), func(a, b *psplan.Route) int { return cmp.Compare(a.Name, b.Name) })
	for _, r := range routes {
		small(r.Name, math.Max(1, r.Shift.Rate))
		small(r.Name, math.Max(1, r.Shift.BytesPerSecond))
	}
	return d.Sum64()
}
