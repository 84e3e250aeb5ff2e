// Package psfleet tracks the membership and liveness of the VMs of the fleet.
//
// VMs publish their identity and addresses in the platform's store. From then on they send each
// other periodic reports, which serve as heartbeats. A VM is live while its reports are recent. A VM
// without recent reports may have failed or may only be unreachable; package pslease says what that means for
// the limits of the fleet.
//
// If every VM sent reports to every other one, the traffic per VM would grow with the size of the
// fleet. In a large fleet VMs therefore send reports within their own failure domain only. The
// first VMs of each failure domain forward the reports as a digest to one VM of each other failure
// domain, which forwards it to the VMs of its own. The number of messages that a VM sends and
// receives grows with the size of its failure domain and with the number of failure domains.
package psfleet

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/psmessage"
)

const (
	// baseReportInterval is the time between reports in a small fleet. In a larger one the time is
	// reportIntervalPerVM for each VM that exchanges reports with the others, which bounds the work
	// per VM.
	baseReportInterval  = 250 * time.Millisecond
	reportIntervalPerVM = 18 * time.Millisecond
	// minLiveTimeout is how long a VM counts as live after its last report. In a large fleet it is
	// at least liveIntervals report intervals. Callers may be sent to a failed VM for that long, while
	// a live VM that is left out after lost datagrams is included again with its next report.
	minLiveTimeout = time.Second
	liveIntervals  = 2
	// liveSlack is added to the timeout to allow for network delay.
	liveSlack = 300 * time.Millisecond
	// recentTimeout is how long a silent VM counts as one that may be there, to which notices are sent. In a large fleet
	// it is at least recentIntervals report intervals.
	recentTimeout   = 10 * time.Second
	recentIntervals = 4
	// forgetTimeout is how long a silent VM counts as a member of the fleet. Regions may lose each other for an hour;
	// a VM that is silent for longer was removed.
	forgetTimeout = 2 * time.Hour
)

// LargeSize is the number of VMs from which on work that would cost too much if each VM did it is
// delegated: one VM of each region reads the store for the others, and one VM of each failure domain
// serves the state to VMs that start.
const LargeSize = 20

// Peer is the state of another VM.
type Peer struct {
	Identity psmessage.Identity
	// Report is the latest one; nil before the first. ReceivedAt is when this VM received it, or the
	// VM that forwarded it.
	Report     *psmessage.Report
	ReceivedAt time.Time
	// DiscoveredAt is when the VM became known.
	DiscoveredAt time.Time
	// reportBytes is what the report takes in memory, in bytes.
	reportBytes int64
	// publishedOwner states that the VM was published as an owner of a part of the fleet's limits.
	publishedOwner bool
	// replaced is the incarnation of a process that had started while the VM's clock was ahead, and that another one with an earlier
	// incarnation has replaced; 0 if there was none.
	replaced int64
}

// startedLater reports whether a process of the VM with an incarnation is a later one than the known process. Incarnations are
// times of the VM's clock, which may have been ahead: a process that is heard although the known one has been silent for a
// time runs now, whatever its incarnation. heardAt is when it was heard.
func (p *Peer) startedLater(incarnation int64, timeout time.Duration, heardAt time.Time) bool {
	switch known := p.Identity.Incarnation; {
	case incarnation > known:
		return incarnation != p.replaced && (p.Report == nil || !heardAt.Before(p.ReceivedAt))
	case incarnation < known:
		return p.Silence(heardAt) >= timeout
	}
	return false
}

// change records the identity of another process, or of a later one, of the VM.
func (p *Peer) change(i psmessage.Identity) {
	if i.Incarnation < p.Identity.Incarnation {
		p.replaced = p.Identity.Incarnation
	}
	p.Identity = i
}

// OwnsPart reports whether the VM owns a part of the fleet's limits, by its last report or by what it has published.
func (p *Peer) OwnsPart() bool {
	return p.publishedOwner || p.Report != nil && (p.Report.Lease == nil || !p.Report.Lease.Guest)
}

// Ended reports whether the VM's process has ended, according to its last report.
func (p *Peer) Ended() bool {
	return p.Report != nil && p.Report.Lease != nil && p.Report.Lease.Ended
}

// Heir returns the VM to which this one has left its part of the fleet's limits; empty if there is none.
func (p *Peer) Heir() string {
	if p.Report == nil || p.Report.Lease == nil {
		return ""
	}
	return p.Report.Lease.Heir
}

// Fleet holds the peers that one VM knows. It isn't safe for concurrent use.
type Fleet struct {
	self  psmessage.Identity
	peers map[string]*Peer
	// reportBytes is what the reports of all peers take in memory, in bytes.
	reportBytes int64
	// fullUntil is the time until which no silent VM is searched for to make room.
	fullUntil time.Time
	// sorted holds the peers by name, domains those of each failure domain, and addresses their addresses. All are
	// caches, which are nil after a change of the peers.
	sorted    []*Peer
	domains   map[string][]*Peer
	addresses map[netip.AddrPort]bool
	// heirs are the VMs that were published as heirs of others.
	heirs map[string]bool
	// generation counts the changes of the peers' identities.
	generation int64
}

// New returns the fleet of a VM that knows no peers.
func New(self psmessage.Identity) *Fleet {
	return &Fleet{self: self, peers: make(map[string]*Peer), heirs: make(map[string]bool)}
}

// AddPublished adds a peer that was published in the store.
func (f *Fleet) AddPublished(v psmessage.PublishedVM, now time.Time) {
	f.AddIdentity(v.Identity, now)
	if v.Heir != "" {
		f.heirs[v.Heir] = true
	}
	for name, owner := range map[string]bool{v.VM: v.OwnsPart() || f.heirs[v.VM], v.Heir: true} {
		if p, found := f.peers[name]; found {
			p.publishedOwner = p.publishedOwner || owner
		}
	}
}

// AddIdentity adds a peer, or updates its identity to a newer incarnation.
func (f *Fleet) AddIdentity(i psmessage.Identity, now time.Time) {
	if i.VM == f.self.VM {
		return
	}
	p, found := f.peers[i.VM]
	if !found {
		f.peers[i.VM] = &Peer{Identity: i, DiscoveredAt: now}
		f.changed()
		return
	}
	if i.Incarnation > p.Identity.Incarnation && i.Incarnation != p.replaced {
		p.change(i)
		f.changed()
	}
}

// changed drops the caches after a change of the peers' identities.
func (f *Fleet) changed() {
	f.sorted, f.domains, f.addresses = nil, nil, nil
	f.generation++
}

// Generation returns a number that increases with each change of the peers' identities.
func (f *Fleet) Generation() int64 { return f.generation }

// Self returns this VM.
func (f *Fleet) Self() psmessage.Identity { return f.self }

// ApplyReport updates a peer from a report. It returns the peer's previous state, and false for outdated
// reports, for brief ones of an unknown process and for those that exceed the bounds of all peers together.
func (f *Fleet) ApplyReport(r *psmessage.Report, now time.Time) (Peer, bool) {
	if r.VM == f.self.VM {
		return Peer{}, false
	}
	if !f.expandIdentity(r) {
		return Peer{}, false
	}
	if !f.makeRoom(r, now) {
		return Peer{}, false
	}
	p, found := f.peers[r.VM]
	if !found {
		f.AddIdentity(r.Identity, now)
		p = f.peers[r.VM]
	}
	switch {
	case r.Incarnation == p.Identity.Incarnation:
	case p.startedLater(r.Incarnation, f.LiveTimeout(p), now):
		p.change(r.Identity)
		f.changed()
	default:
		return Peer{}, false
	}
	if p.Report != nil && p.Report.Incarnation == r.Incarnation && p.Report.Sequence >= r.Sequence {
		return Peer{}, false
	}
	previous := *p
	p.Identity = r.Identity
	p.Report = r
	size := r.Size()
	f.reportBytes += size - p.reportBytes
	p.reportBytes = size
	p.publishedOwner = p.publishedOwner && p.Heir() == ""
	p.ReceivedAt = now
	return previous, true
}

// expandIdentity completes a brief identity. It returns false if the process isn't known yet. Such a
// report is dropped, and the next one with a full identity replaces it.
func (f *Fleet) expandIdentity(r *psmessage.Report) bool {
	if !r.IsBrief() {
		return true
	}
	p, found := f.peers[r.VM]
	if !found || p.Identity.Incarnation != r.Incarnation {
		return false
	}
	r.Identity = p.Identity
	return true
}

// Size returns the number of known VMs, this one included.
func (f *Fleet) Size() int { return len(f.peers) + 1 }

// ReportInterval returns the time between the reports of one VM.
func (f *Fleet) ReportInterval() time.Duration {
	receivers := f.Size()
	if f.Hierarchical() {
		receivers = len(f.DomainPeers()) + 1
	}
	return max(baseReportInterval, time.Duration(receivers)*reportIntervalPerVM)
}

// startTime is how long a VM that starts reports more often, startReportInterval the time between its reports, and
// startDigestInterval that between its digests. VMs that start together then get their parts of the fleet's limits soon.
const (
	startTime           = 3 * time.Second
	startReportInterval = 50 * time.Millisecond
	startDigestInterval = 200 * time.Millisecond
)

// NextReport returns the time until the next report of this VM, which started some time ago.
func (f *Fleet) NextReport(age time.Duration) time.Duration {
	if age < startTime {
		return startReportInterval
	}
	return f.ReportInterval()
}

// NextDigest returns the time until the next digest of this VM, which started some time ago.
func (f *Fleet) NextDigest(age time.Duration) time.Duration {
	if age < startTime {
		return startDigestInterval
	}
	return f.DigestInterval()
}

// Listens reports whether another VM listens at an address.
func (f *Fleet) Listens(a netip.AddrPort) bool {
	if f.addresses == nil {
		f.addresses = make(map[netip.AddrPort]bool)
		for _, p := range f.Peers() {
			f.addresses[p.Identity.CallerAddress], f.addresses[p.Identity.PeerAddress] = true, true
		}
	}
	return f.addresses[a]
}

// Peers returns the other VMs, sorted by name. The slice is shared and must not be changed.
func (f *Fleet) Peers() []*Peer {
	if f.sorted == nil {
		f.sorted = slices.SortedFunc(maps.Values(f.peers), func(a, b *Peer) int { return cmp.Compare(a.Identity.VM, b.Identity.VM) })
	}
	return f.sorted
}

// Live reports whether the last report of a VM is recent.
func (f *Fleet) Live(p *Peer, now time.Time) bool {
	return p.Report != nil && now.Sub(p.ReceivedAt) < f.LiveTimeout(p)
}

// LiveTimeout is the time after its last report for which a VM counts as live. It is longer for VMs of
// other failure domains, whose reports arrive in digests.
func (f *Fleet) LiveTimeout(p *Peer) time.Duration {
	span := max(minLiveTimeout, liveIntervals*f.ReportInterval()) + liveSlack
	if f.Hierarchical() && p.Identity.FailureDomain != f.self.FailureDomain {
		span += time.Duration(liveDigestIntervals * float64(f.DigestInterval()))
	}
	return span
}

// LongestLiveTimeout is the time after its last report for which any VM counts as live at most.
func (f *Fleet) LongestLiveTimeout() time.Duration {
	return f.LiveTimeout(&Peer{Identity: psmessage.Identity{FailureDomain: anotherDomain}})
}

// anotherDomain is the name of no failure domain.
const anotherDomain = ""

// Peer returns another VM by its name.
func (f *Fleet) Peer(name string) (*Peer, bool) {
	p, found := f.peers[name]
	return p, found
}

// Names returns the names of peers. A failure domain whose peers are all among them is listed in place of its VMs.
func (f *Fleet) Names(peers []*Peer) psmessage.Names {
	var n psmessage.Names
	counts := lo.CountValuesBy(peers, func(p *Peer) string { return p.Identity.FailureDomain })
	for _, p := range peers {
		d := p.Identity.FailureDomain
		switch {
		case d == f.self.FailureDomain || counts[d] < len(f.byDomain()[d]):
			n.VMs = append(n.VMs, p.Identity.VM)
		case !slices.Contains(n.FailureDomains, d):
			n.FailureDomains = append(n.FailureDomains, d)
		}
	}
	return n
}

// Age makes all that is known of the other VMs older, after the monotonic clock did not go on for some time.
func (f *Fleet) Age(d time.Duration) {
	for _, p := range f.peers {
		p.ReceivedAt, p.DiscoveredAt = p.ReceivedAt.Add(-d), p.DiscoveredAt.Add(-d)
	}
}

// Recent reports whether a VM was heard or discovered recently. It may have been restarted since.
func (f *Fleet) Recent(p *Peer, now time.Time) bool {
	return p.Silence(now) < max(recentTimeout, recentIntervals*f.ReportInterval())
}

// Silence returns the time since a VM's last report, or since it became known if it has sent none.
func (p *Peer) Silence(now time.Time) time.Duration {
	if p.Report == nil {
		return now.Sub(p.DiscoveredAt)
	}
	return now.Sub(p.ReceivedAt)
}

// Forget removes the VMs that have been silent for so long that they no longer belong to the fleet. The store keeps what
// a VM published after its end.
func (f *Fleet) Forget(now time.Time) {
	for _, p := range f.peers {
		if p.Silence(now) > forgetTimeout {
			f.remove(p)
		}
	}
}

// RecentVMs returns this VM, first, and the VMs that were heard or discovered recently.
func (f *Fleet) RecentVMs(now time.Time) []psmessage.Identity {
	list := []psmessage.Identity{f.self}
	for _, p := range f.Peers() {
		if f.Recent(p, now) {
			list = append(list, p.Identity)
		}
	}
	return list
}
