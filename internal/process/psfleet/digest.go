package psfleet

import (
	"cmp"
	"slices"
	"time"

	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/version/psrendezvous"
)

const (
	// digestSenders is the number of VMs of a failure domain that send digests to the other failure
	// domains. With two, a report that one of them fails to send arrives from the other.
	digestSenders = 2
	// digestIntervalPerVM is added to the time between two digests of one sender for each VM of the
	// fleet. minDigestInterval and [MaxDigestInterval] bound that time.
	digestIntervalPerVM = 7 * time.Millisecond
	minDigestInterval   = time.Second
	// liveDigestIntervals is the number of digest intervals that are added to the live timeout of a VM
	// of another failure domain. Within that time one of the senders, or one datagram of each, may be
	// lost.
	liveDigestIntervals = 1.5
	// digestsWithFullIdentity is the number of digests that carry a VM's full identity after its
	// process became known. From then on every digestIdentityPeriod-th digest carries it.
	digestsWithFullIdentity = 4
	digestIdentityPeriod    = 8
)

// MaxDigestInterval is the longest time between two digests of one sender.
const MaxDigestInterval = 4 * time.Second

// Hierarchical reports whether the fleet is so large that VMs send reports within their own failure
// domain only, and digests between failure domains.
func (f *Fleet) Hierarchical() bool { return f.Size() >= LargeSize }

// DomainPeers returns the other VMs of this VM's failure domain, sorted by name.
func (f *Fleet) DomainPeers() []*Peer { return f.byDomain()[f.self.FailureDomain] }

// byDomain returns the peers of each failure domain, sorted by name.
func (f *Fleet) byDomain() map[string][]*Peer {
	if f.domains == nil {
		f.domains = make(map[string][]*Peer)
		for _, p := range f.Peers() {
			d := p.Identity.FailureDomain
			f.domains[d] = append(f.domains[d], p)
		}
	}
	return f.domains
}

// DigestInterval returns the time between the digests of one sender.
func (f *Fleet) DigestInterval() time.Duration {
	return max(minDigestInterval, min(MaxDigestInterval, time.Duration(f.Size())*digestIntervalPerVM))
}

// PropagationTime returns the time within which a report reaches all VMs.
func (f *Fleet) PropagationTime() time.Duration {
	if !f.Hierarchical() {
		return f.ReportInterval()
	}
	return f.ReportInterval() + 2*f.DigestInterval()
}

// DigestRank returns this VM's rank among the digest senders of its failure domain. It returns false
// if this VM isn't one of them.
func (f *Fleet) DigestRank(now time.Time) (rank int, sender bool) {
	if !f.Hierarchical() {
		return 0, false
	}
	for _, p := range f.DomainPeers() {
		if f.Live(p, now) && p.Identity.Before(f.self) {
			rank++
		}
	}
	return rank, rank < digestSenders
}

// DigestReceivers returns the VMs that the sender of a rank sends its digest to: one VM of each other
// failure domain. Senders choose different receivers where enough VMs are live. In a failure domain
// without a live VM, the receiver changes with each round.
func (f *Fleet) DigestReceivers(rank int, round int64, now time.Time) []psmessage.Identity {
	var list []psmessage.Identity
	for domain, peers := range f.byDomain() {
		if domain == f.self.FailureDomain {
			continue
		}
		if i, found := f.digestReceiver(peers, rank, round, now); found {
			list = append(list, i)
		}
	}
	return list
}

func (f *Fleet) digestReceiver(peers []*Peer, rank int, round int64, now time.Time) (psmessage.Identity, bool) {
	var live []psmessage.Identity
	for _, p := range peers {
		if f.Live(p, now) {
			live = append(live, p.Identity)
		}
	}
	if len(live) == 0 {
		i := (round*digestSenders + int64(rank)) % int64(len(peers))
		return peers[i].Identity, true
	}
	// The receiver forwards the digest to all VMs of its failure domain at once, which saturates a
	// small network link, so VMs with larger links come first.
	slices.SortFunc(live, func(a, b psmessage.Identity) int {
		return cmp.Or(cmp.Compare(b.Link, a.Link),
			cmp.Compare(psrendezvous.Score(f.self.FailureDomain, b.VM), psrendezvous.Score(f.self.FailureDomain, a.VM)))
	})
	return live[min(rank, len(live)-1)], true
}

// Digester creates the digests of one VM. The zero value is ready to use.
type Digester struct {
	rounds int64
	sent   map[string]*sentReport
}

// sentReport is the state of a VM's reports in the digests sent so far.
type sentReport struct {
	incarnation, sequence int64
	// digests counts the digests with a report of this incarnation.
	digests int
}

// Round returns the number of calls of [Digester.Digest].
func (d *Digester) Round() int64 { return d.rounds }

// Digest returns the reports of this VM's failure domain that are newer than those in the last digest,
// including its own latest one. It returns nil if there are none.
func (d *Digester) Digest(f *Fleet, own psmessage.Report, now time.Time) *psmessage.Digest {
	if d.sent == nil {
		d.sent = make(map[string]*sentReport)
	}
	d.rounds++
	g := &psmessage.Digest{FailureDomain: f.self.FailureDomain}
	d.add(g, psmessage.ForwardedReport{Report: own})
	for _, p := range f.DomainPeers() {
		if f.Live(p, now) {
			d.add(g, psmessage.ForwardedReport{Report: *p.Report, Age: now.Sub(p.ReceivedAt).Round(time.Millisecond)})
		}
	}
	if len(g.Reports) == 0 {
		return nil
	}
	return g
}

func (d *Digester) add(g *psmessage.Digest, r psmessage.ForwardedReport) {
	t, found := d.sent[r.VM]
	if !found || t.incarnation != r.Incarnation {
		t = &sentReport{incarnation: r.Incarnation}
		d.sent[r.VM] = t
	}
	if r.Sequence <= t.sequence {
		return
	}
	t.sequence = r.Sequence
	t.digests++
	if t.digests > digestsWithFullIdentity && t.digests%digestIdentityPeriod != 0 {
		r.Identity = r.Brief()
	}
	g.Reports = append(g.Reports, r)
}
