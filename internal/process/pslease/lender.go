package pslease

import (
	"maps"
	"slices"
	"time"

	"persimmonstep/internal/process/psfleet"
)

// lender is another VM that lends its part to this one.
type lender struct {
	incarnation int64
	term
	// since is since when this VM is one of the borrowers. eligible is set once all other borrowers must know that.
	since    time.Time
	eligible bool
}

// updateLenders updates which VMs lend their part to this one.
func (b *Book) updateLenders(f *psfleet.Fleet, now time.Time) {
	for _, p := range f.Peers() {
		b.updateLender(f, p, now)
	}
	for name := range b.lenders {
		if _, found := f.Peer(name); !found {
			delete(b.lenders, name)
		}
	}
	b.statement.Alone = b.isAlone()
}

func (b *Book) updateLender(f *psfleet.Fleet, p *psfleet.Peer, now time.Time) {
	name := p.Identity.VM
	if !b.borrows(f, p, now) {
		delete(b.lenders, name)
		return
	}
	l, found := b.lenders[name]
	if found && l.incarnation != p.Report.Incarnation {
		delete(b.lenders, name)
		found = false
	}
	group, hash := b.lent(f, p)
	switch {
	case group == nil:
		// The lender and this VM know different VMs. This one goes by the former group until it knows the same.
		return
	case !found:
		l = &lender{incarnation: p.Report.Incarnation, term: term{group: group, hash: hash, since: now}, since: now}
		b.lenders[name] = l
	}
	l.change(b, group, hash, now)
	window, informed := b.window(f, group, now), b.informs(f, group)
	if s := p.Report.Lease; s != nil && s.Settled {
		window, informed = 0, true
	}
	l.settle(window, informed, now)
	l.eligible = l.eligible || informed && now.Sub(l.since) >= window
}

// borrows reports whether this VM is one of those that may use the part of another one now.
func (b *Book) borrows(f *psfleet.Fleet, p *psfleet.Peer, now time.Time) bool {
	if !hears(f, p, now) {
		return false
	}
	l := p.Report.Lease
	return l == nil || !l.Silent.Has(b.self) && !l.Excluded.Has(b.self)
}

// lent returns the group to which a VM lends its part; nil if that isn't known.
func (b *Book) lent(f *psfleet.Fleet, p *psfleet.Peer) (*set, uint32) {
	l := p.Report.Lease
	if l == nil {
		// A VM of an earlier build counts on the same VMs as this one.
		return b.own.group, b.own.hash
	}
	return b.set(f, l.Group, l.Excluded), l.Group
}

// isAlone reports whether no VM lends its part to this one.
func (b *Book) isAlone() bool {
	for _, l := range b.lenders {
		if l.eligible {
			return false
		}
	}
	return true
}

// hold lists the parts that this VM may use by their groups.
func (b *Book) hold(f *psfleet.Fleet, now time.Time) Holding {
	h := Holding{Parts: b.parts, DecisiveParts: b.decisiveParts(f, now), Split: b.split(f, now), LeaseTime: leaseTime(f), Since: b.own.since}
	if b.own.group == nil {
		return h
	}
	index := map[groupKey]int{}
	groupOf := func(t *term) *Group {
		n, found := index[t.key()]
		if !found {
			n = len(h.Groups)
			index[t.key()] = n
			h.Groups = append(h.Groups, t.describe(b.window(f, t.group, now)))
		}
		return &h.Groups[n]
	}
	own, part := groupOf(&b.own), 1/float64(b.parts)
	if !b.guest {
		own.Own, own.Leased = b.ownPart(), b.hasEarlierLeases(f, now)
	}
	for _, name := range slices.Sorted(maps.Keys(b.lenders)) {
		l := b.lenders[name]
		if p, _ := f.Peer(name); !l.eligible || isGuest(p) {
			continue
		}
		g := groupOf(&l.term)
		g.Lenders = append(g.Lenders, name)
		g.Delegated += part
	}
	return h
}

// isGuest reports whether a VM that was heard owns no part.
func isGuest(p *psfleet.Peer) bool { return p.Report.Lease != nil && p.Report.Lease.Guest }
