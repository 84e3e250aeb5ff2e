package pscredit

import (
	"cmp"
	"slices"

	"persimmonstep/internal/process/pspool"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// lenders lists the VMs to ask for slots of a pool: those that own servers in the regions
// where the waiting requests may run, the nearest and then the richest first. The guardian
// of a silent owner stands in for it. It reports false where nobody is left who could lend.
func (b *Bank) lenders(pool psdoc.Name, h pspool.Hunger) (out []*psplan.VM, hope bool) {
	p := b.config.Plans.Plan()
	self, known := p.VM(b.config.Self)
	if !known {
		return nil, false
	}
	seen := map[psdoc.Name]bool{self.Name: true}
	for _, s := range p.Pool(pool) {
		v := s.Owner
		if v == nil || s.Leaving || !h.Regions[s.Domain.Region.Name] || seen[v.Name] {
			continue
		}
		seen[v.Name] = true
		v, gone := b.standIn(p, v)
		hope = hope || !gone
		if v != nil && (v.Name == s.Owner.Name || !seen[v.Name]) {
			seen[v.Name] = true
			out = append(out, v)
		}
	}
	b.sortLenders(self, pool, out)
	return out, hope
}

// standIn returns the VM to ask for an owner's slots: the owner, or its guardian if the
// owner is silent. It is nil if neither can be asked now, and gone if neither will be soon.
func (b *Bank) standIn(p *psplan.Plan, owner *psplan.VM) (v *psplan.VM, gone bool) {
	silent, gone := b.isSilent(owner.Name)
	if !silent {
		return owner, false
	}
	g := b.config.Fence.Guardian(p, owner.Name)
	if g == nil || g.Name == b.config.Self {
		return nil, gone
	}
	guardianSilent, guardianGone := b.isSilent(g.Name)
	if guardianSilent {
		return nil, gone && guardianGone
	}
	return g, false
}

func (b *Bank) sortLenders(self *psplan.VM, pool psdoc.Name, out []*psplan.VM) {
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
