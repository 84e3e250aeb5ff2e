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
	"encoding/json"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/version/psrevision"
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

// Identity names the process of a VM, its location and its addresses, as published in the store.
type Identity struct {
	VM            string         `json:"vm"`
	FailureDomain string         `json:"failureDomain,omitempty"`
	Region        string         `json:"region,omitempty"`
	CallerAddress netip.AddrPort `json:"callers,omitzero"`
	PeerAddress   netip.AddrPort `json:"peers,omitzero"`
	// Link is the capacity of the VM's network link in each direction, in Mbit/s.
	Link float64 `json:"link,omitempty"`
	// Incarnation is the start time of the process, in milliseconds since the Unix epoch. It grows with each restart.
	Incarnation int64 `json:"incarnation"`
	// Features are what the build of the VM can do for others.
	Features Features `json:"features,omitempty"`
}

// Before orders the VMs of a region or failure domain in the same way on all VMs. The first live VM
// acts for the others, so VMs with larger network links come first.
func (i Identity) Before(other Identity) bool {
	if i.Link != other.Link {
		return i.Link > other.Link
	}
	return i.VM < other.VM
}

// maxDistance is the largest distance of two VMs.
const maxDistance = 2

// Distance returns the distance of the VM from a location: 0 within a failure domain, 1 within a region and 2 between
// regions.
func (i Identity) Distance(failureDomain, region string) int {
	switch {
	case i.FailureDomain == failureDomain:
		return 0
	case i.Region == region:
		return 1
	}
	return maxDistance
}

// The ranges of an identity's fields. An identity with a later incarnation would hide all reports of its VM, and one with
// a faster link would make it the relay of its region.
const (
	// maxLink is the fastest network link, in Mbit/s.
	maxLink = 10_000_000
	// maxPeerPort leaves room for the ports of a VM that follow the one for messages.
	maxPeerPort = math.MaxUint16 - 8
	// maxSequence is reached after thousands of years of reports.
	maxSequence = 1 << 40
)

// maxIncarnation is the latest start of a process.
var maxIncarnation = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()

// Check validates a decoded identity.
func (i Identity) Check() error {
	if i.VM == "" || i.FailureDomain == "" || i.Region == "" || !i.CallerAddress.IsValid() || !i.PeerAddress.IsValid() {
		return errors.New("check VM identity: a field is missing")
	}
	if i.CallerAddress.Port() == 0 || i.PeerAddress.Port() == 0 || i.PeerAddress.Port() > maxPeerPort || i.Link < 0 || i.Link > maxLink {
		return errors.New("check VM identity: a port or the link is out of range")
	}
	return i.checkIncarnation()
}

func (i Identity) checkIncarnation() error {
	if i.Incarnation < 0 || i.Incarnation > maxIncarnation {
		return errors.New("check VM identity: incarnation is out of range")
	}
	return nil
}

// brief returns the fields that identify the VM's process. Receivers add the others from the last full
// identity.
func (i Identity) brief() Identity { return Identity{VM: i.VM, Incarnation: i.Incarnation} }

// isBrief reports whether the identity has only these fields.
func (i Identity) isBrief() bool { return i.VM != "" && i.Incarnation != 0 && i == i.brief() }

// DecodeIdentity decodes and validates a published identity.
func DecodeIdentity(data []byte) (Identity, error) {
	var i Identity
	if err := json.Unmarshal(data, &i); err != nil {
		return Identity{}, errors.Wrap(err, "decode VM identity")
	}
	return i, i.Check()
}

// Report is the periodic message of a VM to the others. It serves as a heartbeat.
type Report struct {
	// Identity is complete in the first reports of a process and in every reportIdentityPeriod-th one.
	// The others only identify the process.
	Identity
	// Sequence increases with each report of one incarnation.
	Sequence int64 `json:"sequence"`
	// Ready is set if the VM accepts requests of callers.
	Ready bool `json:"ready"`
	// ReadsStore is set if the VM reads the store itself or receives changes from one that does.
	ReadsStore bool `json:"reads,omitempty"`
	// NoServers is set if the VM has lost its links to all backend servers.
	NoServers bool `json:"noServers,omitempty"`
	// Version is the configuration version in force; 0 before the first one.
	Version int64 `json:"version"`
	// Demands are the requests per second that callers send, granted or not, by workspace.
	Demands map[string]float64 `json:"demands,omitempty"`
	// Crashes counts server crashes by the fingerprint of the request.
	Crashes map[uint64]int `json:"crashes,omitempty"`
	// Failed lists the ids of servers that the VM recently found to be down.
	Failed []string `json:"failed,omitempty"`
	// Leaving lists servers that recently announced their shutdown to the VM.
	Leaving []psserver.Run `json:"leaving,omitempty"`
	// Limited lists servers that recently began or ceased to name a limit to the VM.
	Limited []ServerLimit `json:"limited,omitempty"`
	// Slow lists servers that are slower than the others of their service, with their lag: the response
	// time as a multiple of the longest expected one.
	Slow map[string]float64 `json:"slow,omitempty"`
}

const (
	// reportsWithFullIdentity is the number of reports with a full identity after the start of a
	// process or after another VM became known. From then on every reportIdentityPeriod-th one has it.
	reportsWithFullIdentity = 4
	reportIdentityPeriod    = 8
)

// Shorten removes the fields of the identity that the other VMs have received by now. grownAt is the sequence
// number of the report that was created when the newest VM became known.
func (r *Report) Shorten(grownAt int64) {
	if r.Sequence > grownAt+reportsWithFullIdentity && r.Sequence%reportIdentityPeriod != 0 {
		r.Identity = r.brief()
	}
}

// Check validates a decoded report.
func (r *Report) Check() error {
	for _, v := range r.Limited {
		if err := v.Check(); err != nil {
			return errors.Wrap(err, "check report")
		}
	}
	if r.Sequence < 0 || r.Sequence > maxSequence || r.Version < 0 {
		return errors.New("check report: sequence or version is out of range")
	}
	if r.isBrief() {
		return r.checkIncarnation()
	}
	return r.Identity.Check()
}

// Notice announces to the VMs of a region what one of them has read in the store. It is also sent when
// nothing has changed, to show how recent the data is.
type Notice struct {
	VM     string  `json:"vm"`
	Link   float64 `json:"link,omitempty"`
	Region string  `json:"region"`
	// Servers are the changes of the server entries; nil if the notice is about the desired state.
	Servers *ServerChanges `json:"servers,omitempty"`
	// DesiredStateRevision is the revision of the latest change of the desired state; zero if the notice is about
	// servers.
	DesiredStateRevision psrevision.Revision `json:"orders,omitzero"`
}

// Check validates a decoded notice, except for the entries of servers: the registry ignores each invalid one by itself.
func (n *Notice) Check() error {
	if n.VM == "" || n.Region == "" {
		return errors.New("check notice: VM or region is missing")
	}
	return nil
}

// ServerChanges are the changes of server entries between two revisions of the store.
type ServerChanges struct {
	From psrevision.Revision `json:"from"`
	To   psrevision.Revision `json:"to"`
	// Before is the revision of the last change that precedes these. A receiver that has the entries
	// as of that revision or later has missed no change.
	Before  psrevision.Revision `json:"before"`
	Entries []psserver.Entry    `json:"entries,omitempty"`
	Removed []string            `json:"removed,omitempty"`
}

// Peer is the state of another VM.
type Peer struct {
	Identity Identity
	// Report is the latest one; nil before the first. ReceivedAt is when this VM received it, or the
	// VM that forwarded it.
	Report     *Report
	ReceivedAt time.Time
	// DiscoveredAt is when the VM became known.
	DiscoveredAt time.Time
}

// Fleet holds the peers that one VM knows. It isn't safe for concurrent use.
type Fleet struct {
	self  Identity
	peers map[string]*Peer
	// sorted holds the peers by name, and domains those of each failure domain. Both are caches:
	// sorted is nil after a peer was added, domains also after the identity of one has changed.
	sorted  []*Peer
	domains map[string][]*Peer
}

// New returns the fleet of a VM that knows no peers.
func New(self Identity) *Fleet {
	return &Fleet{self: self, peers: make(map[string]*Peer)}
}

// AddIdentity adds a peer, or updates its identity to a newer incarnation.
func (f *Fleet) AddIdentity(i Identity, now time.Time) {
	if i.VM == f.self.VM {
		return
	}
	p, found := f.peers[i.VM]
	if !found {
		f.peers[i.VM] = &Peer{Identity: i, DiscoveredAt: now}
		f.sorted, f.domains = nil, nil
		return
	}
	if i.Incarnation > p.Identity.Incarnation {
		p.Identity = i
		f.domains = nil
	}
}

// ApplyReport updates a peer from a report. It returns the peer's previous state, and false for outdated
// reports and for brief ones of an unknown process.
func (f *Fleet) ApplyReport(r *Report, now time.Time) (Peer, bool) {
	if r.VM == f.self.VM {
		return Peer{}, false
	}
	if !f.expandIdentity(r) {
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
	p.ReceivedAt = now
	return previous, true
}

// expandIdentity completes a brief identity. It returns false if the process isn't known yet. Such a
// report is dropped, and the next one with a full identity replaces it.
func (f *Fleet) expandIdentity(r *Report) bool {
	if !r.isBrief() {
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
	return slices.ContainsFunc(f.Peers(), func(p *Peer) bool { return p.Identity.CallerAddress == a || p.Identity.PeerAddress == a })
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
	before := len(f.peers)
	maps.DeleteFunc(f.peers, func(_ string, p *Peer) bool { return p.silence(now) > forgetTimeout })
	if len(f.peers) != before {
		f.sorted, f.domains = nil, nil
	}
}

// ShareHolders returns this VM, first, and the VMs that may still use their share of the fleet-wide
// limits.
func (f *Fleet) ShareHolders(now time.Time) []Identity {
	list := []Identity{f.self}
	for _, p := range f.Peers() {
		if f.Reserved(p, now) {
			list = append(list, p.Identity)
		}
	}
	return list
}
