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
func (f *Fleet) DigestInterval() time.Duration { return DigestIntervalOf(f.Size()) }

// DigestIntervalOf returns the time between the digests of one sender in a fleet of a number of VMs.
func DigestIntervalOf(vms int) time.Duration {
	return max(minDigestInterval, min(MaxDigestInterval, time.Duration(vms)*digestIntervalPerVM))
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

// digestReceiver returns the receiver of a failure domain, and whether it is live.
func (f *Fleet) digestReceiver(peers []*Peer, rank int, round int64, now time.Time) (receiver psmessage.Identity, isLive bool) {
	var live []psmessage.Identity
	for _, p := range peers {
		if f.Live(p, now) {
			live = append(live, p.Identity)
		}
	}
	if len(live) == 0 {
		// Each sender goes through all of them, and each begins with another one.
		i := (round + int64(rank*len(peers)/digestSenders)) % int64(len(peers))
		return peers[i].Identity, false
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
	// introductions is the number of digests with full identities that are still sent to each failure domain.
	introductions map[string]int
}

// sentReport is the state of a VM's reports in the digests sent so far.
type sentReport struct {
	incarnation, sequence int64
	// digests counts the digests with a report of this incarnation.
	digests int
}

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

// Receivers returns the VMs to which the sender of a rank sends its last digest: one VM of each other
// failure domain. Senders choose different receivers where enough VMs are live. In a failure domain
// without a live VM, the receiver changes with each round. There, and for some digests after that, the
// receivers may not know the identities that the digest abbreviates: they are strangers.
func (d *Digester) Receivers(f *Fleet, rank int, now time.Time) (known, strangers []psmessage.Identity) {
	if d.introductions == nil {
		d.introductions = make(map[string]int)
	}
	for domain, peers := range f.byDomain() {
		if domain == f.self.FailureDomain {
			continue
		}
		i, live := f.digestReceiver(peers, rank, d.rounds, now)
		if !live {
			d.introductions[domain] = digestsWithFullIdentity
		}
		if d.introductions[domain] > 0 {
			d.introductions[domain]--
			strangers = append(strangers, i)
		} else {
			known = append(known, i)
		}
	}
	return known, strangers
}

// Expand returns a digest with the full identity of each VM that the fleet knows.
func (f *Fleet) Expand(d *psmessage.Digest) *psmessage.Digest {
	full := *d
	full.Reports = slices.Clone(d.Reports)
	for i := range full.Reports {
		f.expand(&full.Reports[i].Identity)
	}
	return &full
}

func (f *Fleet) expand(i *psmessage.Identity) {
	if i.VM == f.self.VM {
		*i = f.self
	} else if p, found := f.peers[i.VM]; found && p.Identity.Incarnation == i.Incarnation {
		*i = p.Identity
	}
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
