package pslease

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psmessage"
)

// set is the members of a group.
type set struct {
	members []psmessage.Identity
}

// term is a lender's group as this VM knows it.
type term struct {
	group *set
	hash  uint32
	// before are the groups since the last one that had settled; nil if they aren't known.
	before *former
	// since is when the group last changed. settled is set once all its members must know of that.
	since   time.Time
	settled bool
}

// former is a group before a change, and those before it.
type former struct {
	group   *set
	earlier *former
	// count is the number of groups.
	count int
}

// maxFormer bounds the number of groups that are kept until one settles.
const maxFormer = 16

// has reports whether a group is one of the former ones.
func (r *former) has(group *set) bool {
	for ; r != nil; r = r.earlier {
		if r.group == group {
			return true
		}
	}
	return false
}

// former returns a group and those before it. Lenders with the same former groups share them.
func (b *Book) former(group *set, earlier *former) *former {
	switch {
	case earlier.has(group):
		return earlier
	case earlier != nil && earlier.count >= maxFormer:
		return nil
	}
	key := former{group: group, earlier: earlier, count: 1}
	if earlier != nil {
		key.count += earlier.count
	}
	r, found := b.formers[key]
	if !found {
		r = &key
		b.formers[key] = r
	}
	return r
}

// groupKey identifies a group, the groups before it, and whether it is settled.
type groupKey struct {
	hash    uint32
	before  *former
	settled bool
}

func (t *term) key() groupKey { return groupKey{t.hash, t.before, t.settled} }

// describe returns the term's group without any parts.
func (t *term) describe(window time.Duration) Group {
	g := Group{Members: t.group.members, Settled: t.settled, Window: window}
	for r := t.before; r != nil; r = r.earlier {
		g.Before = append(g.Before, r.group.members)
	}
	return g
}

// change records the group that a lender states.
func (t *term) change(b *Book, group *set, hash uint32, now time.Time) {
	if t.hash == hash {
		t.group = group
		return
	}
	var before *former
	if t.settled || t.before != nil {
		before = b.former(t.group, t.before)
	}
	*t = term{group: group, hash: hash, before: before, since: now}
}

// settle records whether all members must have received the lender's report of the group's last change. informed states that all
// members know the VMs of the group.
func (t *term) settle(window time.Duration, informed bool, now time.Time) {
	if informed && now.Sub(t.since) >= window {
		t.settled, t.before = true, nil
	}
}

// informs reports whether all members of a group know the same VMs as this one, as far as they say. A member that
// knows other VMs goes by the former group.
func (b *Book) informs(f *psfleet.Fleet, group *set) bool {
	result, found := b.informed[group]
	if !found {
		result = !slices.ContainsFunc(group.members[1:], func(i psmessage.Identity) bool {
			p, found := f.Peer(i.VM)
			if !found || p.Report == nil {
				return true
			}
			l := p.Report.Lease
			return l != nil && !p.Ended() && b.set(f, l.Group, l.Excluded) == nil
		})
		b.informed[group] = result
	}
	return result
}

// set returns the members of a group: the known VMs without the excluded ones. It returns nil if their hash differs, since the
// lender knows other VMs than this one.
func (b *Book) set(f *psfleet.Fleet, hash uint32, excluded psmessage.Names) *set {
	if s, found := b.sets[hash]; found {
		return s
	}
	s := &set{members: []psmessage.Identity{b.self}}
	sum := nameHash(b.self.VM)
	for _, p := range f.Peers() {
		if !excluded.Has(p.Identity) {
			s.members = append(s.members, p.Identity)
			sum += nameHash(p.Identity.VM)
		}
	}
	if sum != hash {
		return nil
	}
	b.sets[hash] = s
	return s
}

// window returns the greatest age of the reports on which another member of a group may rely: those that the member had received
// when it sent the last report that this VM has of it.
func (b *Book) window(f *psfleet.Fleet, group *set, now time.Time) time.Duration {
	w, found := b.windows[group]
	if !found {
		w = b.computeWindow(f, group, now)
		b.windows[group] = w
	}
	return w
}

func (b *Book) computeWindow(f *psfleet.Fleet, group *set, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, i := range group.members[1:] {
		longest = max(longest, b.reliance(f, i.VM, now))
	}
	return longest
}

// reliance returns the greatest age of the reports of this VM on which another one may rely. It includes the messageDelay twice:
// for such a report, and for the other VM's report that states which ones it has received.
func (b *Book) reliance(f *psfleet.Fleet, vm string, now time.Time) time.Duration {
	p, found := f.Peer(vm)
	if !found || p.Report == nil {
		return unbounded
	}
	l := p.Report.Lease
	switch {
	case l == nil:
		return p.Silence(now) + f.PropagationTime() + 2*messageDelay
	case p.Ended():
		// The next process of that VM uses nothing until it is told that this VM has heard it: the lag that this VM states, and
		// the VMs that it names as silent, include the process that has ended.
		return 0
	case l.Silent.Has(b.self) || l.Excluded.Has(b.self):
		return unbounded
	}
	return p.Silence(now) + l.LagTime() + 2*messageDelay
}

// leaseTime returns how long after a VM's last report others may use what it lent them.
func leaseTime(f *psfleet.Fleet) time.Duration {
	return f.LongestLiveTimeout() + f.ReportInterval() + messageDelay
}

// exclusionTime returns how long a VM must be silent until it is excluded. After a live timeout this VM's reports name it as
// silent. In the remaining time the silent VM receives one of these reports, or hears no report for a live timeout. Either way
// it no longer uses the part.
func exclusionTime(f *psfleet.Fleet, liveTimeout time.Duration) time.Duration {
	return 2*liveTimeout + f.PropagationTime() + f.ReportInterval() + exclusionSlack
}

func nameHash(vm string) uint32 { return uint32(xxhash.Sum64String(vm)) } //nolint:gosec // the lower half is as good
