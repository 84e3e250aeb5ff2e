package pslease

import (
	"slices"
	"time"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psmessage"
)

// updateStatement determines which VMs this one hears and which are excluded.
func (b *Book) updateStatement(f *psfleet.Fleet, now time.Time) {
	var silent, excluded []*psfleet.Peer
	hash, lag := nameHash(b.self.VM), time.Duration(0)
	for _, p := range f.Peers() {
		silence, timeout := p.Silence(now), f.LiveTimeout(p)
		switch {
		case silence >= exclusionTime(f, timeout):
			excluded = append(excluded, p)
			continue
		case silence >= timeout:
			silent = append(silent, p)
		default:
			lag = max(lag, silence)
		}
		hash += nameHash(p.Identity.VM)
	}
	b.statement = psmessage.Lease{
		Parts: b.parts, PartsAge: now.Sub(b.partsCountedAt).Milliseconds(), FormerParts: b.statedFormerParts(), Owners: b.ownersHash,
		Guest: b.guest, Ended: b.ended, Heir: b.heir, Group: hash, Lag: lag.Milliseconds() + 1,
		Excluded: f.Names(excluded), Silent: f.Names(silent), Earlier: b.knowsEarlier(f, now),
	}
	if b.statement.Owners == b.statement.Group {
		b.statement.Owners = 0
	}
}

// updateOwn updates the group of this VM's own part.
func (b *Book) updateOwn(f *psfleet.Fleet, now time.Time) {
	group := b.set(f, b.statement.Group, b.statement.Excluded)
	if group == nil {
		return
	}
	if !b.stated {
		// So far this VM knew no other one that could have received a statement.
		b.own = term{group: group, hash: b.statement.Group, since: b.startedAt}
		b.stated = len(group.members) > 1
	}
	b.own.change(b, group, b.statement.Group, now)
	window := b.window(f, b.own.group, now)
	if b.own.since.Equal(b.startedAt) && b.isUnused() {
		window = 0
	}
	if !b.hasEarlierLeases(f, now) {
		b.own.settle(window, b.informs(f, b.own.group) || window == 0, now)
	}
	b.statement.Settled = b.own.settled
}

// hasEarlierLeases reports whether another VM may use what an earlier process of this VM lent it: until it must have received a
// report of this one, or has said that it uses nothing.
func (b *Book) hasEarlierLeases(f *psfleet.Fleet, now time.Time) bool {
	age := now.Sub(b.startedAt)
	if b.first || age >= leaseTime(f) {
		return false
	}
	for _, i := range b.own.group.members[1:] {
		if b.aloneIn[i.VM] != i.Incarnation && age < b.reliance(f, i.VM, now) {
			return true
		}
	}
	return false
}

// noteAlone records which VMs state that no VM lends them its part.
func (b *Book) noteAlone(f *psfleet.Fleet) {
	for _, p := range f.Peers() {
		if p.Report != nil && p.Report.Lease != nil && p.Report.Lease.Alone {
			b.aloneIn[p.Identity.VM] = p.Report.Incarnation
		}
	}
}

// isUnused reports whether all members of this VM's group have said, since this one runs, that no VM lends them its part.
func (b *Book) isUnused() bool {
	others := b.own.group.members[1:]
	return len(others) > 0 && !slices.ContainsFunc(others, func(i psmessage.Identity) bool { return b.aloneIn[i.VM] != i.Incarnation })
}

// knowsEarlier reports whether a VM of an earlier build is there, which goes by other rules.
func (b *Book) knowsEarlier(f *psfleet.Fleet, now time.Time) bool {
	return slices.ContainsFunc(f.Peers(), func(p *psfleet.Peer) bool {
		return !p.Identity.Features.Has(psmessage.Leases) && p.Silence(now) < exclusionTime(f, f.LiveTimeout(p))
	})
}

// split returns how rates are split at present.
func (b *Book) split(f *psfleet.Fleet, now time.Time) Split {
	switch {
	case b.knowsEarlier(f, now):
		return SplitAsEarlier
	case slices.ContainsFunc(f.Peers(), func(p *psfleet.Peer) bool {
		return p.Report != nil && p.Report.Lease != nil && p.Report.Lease.Earlier && !p.Ended()
	}):
		return SplitByBoth
	}
	return SplitByNeed
}
