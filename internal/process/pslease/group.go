package pslease

import (
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
	// before is the group before the last change; nil if it had not settled or isn't known.
	before *set
	// since is when the group last changed. settled is set once all its members must know of that.
	since   time.Time
	settled bool
}

// groupKey identifies a group, the group before it, and whether it is settled.
type groupKey struct {
	hash    uint32
	before  *set
	settled bool
}

func (t *term) key() groupKey { return groupKey{t.hash, t.before, t.settled} }

// describe returns the term's group without any parts.
func (t *term) describe(window time.Duration) Group {
	g := Group{Members: t.group.members, Settled: t.settled, Window: window}
	if t.before != nil {
		g.Before = t.before.members
	}
	return g
}

// change records the group that a lender states.
func (t *term) change(group *set, hash uint32, now time.Time) {
	if t.hash == hash {
		t.group = group
		return
	}
	before := t.group
	if !t.settled {
		before = nil
	}
	*t = term{group: group, hash: hash, before: before, since: now}
}

// settle records whether all members must have received the lender's report of its last change.
func (t *term) settle(window time.Duration, now time.Time) {
	if now.Sub(t.since) >= window {
		t.settled, t.before = true, nil
	}
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

// reliance returns the greatest age of the reports of this VM on which another one may rely. Both such a report and the one by which this
// VM knows of it may have taken the messageDelay.
func (b *Book) reliance(f *psfleet.Fleet, vm string, now time.Time) time.Duration {
	p, found := f.Peer(vm)
	if !found || p.Report == nil {
		return unbounded
	}
	l := p.Report.Lease
	switch {
	case l == nil:
		return p.Silence(now) + f.PropagationTime() + 2*messageDelay
	case l.Silent.Has(b.self) || l.Excluded.Has(b.self):
		return unbounded
	}
	return p.Silence(now) + l.LagTime() + 2*messageDelay
}

// leaseTime returns how long after a VM's last report others may use what it lent them.
func leaseTime(f *psfleet.Fleet) time.Duration {
	return f.LongestLiveTimeout() + f.ReportInterval() + messageDelay
}

// exclusionTime returns how long a VM must be silent until it is excluded. By then it has not heard this VM for a live timeout,
// or has received a report, sent after the same time, that names it as silent.
func exclusionTime(f *psfleet.Fleet, liveTimeout time.Duration) time.Duration {
	return 2*liveTimeout + f.PropagationTime() + f.ReportInterval() + exclusionSlack
}

func nameHash(vm string) uint32 { return uint32(xxhash.Sum64String(vm)) } //nolint:gosec // the lower half is as good
