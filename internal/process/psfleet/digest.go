package psfleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/version/psrendezvous"
)

const (
	// speakers is the number of VMs of a failure domain that tell the other ones about it. With
	// two, what one of them fails to tell comes from the other.
	speakers = 2
	// digestPerVM is what each VM of the fleet adds to the time between two digests of one
	// speaker, and minDigestInterval and maxDigestInterval bound that time.
	digestPerVM       = 7 * time.Millisecond
	minDigestInterval = time.Second
	maxDigestInterval = 4 * time.Second
	// liveDigests is the number of digest intervals for which a VM of another failure domain may
	// be silent. One of the speakers, or a datagram of each, may be lost meanwhile.
	liveDigests = 1.5
	// wholeDigests is the number of digests that tell a VM's whole identity after its process became
	// known, and wholeDigestEach the distance of later ones.
	wholeDigests    = 4
	wholeDigestEach = 8
	// maxDigestAge bounds how long ago a report may have been heard that a digest passes on.
	maxDigestAge = time.Minute
)

// PassedReport is a report that a VM passes on.
type PassedReport struct {
	Report
	// Age is how long ago the VM heard it.
	Age time.Duration `json:"age,omitempty"`
}

// Digest tells the VMs of one failure domain about those of another. In a large fleet VMs report to
// those of their own failure domain only; the first of them pass the reports on.
type Digest struct {
	// FailureDomain is the one that the reports come from.
	FailureDomain string `json:"failureDomain"`
	// Relayed says that a VM of the receiver's failure domain passed the digest on.
	Relayed bool           `json:"relayed,omitempty"`
	Reports []PassedReport `json:"reports"`
}

// Check returns what is wrong with a decoded digest.
func (d *Digest) Check() error {
	if d.FailureDomain == "" {
		return errors.New("a digest without its failure domain")
	}
	for i := range d.Reports {
		r := &d.Reports[i]
		if err := r.Check(); err != nil {
			return errors.Wrap(err, "digest")
		}
		if r.Age < 0 || r.Age > maxDigestAge {
			return errors.New("digest: an age is out of range")
		}
	}
	return nil
}

// Grouped reports whether the fleet is so large that VMs report to their own failure domain only.
func (f *Fleet) Grouped() bool { return f.Size() >= Large }

// Neighbours returns the other VMs of the own failure domain by name.
func (f *Fleet) Neighbours() []*Peer { return f.inDomains()[f.self.FailureDomain] }

// inDomains returns the peers of each failure domain by name.
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

// DigestInterval returns the time between the digests of one speaker.
func (f *Fleet) DigestInterval() time.Duration {
	return max(minDigestInterval, min(maxDigestInterval, time.Duration(f.Size())*digestPerVM))
}

// Spread returns the time within which all VMs have heard a report.
func (f *Fleet) Spread() time.Duration {
	if !f.Grouped() {
		return f.Interval()
	}
	return f.Interval() + 2*f.DigestInterval()
}

// Speaks returns this VM's place among those that tell other failure domains about the own one, and
// false if it isn't one of them.
func (f *Fleet) Speaks(now time.Time) (place int, found bool) {
	if !f.Grouped() {
		return 0, false
	}
	for _, p := range f.Neighbours() {
		if f.Live(p, now) && p.Identity.Before(f.self) {
			place++
		}
	}
	return place, place < speakers
}

// Receivers returns the VMs that a speaker sends its digest to, one of each other failure domain.
// Speakers choose different ones. Where none is known to live, they are tried in turn by round.
func (f *Fleet) Receivers(place int, round int64, now time.Time) []Identity {
	var list []Identity
	for domain, peers := range f.inDomains() {
		if domain == f.self.FailureDomain {
			continue
		}
		if i, found := f.receiver(peers, place, round, now); found {
			list = append(list, i)
		}
	}
	return list
}

func (f *Fleet) receiver(peers []*Peer, place int, round int64, now time.Time) (Identity, bool) {
	var live []Identity
	for _, p := range peers {
		if f.Live(p, now) {
			live = append(live, p.Identity)
		}
	}
	if len(live) == 0 {
		i := (round*speakers + int64(place)) % int64(len(peers))
		return peers[i].Identity, true
	}
	// The receiver passes the digest on to all its neighbours at once, which fills a small link.
	slices.SortFunc(live, func(a, b Identity) int {
		return cmp.Or(cmp.Compare(b.Link, a.Link),
			cmp.Compare(psrendezvous.Score(f.self.FailureDomain, b.VM), psrendezvous.Score(f.self.FailureDomain, a.VM)))
	})
	return live[min(place, len(live)-1)], true
}

// Digester makes the digests of one VM. The zero value has made none.
type Digester struct {
	rounds int64
	told   map[string]*toldReport
}

// toldReport is what the last digest told of a VM.
type toldReport struct {
	incarnation, sequence int64
	// times counts the digests that told of the process.
	times int
}

// Round returns the number of digests that were made.
func (d *Digester) Round() int64 { return d.rounds }

// Digest returns the reports of the own failure domain that came since the last digest, the own
// latest one included. It returns nil if there are none.
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
