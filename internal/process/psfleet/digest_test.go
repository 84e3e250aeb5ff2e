package psfleet_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psmessage"
)

// tick is the time between two steps of a simulated fleet.
const tick = 50 * time.Millisecond

// simulatedVM is a VM of a simulated fleet.
type simulatedVM struct {
	identity psmessage.Identity
	fleet    *psfleet.Fleet
	digester psfleet.Digester
	own      psmessage.Report
	sequence int64
	reportAt time.Duration
	digestAt time.Duration
	dead     bool
	// sent counts the datagrams that the VM sent.
	sent int
}

// simulatedFleet delivers messages between VMs and drops some of them.
type simulatedFleet struct {
	t      *testing.T
	vms    map[string]*simulatedVM
	list   []*simulatedVM
	random *rand.Rand
	now    time.Duration
	// cut reports whether messages from one VM to another are lost.
	cut func(from, to psmessage.Identity) bool
}

func newSimulatedFleet(t *testing.T, domains, each int) *simulatedFleet {
	f := &simulatedFleet{t: t, vms: map[string]*simulatedVM{}, random: rand.New(rand.NewPCG(1, 2)), cut: func(_, _ psmessage.Identity) bool { return false }}
	a := netip.MustParseAddrPort("10.0.0.1:80")
	for d := range domains {
		for i := range each {
			v := &simulatedVM{identity: psmessage.Identity{
				VM: fmt.Sprintf("vm-%02d-%02d", d, i), FailureDomain: fmt.Sprint("domain-", d), Region: fmt.Sprint("region-", d%3),
				CallerAddress: a, PeerAddress: a, Incarnation: 1,
			}}
			v.fleet = psfleet.New(v.identity)
			v.reportAt = time.Duration(f.random.Int64N(int64(300 * time.Millisecond)))
			v.digestAt = time.Duration(f.random.Int64N(int64(time.Second)))
			f.vms[v.identity.VM] = v
			f.list = append(f.list, v)
		}
	}
	for _, v := range f.list {
		for _, o := range f.list {
			v.fleet.AddIdentity(o.identity, startTime)
		}
	}
	return f
}

// run advances the simulation by a time span.
func (f *simulatedFleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; f.now += tick {
		for _, v := range f.list {
			if !v.dead {
				f.step(v)
			}
		}
	}
}

func (f *simulatedFleet) at() time.Time { return startTime.Add(f.now) }

func (f *simulatedFleet) step(v *simulatedVM) {
	if f.now >= v.reportAt {
		v.sequence++
		v.own = psmessage.Report{Identity: v.identity, Sequence: v.sequence, Ready: true}
		r := v.own
		r.Shorten(0)
		for _, p := range v.fleet.DomainPeers() {
			f.send(v, p.Identity, func(to *simulatedVM) {
				got := r
				to.fleet.ApplyReport(&got, f.at())
			})
		}
		v.reportAt = f.now + v.fleet.ReportInterval()
	}
	if f.now >= v.digestAt {
		v.digestAt = f.now + v.fleet.DigestInterval()
		rank, sender := v.fleet.DigestRank(f.at())
		if !sender {
			return
		}
		if d := v.digester.Digest(v.fleet, v.own, f.at()); d != nil {
			qt.Assert(f.t, d.Check(), qt.IsNil)
			known, strangers := v.digester.Receivers(v.fleet, rank, f.at())
			for _, i := range known {
				f.send(v, i, func(to *simulatedVM) { f.receiveDigest(to, d) })
			}
			full := v.fleet.Expand(d)
			for _, i := range strangers {
				f.send(v, i, func(to *simulatedVM) { f.receiveDigest(to, full) })
			}
		}
	}
}

func (f *simulatedFleet) receiveDigest(v *simulatedVM, d *psmessage.Digest) {
	for _, r := range d.Reports {
		got := r.Report
		v.fleet.ApplyReport(&got, f.at().Add(-r.Age))
	}
	if d.Relayed || d.FailureDomain == v.identity.FailureDomain {
		return
	}
	relayed := *d
	relayed.Relayed = true
	for _, p := range v.fleet.DomainPeers() {
		f.send(v, p.Identity, func(to *simulatedVM) { f.receiveDigest(to, &relayed) })
	}
}

// send delivers a message at once, or drops one in a hundred.
func (f *simulatedFleet) send(from *simulatedVM, to psmessage.Identity, deliver func(to *simulatedVM)) {
	from.sent++
	v := f.vms[to.VM]
	if v.dead || f.cut(from.identity, to) || f.random.IntN(100) == 0 {
		return
	}
	deliver(v)
}

// countLive counts the pairs of VMs that match and in which the first, running VM considers the second live.
func (f *simulatedFleet) countLive(matches func(v, other *simulatedVM) bool) int {
	n := 0
	for _, v := range f.list {
		if v.dead {
			continue
		}
		for _, p := range v.fleet.Peers() {
			if v.fleet.Live(p, f.at()) && matches(v, f.vms[p.Identity.VM]) {
				n++
			}
		}
	}
	return n
}

func dead(_, other *simulatedVM) bool { return other.dead }

func living(_, other *simulatedVM) bool { return !other.dead }

// TestLargeFleetMembershipConverges simulates 297 VMs in nine failure domains on a network that loses one
// datagram in a hundred. It stops digest senders of three failure domains and all VMs of a fourth one. No VM
// may count a stopped VM as live, and 99 % of the pairs of running VMs must count each other as live.
func TestLargeFleetMembershipConverges(t *testing.T) {
	f := newSimulatedFleet(t, 9, 33)
	f.run(5 * time.Second)
	all := len(f.list) * (len(f.list) - 1)
	qt.Assert(t, f.countLive(living) >= all*99/100, qt.IsTrue, qt.Commentf("%d of %d", f.countLive(living), all))

	// Stop digest senders of three failure domains and all VMs of a fourth one.
	for _, v := range f.list {
		v.dead = v.identity.FailureDomain == "domain-3" || v.identity.VM <= "vm-00-01" || v.identity.VM == "vm-01-00" || v.identity.VM == "vm-02-01"
	}
	f.run(5 * time.Second)
	qt.Assert(t, f.countLive(dead), qt.Equals, 0)
	live := 0
	for _, v := range f.list {
		if !v.dead {
			live++
		}
	}
	all = live * (live - 1)
	qt.Assert(t, f.countLive(living) >= all*99/100, qt.IsTrue, qt.Commentf("%d of %d", f.countLive(living), all))
}

// TestDatagramsPerVMAreBoundedInALargeFleet counts the datagrams of each VM in ten seconds. The number must
// depend on the failure domain rather than on the fleet, and digest senders must not send many times as many as
// the others.
func TestDatagramsPerVMAreBoundedInALargeFleet(t *testing.T) {
	f := newSimulatedFleet(t, 9, 33)
	f.run(5 * time.Second)
	for _, v := range f.list {
		v.sent = 0
	}
	f.run(10 * time.Second)
	total, most := 0, 0
	for _, v := range f.list {
		total += v.sent
		most = max(most, v.sent)
	}
	// A report to each other VM, as in a small fleet, would be 296 datagrams each 5.4 s.
	mean := total / len(f.list)
	qt.Assert(t, mean <= 900, qt.IsTrue, qt.Commentf("mean %d", mean))
	qt.Assert(t, most <= 5*mean, qt.IsTrue, qt.Commentf("mean %d, most %d", mean, most))
}

// TestPartitionedFleetReconverges partitions a region from the others for longer than all liveness and
// reservation timeouts.
func TestPartitionedFleetReconverges(t *testing.T) {
	f := newSimulatedFleet(t, 6, 8)
	f.run(3 * time.Second)
	f.cut = func(a, b psmessage.Identity) bool { return (a.Region == "region-0") != (b.Region == "region-0") }
	f.run(20 * time.Second)
	across := func(v, o *simulatedVM) bool { return f.cut(v.identity, o.identity) }
	qt.Assert(t, f.countLive(across), qt.Equals, 0)
	partition := f.cut
	f.cut = func(_, _ psmessage.Identity) bool { return false }
	f.run(4 * time.Second)
	pairs := 2 * 16 * 32
	n := f.countLive(func(v, o *simulatedVM) bool { return partition(v.identity, o.identity) })
	qt.Assert(t, n >= pairs*99/100, qt.IsTrue, qt.Commentf("%d of %d", n, pairs))
}

// TestLastVMsOfTwoDomainsNeverMeet covers two failure domains of which one VM each is left. Each of the two restarts, so that the
// other one knows an earlier process of it.
func TestLastVMsOfTwoDomainsNeverMeet(t *testing.T) {
	for first := range 4 {
		for second := range 4 {
			f := newSimulatedFleet(t, 6, 4)
			f.run(3 * time.Second)
			a, b := f.vms[fmt.Sprintf("vm-00-%02d", first)], f.vms[fmt.Sprintf("vm-01-%02d", second)]
			for _, v := range f.list {
				domain := v.identity.FailureDomain
				v.dead = (domain == "domain-0" || domain == "domain-1") && v != a && v != b
			}
			f.cut = func(from, to psmessage.Identity) bool {
				return from.FailureDomain == a.identity.FailureDomain || to.FailureDomain == a.identity.FailureDomain
			}
			f.run(20 * time.Second)
			for _, v := range []*simulatedVM{a, b} {
				v.identity.Incarnation++
				v.fleet, v.sequence, v.digester = psfleet.New(v.identity), 0, psfleet.Digester{}
				for _, o := range f.list {
					if o != a && o != b {
						v.fleet.AddIdentity(o.identity, f.at())
					}
				}
			}
			// Each has read what the earlier process of the other one had published.
			for v, o := range map[*simulatedVM]*simulatedVM{a: b, b: a} {
				earlier := o.identity
				earlier.Incarnation--
				v.fleet.AddIdentity(earlier, f.at())
			}
			f.run(20 * time.Second)
			f.cut = func(_, _ psmessage.Identity) bool { return false }
			f.run(25 * time.Second)
			n := f.countLive(func(v, o *simulatedVM) bool { return v == a && o == b || v == b && o == a })
			qt.Check(t, n, qt.Equals, 2, qt.Commentf("VMs %d and %d", first, second))
		}
	}
}

// TestDigestCheckRejectsInvalidDigests covers digests that VMs of other versions or other senders may send.
func TestDigestCheckRejectsInvalidDigests(t *testing.T) {
	valid := psmessage.ForwardedReport{Report: psmessage.Report{Identity: identity("vm-1", 1)}}
	qt.Assert(t, (&psmessage.Digest{FailureDomain: "north-a", Reports: []psmessage.ForwardedReport{valid}}).Check(), qt.IsNil)
	old := valid
	old.Age = time.Hour
	for _, d := range []psmessage.Digest{
		{}, {FailureDomain: "north-a", Reports: []psmessage.ForwardedReport{{}}}, {FailureDomain: "north-a", Reports: []psmessage.ForwardedReport{old}},
	} {
		qt.Check(t, d.Check(), qt.IsNotNil, qt.Commentf("%+v", d))
	}
}

// TestDigestReceiverHasLargestLink guards against sending digests to VMs with small network links, which
// forwarding to a whole failure domain saturates.
func TestDigestReceiverHasLargestLink(t *testing.T) {
	f := psfleet.New(psmessage.Identity{VM: "vm-0", FailureDomain: "north-a"})
	for i := range 30 {
		v := identity(fmt.Sprint("vm-", i+1), 1)
		v.FailureDomain, v.Link = "south-a", 20
		if i == 17 {
			v.Link = 200
		}
		f.ApplyReport(&psmessage.Report{Identity: v, Sequence: 1}, startTime)
	}
	var d psfleet.Digester
	to, _ := d.Receivers(f, 0, startTime)
	qt.Assert(t, to, qt.HasLen, 1)
	qt.Assert(t, to[0].VM, qt.Equals, "vm-18")
	to, _ = d.Receivers(f, 1, startTime)
	qt.Assert(t, to[0].VM, qt.Not(qt.Equals), "vm-18")
}

// TestInvalidReportStopsTheOthersOfADigest covers a digest of which one report is invalid.
func TestInvalidReportStopsTheOthersOfADigest(t *testing.T) {
	valid := psmessage.ForwardedReport{Report: psmessage.Report{Identity: psmessage.Identity{VM: "vm-1", Incarnation: 1}, Sequence: 1}}
	odd := valid
	odd.Incarnation = math.MaxInt64
	d := psmessage.Digest{FailureDomain: "north-a", Reports: []psmessage.ForwardedReport{odd, valid}}
	invalid, err := d.DropInvalid()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, invalid, qt.IsNotNil)
	qt.Assert(t, d.Reports, qt.HasLen, 1)
	qt.Assert(t, d.Reports[0].Incarnation, qt.Equals, valid.Incarnation)
}
