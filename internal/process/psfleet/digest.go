package psfleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/version/psrendezvous"
)

const (
	// digestSenders is the number of VMs of a failure domain that send digests to the other failure
	// domains. With two, a report that one of them fails to send arrives from the other.
	speakers = 2
	// digestIntervalPerVM is added to the time between two digests of one sender for each VM of the
	// fleet. minDigestInterval and maxDigestInterval bound that time.
	digestPerVM       = 7 * time.Millisecond
	minDigestInterval = time.Second
	maxDigestInterval = 4 * time.Second
	// liveDigestIntervals is the number of digest intervals for which a VM of another failure domain
	// may be silent and still count as live. It tolerates the loss of one of the senders, or of one
	// datagram of each.
	liveDigests = 1.5
	// digestsWithFullIdentity is the number of digests that carry a VM's full identity after its
	// process became known. From then on every fullIdentityPeriod-th digest carries it.
	wholeDigests    = 4
	wholeDigestEach = 8
	// maxReportAge is the highest age of a report in a digest.
	maxDigestAge = time.Minute
)

// ForwardedReport is a report that a VM forwards for another one.
type PassedReport struct {
	Report
	// Age is the time since the forwarding VM received the report.
	Age time.Duration `json:"age,omitempty"`
}

// Digest forwards the reports of one failure domain to the VMs of another. In a large fleet VMs
// send reports within their own failure domain only, and digests connect the failure domains.
type Digest struct {
	// FailureDomain is the source of the reports.
	FailureDomain string `json:"failureDomain"`
	// Relayed says that a VM of the receiver's failure domain forwarded the digest. Relayed digests
	// are not forwarded again.
	Relayed bool           `json:"relayed,omitempty"`
	Reports []PassedReport `json:"reports"`
}

// Check validates a decoded digest.
func (d *Digest) Check() error {
	if d.FailureDomain == "" {
		return errors.New("check digest: failure domain is missing")
	}
	for i := range d.Reports {
		r := &d.Reports[i]
		if err := r.Check(); err != nil {
			return errors.Wrap(err, "check digest")
		}
		if r.Age < 0 || r.Age > maxDigestAge {
			return errors.New("check digest: report age is out of range")
		}
	}
	return nil
}

// Hierarchical reports whether the fleet is so large that VMs send reports within their own failure
// domain only, and digests between failure domains.
func (f *Fleet) Grouped() bool { return f.Size() >= Large }

// DomainPeers returns the other VMs of this VM's failure domain, sorted by name.
func (f *Fleet) Neighbours() []*Peer { return f.inDomains()[f.self.FailureDomain] }

// byDomain returns the peers of each failure domain, sorted by name.
func (f *Fleet) inDomains() map[string][]*Peer {
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
	return max(minDigestInterval, min(maxDigestInterval, time.Duration(f.Size())*digestPerVM))
}

// PropagationTime returns the time within which a report reaches all VMs.
func (f *Fleet) Spread() time.Duration {
	if !f.Grouped() {
		return f.Interval()
	}
	return f.Interval() + 2*f.DigestInterval()
}

// DigestRank returns this VM's rank among the digest senders of its failure domain. It returns false
// if this VM isn't one of them.
func (f *Fleet) Speaks(now time.Time) (rank int, sender bool) {
	if !f.Grouped() {
		return 0, false
	}
	for _, p := range f.Neighbours() {
		if f.Live(p, now) && p.Identity.Before(f.self) {
			rank++
		}
	}
	return rank, rank < speakers
}

// DigestReceivers returns the VMs that the sender of a rank sends its digest to: one VM of each other
// failure domain. Senders choose different receivers. In a failure domain without a live VM, the
// receiver changes with each round.
func (f *Fleet) Receivers(rank int, round int64, now time.Time) []Identity {
	var list []Identity
	for domain, peers := range f.inDomains() {
		if domain == f.self.FailureDomain {
			continue
		}
		if i, found := f.receiver(peers, rank, round, now); found {
			list = append(list, i)
		}
	}
	return list
}

func (f *Fleet) receiver(peers []*Peer, rank int, round int64, now time.Time) (Identity, bool) {
	var live []Identity
	for _, p := range peers {
		if f.Live(p, now) {
			live = append(live, p.Identity)
		}
	}
	if len(live) == 0 {
		i := (round*speakers + int64(rank)) % int64(len(peers))
		return peers[i].Identity, true
	}
	// The receiver forwards the digest to all VMs of its failure domain at once, which saturates a
	// small network link, so VMs with larger links come first.
	slices.SortFunc(live, func(a, b Identity) int {
		return cmp.Or(cmp.Compare(b.Link, a.Link),
			cmp.Compare(psrendezvous.Score(f.self.FailureDomain, b.VM), psrendezvous.Score(f.self.FailureDomain, a.VM)))
	})
	return live[min(rank, len(live)-1)], true
}

// Digester creates the digests of one VM. The zero value is ready to use.
type Digester struct {
	rounds int64
	told   map[string]*toldReport
}

// sentReport is the state of a VM's reports in the digests sent so far.
type toldReport struct {
	incarnation, sequence int64
	// digests counts the digests with a report of this incarnation.
	times int
}

// Round returns the number of calls of [Digester.Digest].
func (d *Digester) Round() int64 { return d.rounds }

// Digest returns the reports of this VM's failure domain that are newer than those in the last digest,
// including its own latest one. It returns nil if there are none.
func (d *Digester) Digest(f *Fleet, own Report, now time.Time) *Digest {
	if d.told == nil {
		d.told = make(map[string]*toldReport)
	}
	d.rounds++
	g := &Digest{FailureDomain: f.self.FailureDomain}
	d.add(g, PassedReport{Report: own})
	for _, p := range f.Neighbours() {
		if f.Live(p, now) {
			d.add(g, PassedReport{Report: *p.Report, Age: now.Sub(p.HeardAt).Round(time.Millisecond)})
		}
	}
	if len(g.Reports) == 0 {
		return nil
	}
	return g
}

func (d *Digester) add(g *Digest, r PassedReport) {
	t, found := d.told[r.VM]
	if !found || t.incarnation != r.Incarnation {
		t = &toldReport{incarnation: r.Incarnation}
		d.told[r.VM] = t
	}
	if r.Sequence <= t.sequence {
		return
	}
	t.sequence = r.Sequence
	t.times++
	if t.times > wholeDigests && t.times%wholeDigestEach != 0 {
		r.Identity = r.brief()
	}
	g.Reports = append(g.Reports, r)
}
