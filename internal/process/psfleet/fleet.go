// Package psfleet tracks the membership and liveness of the VMs of the fleet.
//
// VMs publish their identity and addresses in the platform's store. From then on they send each
// other periodic reports, which serve as heartbeats. A VM is live while its reports are recent. A VM
// without recent reports may have failed or may only be unreachable, so its share of the
// fleet-wide limits stays reserved until a longer timeout has passed.
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
	// reserveTimeout is how long the share of a silent VM stays reserved. In a large fleet it is at
	// least reserveIntervals report intervals.
	reserveTimeout   = 10 * time.Second
	reserveIntervals = 4
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
	// caches: sorted is nil after a peer was added, the others also after the identity of one has changed.
	sorted    []*Peer
	domains   map[string][]*Peer
	addresses map[netip.AddrPort]bool
}

// New returns the fleet of a VM that knows no peers.
func New(self psmessage.Identity) *Fleet {
	return &Fleet{self: self, peers: make(map[string]*Peer)}
}

// AddIdentity adds a peer, or updates its identity to a newer incarnation.
func (f *Fleet) AddIdentity(i psmessage.Identity, now time.Time) {
	if i.VM == f.self.VM {
		return
	}
	p, found := f.peers[i.VM]
	if !found {
		f.peers[i.VM] = &Peer{Identity: i, DiscoveredAt: now}
		f.sorted, f.domains, f.addresses = nil, nil, nil
		return
	}
	if i.Incarnation > p.Identity.Incarnation {
		p.Identity = i
		f.domains, f.addresses = nil, nil
	}
}

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
	f.AddIdentity(r.Identity, now)
	p := f.peers[r.VM]
	if r.Incarnation < p.Identity.Incarnation {
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
	return p.Report != nil && now.Sub(p.ReceivedAt) < f.liveTimeout(p)
}

// liveTimeout is the time after its last report for which a VM counts as live. It is longer for VMs of
// other failure domains, whose reports arrive in digests.
func (f *Fleet) liveTimeout(p *Peer) time.Duration {
	span := max(minLiveTimeout, liveIntervals*f.ReportInterval()) + liveSlack
	if f.Hierarchical() && p.Identity.FailureDomain != f.self.FailureDomain {
		span += time.Duration(liveDigestIntervals * float64(f.DigestInterval()))
	}
	return span
}

// Reserved reports whether a VM may still use its share of the fleet-wide limits.
func (f *Fleet) Reserved(p *Peer, now time.Time) bool {
	return p.silence(now) < max(reserveTimeout, reserveIntervals*f.ReportInterval())
}

// silence returns the time since a VM's last report, or since it became known if it has sent none.
func (p *Peer) silence(now time.Time) time.Duration {
	if p.Report == nil {
		return now.Sub(p.DiscoveredAt)
	}
	return now.Sub(p.ReceivedAt)
}

// Forget removes the VMs that have been silent for so long that they no longer belong to the fleet. The store keeps what
// a VM published after its end.
func (f *Fleet) Forget(now time.Time) {
	for _, p := range f.peers {
		if p.silence(now) > forgetTimeout {
			f.remove(p)
		}
	}
}

// ShareHolders returns this VM, first, and the VMs that may still use their share of the fleet-wide
// limits.
func (f *Fleet) ShareHolders(now time.Time) []psmessage.Identity {
	list := []psmessage.Identity{f.self}
	for _, p := range f.Peers() {
		if f.Reserved(p, now) {
			list = append(list, p.Identity)
		}
	}
	return list
}
