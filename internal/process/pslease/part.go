package pslease

import (
	"maps"
	"slices"
	"time"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psmessage"
)

// partsLifetime is how long the highest number of parts counts after a VM has counted as many owners. VMs that no longer hear
// each other may count different ones.
const partsLifetime = time.Minute

// updateParts counts the parts of each limit: as many as this VM, or another one, has counted owners within partsLifetime.
// counted states whether this VM counts itself although it is a guest.
func (b *Book) updateParts(f *psfleet.Fleet, counted bool, now time.Time) {
	parts, hash := 0, uint32(0)
	if b.heir == "" && (!b.guest || counted || !b.inheritedAt.IsZero()) {
		parts, hash = 1, nameHash(b.self.VM)
	}
	for name := range b.owners {
		parts++
		hash += nameHash(name)
	}
	b.ownersHash = hash
	countedAt := now
	for _, p := range f.Peers() {
		if p.Report == nil || p.Report.Lease == nil {
			continue
		}
		l := p.Report.Lease
		at := p.ReceivedAt.Add(-l.PartsAgeTime())
		if l.Parts > parts && now.Sub(at) < partsLifetime {
			parts, countedAt = l.Parts, at
		} else if l.Parts == parts && at.After(countedAt) {
			countedAt = at
		}
	}
	if b.parts > parts && now.Sub(b.partsCountedAt) < partsLifetime {
		parts, countedAt = b.parts, b.partsCountedAt
	}
	b.partsCountedAt = countedAt
	b.changeParts(f, max(1, parts), now)
}

// ownPart returns this VM's own part of each limit. VMs that it hasn't heard so far may own one as well.
func (b *Book) ownPart() float64 { return 1 / float64(b.parts+len(b.unheard)) }

// updateUnheard updates the published VMs that weren't heard.
func (b *Book) updateUnheard(f *psfleet.Fleet, complete bool) {
	if complete && !b.read {
		b.read = true
		for _, p := range f.Peers() {
			b.unheard[p.Identity.VM] = true
		}
	}
	maps.DeleteFunc(b.unheard, func(name string, _ bool) bool {
		p, found := f.Peer(name)
		return !found || p.Report != nil || b.owners[name]
	})
}

// changeParts records a change of the number of parts. How limits are shared depends on it, so that VMs go by the former number
// for some time, and then by both until all owners do.
func (b *Book) changeParts(f *psfleet.Fleet, parts int, now time.Time) {
	if parts != b.parts {
		if b.formerParts == 0 && b.stated {
			b.formerParts = b.parts
		}
		b.parts, b.partsChangedAt = parts, now
	}
	b.bothParts = now.Sub(b.partsChangedAt) >= exclusionTime(f, f.LongestLiveTimeout())
	if b.formerParts == b.parts || b.bothParts && b.allGoBy(f, parts, now) {
		b.formerParts = 0
	}
}

// allGoBy reports whether all owners state that they go by a number of parts, apart from those that must borrow anew.
func (b *Book) allGoBy(f *psfleet.Fleet, parts int, now time.Time) bool {
	for name := range b.owners {
		p, found := f.Peer(name)
		if found && p.Silence(now) >= exclusionTime(f, f.LiveTimeout(p)) {
			continue
		}
		if !found || p.Report == nil {
			return false
		}
		if l := p.Report.Lease; l != nil && goesBy(l) != parts {
			return false
		}
	}
	return true
}

// goesBy returns the number of parts by which the sender of a lease decides how limits are shared.
func goesBy(l *psmessage.Lease) int {
	if l.FormerParts > 0 {
		return l.FormerParts
	}
	return l.Parts
}

// decisiveParts returns the numbers of parts by which this VM, or one that it hears, decides how limits are shared.
func (b *Book) decisiveParts(f *psfleet.Fleet, now time.Time) []int {
	var list []int
	if b.formerParts > 0 {
		list = append(list, b.formerParts)
	}
	if b.formerParts == 0 || b.bothParts {
		list = append(list, b.parts)
	}
	for _, p := range f.Peers() {
		if hears(f, p, now) && p.Report.Lease != nil && !slices.Contains(list, goesBy(p.Report.Lease)) {
			list = append(list, goesBy(p.Report.Lease))
		}
	}
	return list
}

// statedFormerParts returns the former number of parts while this VM goes by that alone.
func (b *Book) statedFormerParts() int {
	if b.bothParts {
		return 0
	}
	return b.formerParts
}
