package pscredit

import (
	"cmp"
	"slices"

	"persimmonstep/internal/process/pspool"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// lenders lists the VMs to ask for slots of a pool: those that own servers in the regions
// where the waiting requests may run, the nearest and then the richest first. The guardian of a silent owner
// stands in for it.
func (b *Bank) lenders(pool psdoc.Name, h pspool.Hunger) []*psplan.VM {
	p := b.config.Plans.Plan()
	self, known := p.VM(b.config.Self)
	if !known {
		return nil
	}
	seen := map[psdoc.Name]bool{self.Name: true}
	var out []*psplan.VM
	for _, s := range p.Pool(pool) {
		v := s.Owner
		if v == nil || s.Leaving || !h.Regions[s.Domain.Region.Name] || seen[v.Name] {
			continue
		}
		seen[v.Name] = true
		if b.isSilent(v.Name) {
			v = b.config.Fence.Guardian(p, v.Name)
			if v == nil || seen[v.Name] || b.isSilent(v.Name) {
				continue
			}
			seen[v.Name] = true
		}
		out = append(out, v)
	}
	spare := make(map[psdoc.Name]int, len(out))
	for _, v := range out {
		spare[v.Name] = b.spareOf(pool, v.Name)
	}
	slices.SortStableFunc(out, func(x, y *psplan.VM) int {
		return cmp.Or(
			cmp.Compare(distance(self, x), distance(self, y)),
			cmp.Compare(spare[y.Name], spare[x.Name]),
		)
	})
	return out
}

// distance ranks a VM by its place.
func distance(self, v *psplan.VM) int {
	switch {
	case v.Domain.Name == self.Domain.Name:
		return 0
	case v.Domain.Region.Name == self.Domain.Region.Name:
		return 1
	}
	return 2
}
