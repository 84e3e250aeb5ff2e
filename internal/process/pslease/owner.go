package pslease

import (
	"maps"
	"math"
	"time"

	"persimmonstep/internal/process/psfleet"
)

// bequest is the part that a process of a VM has left to another VM.
type bequest struct {
	incarnation int64
	heir        string
}

// Heir returns the VM to which this one can leave its part: a guest, if possible of the same failure domain. It returns false if
// there is none, or this VM has no part.
func (b *Book) Heir(f *psfleet.Fleet, now time.Time) (string, bool) {
	heir, distance := "", math.MaxInt
	for _, p := range f.Peers() {
		if !hears(f, p, now) || p.OwnsPart() {
			continue
		}
		if d := p.Identity.Distance(b.self.FailureDomain, b.self.Region); d < distance {
			heir, distance = p.Identity.VM, d
		}
	}
	return heir, heir != "" && !b.guest
}

// End records that this VM ends, and leaves its part to another one unless heir is empty. It uses nothing of the limits any more.
func (b *Book) End(heir string) {
	b.ended = true
	if heir != "" {
		b.guest, b.heir = true, heir
		b.owners[heir] = true
	}
}

// updateOwners updates the owners of parts, and reports whether guests are counted as owners now. That is so while this VM hears
// all owners. A guest gets its part when all owners count it, so it can't get one while an owner is away. Where no VM is an
// owner, as at the first start of the fleet, all published VMs count each other; so do guests that hear no owner for the
// orphanTime.
func (b *Book) updateOwners(f *psfleet.Fleet, complete bool, now time.Time) bool {
	b.forget(f)
	for _, p := range f.Peers() {
		b.applyBequest(p, now)
		if !p.OwnsPart() {
			continue
		}
		b.owners[p.Identity.VM] = true
		if hears(f, p, now) && (p.Report.Lease == nil || !p.Report.Lease.Guest) {
			b.heardOwnerAt = now
		}
	}
	if !b.hearsOwners(f, complete, now) && !(b.isOrphan(now) && complete) {
		return false
	}
	for _, p := range f.Peers() {
		if hears(f, p, now) {
			b.owners[p.Identity.VM] = true
		}
	}
	return true
}

// forget removes the owners that no longer belong to the fleet.
func (b *Book) forget(f *psfleet.Fleet) {
	maps.DeleteFunc(b.bequests, func(name string, _ bequest) bool {
		_, found := f.Peer(name)
		return !found
	})
	heirs := map[string]bool{}
	for _, v := range b.bequests {
		heirs[v.heir] = true
	}
	maps.DeleteFunc(b.owners, func(name string, _ bool) bool {
		_, found := f.Peer(name)
		return !found && !heirs[name] && name != b.heir
	})
}

// applyBequest records, once, that a VM has ended and left its part to another one.
func (b *Book) applyBequest(p *psfleet.Peer, now time.Time) {
	heir, name := p.Heir(), p.Identity.VM
	if heir == "" || b.bequests[name].incarnation == p.Report.Incarnation {
		return
	}
	b.bequests[name] = bequest{p.Report.Incarnation, heir}
	delete(b.owners, name)
	if heir != b.self.VM {
		b.owners[heir] = true
	} else if b.guest && b.inheritedAt.IsZero() {
		b.inheritedAt = now
	}
}

// hasInherited reports whether another VM has left its part to this one, and no VM can still use it as that VM's borrower.
func (b *Book) hasInherited(f *psfleet.Fleet, now time.Time) bool {
	return !b.inheritedAt.IsZero() && now.Sub(b.inheritedAt) >= leaseTime(f)
}

// hearsOwners reports whether this VM hears all owners, or all published VMs if none of them is an owner.
func (b *Book) hearsOwners(f *psfleet.Fleet, complete bool, now time.Time) bool {
	noOwners := b.guest && len(b.owners) == 0
	if noOwners && !complete {
		return false
	}
	for _, p := range f.Peers() {
		// A process of an owner that has ended uses nothing. The next one uses no more than its floor until it hears others.
		if !hears(f, p, now) && !p.Ended() && (noOwners || b.owners[p.Identity.VM]) {
			return false
		}
	}
	return true
}

// isOrphan reports whether this VM is a guest that has heard no owner for a long time.
func (b *Book) isOrphan(now time.Time) bool {
	return b.guest && now.Sub(b.heardOwnerAt) >= orphanTime
}

// isCounted reports whether all owners that this VM hears, one at least, state that they count the same VMs, of which this one is
// one. Orphans may count different owners that are gone, but must divide the limits into as many parts.
func (b *Book) isCounted(f *psfleet.Fleet, now time.Time) bool {
	orphan := b.isOrphan(now)
	confirmed := orphan || len(b.owners) == 0
	for name := range b.owners {
		p, found := f.Peer(name)
		if !found || !hears(f, p, now) {
			continue
		}
		l := p.Report.Lease
		if l != nil && l.OwnersHash() != b.ownersHash && !(orphan && l.Parts >= b.parts) {
			return false
		}
		confirmed = true
	}
	return confirmed
}
