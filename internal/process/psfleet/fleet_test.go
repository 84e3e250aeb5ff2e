package psfleet_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psmessage"
)

var startTime = time.Unix(1000, 0)

func identity(vm string, incarnation int64) psmessage.Identity {
	a := netip.MustParseAddrPort("10.0.0.1:80")
	return psmessage.Identity{VM: vm, FailureDomain: "north-a", Region: "north", CallerAddress: a, PeerAddress: a, Incarnation: incarnation}
}

func TestSilentVMIsNotLiveButItsShareIsReserved(t *testing.T) {
	f := psfleet.New(identity("vm-1", 1))
	f.AddIdentity(identity("vm-2", 1), startTime)
	p := f.Peers()[0]
	qt.Assert(t, f.Live(p, startTime), qt.IsFalse)
	qt.Assert(t, f.Recent(p, startTime), qt.IsTrue)
	_, fresh := f.ApplyReport(&psmessage.Report{Identity: identity("vm-2", 1), Sequence: 1}, startTime)
	qt.Assert(t, fresh, qt.IsTrue)
	qt.Assert(t, f.Live(p, startTime.Add(time.Second)), qt.IsTrue)
	qt.Assert(t, f.Live(p, startTime.Add(2*time.Second)), qt.IsFalse)
	qt.Assert(t, f.Recent(p, startTime.Add(5*time.Second)), qt.IsTrue)
	qt.Assert(t, f.Recent(p, startTime.Add(11*time.Second)), qt.IsFalse)
}

// TestReplacedVMsLeaveTheFleet guards against limits that shrink with each VM that was ever replaced: an owner of tokens
// grants the fraction of the fleet that it reaches.
func TestReplacedVMsLeaveTheFleet(t *testing.T) {
	f := psfleet.New(identity("vm-1", 1))
	for hour := range 100 {
		now := startTime.Add(time.Duration(hour) * time.Hour)
		f.AddIdentity(identity(fmt.Sprint("replaced-", hour), 1), now)
		f.ApplyReport(&psmessage.Report{Identity: identity("vm-2", 1), Sequence: int64(hour + 1)}, now)
		f.Forget(now)
	}
	// A VM counts for two hours after it was heard of last.
	qt.Assert(t, f.Size(), qt.Equals, 2+3)
	qt.Assert(t, f.Peers(), qt.HasLen, 4)
	qt.Assert(t, f.DomainPeers(), qt.HasLen, 4)
}

// TestReportsOfEverOtherVMsAreBounded replays a sender whose reports each name another VM: what is kept stays bounded, a VM
// that was known before is heard on, and room is made by the VMs that fall silent.
func TestReportsOfEverOtherVMsAreBounded(t *testing.T) {
	for _, text := range []string{"", strings.Repeat("x", 30000)} {
		f := psfleet.New(identity("vm-1", 1))
		f.AddIdentity(identity("stored", 1), startTime)
		var kept int64
		now := startTime
		for n := range 20000 {
			now = now.Add(time.Millisecond / 2)
			r := &psmessage.Report{Identity: identity(fmt.Sprint("other-", n), 1), Sequence: 1, Failed: []string{text}}
			if _, fresh := f.ApplyReport(r, now); fresh {
				kept += r.Size()
			}
			if n%100 == 0 {
				_, fresh := f.ApplyReport(&psmessage.Report{Identity: identity("vm-2", 1), Sequence: int64(n + 1)}, now)
				qt.Assert(t, fresh, qt.IsTrue)
			}
		}
		qt.Check(t, f.Size() <= 4096+2, qt.IsTrue, qt.Commentf("%d VMs", f.Size()))
		qt.Check(t, kept <= 16<<20, qt.IsTrue, qt.Commentf("%d bytes", kept))
		// In a fleet of that size, shares stay reserved for minutes.
		now = now.Add(10 * time.Minute)
		_, fresh := f.ApplyReport(&psmessage.Report{Identity: identity("vm-3", 1), Sequence: 1, Failed: []string{text}}, now)
		qt.Check(t, fresh, qt.IsTrue)
		qt.Check(t, f.Live(f.Peers()[len(f.Peers())-1], now), qt.IsTrue)
	}
}

func TestOutdatedReportsAreDropped(t *testing.T) {
	f := psfleet.New(identity("vm-1", 1))
	for _, v := range []struct {
		incarnation, sequence int64
		fresh                 bool
	}{{1, 1, true}, {1, 3, true}, {1, 2, false}, {1, 3, false}, {2, 1, true}, {1, 9, false}} {
		_, fresh := f.ApplyReport(&psmessage.Report{Identity: identity("vm-2", v.incarnation), Sequence: v.sequence}, startTime)
		qt.Check(t, fresh, qt.Equals, v.fresh, qt.Commentf("%+v", v))
	}
	_, fresh := f.ApplyReport(&psmessage.Report{Identity: identity("vm-1", 1), Sequence: 1}, startTime)
	qt.Assert(t, fresh, qt.IsFalse)
}

func TestALargeFleetReportsLessOften(t *testing.T) {
	f := psfleet.New(identity("vm-1", 1))
	qt.Assert(t, f.ReportInterval(), qt.Equals, 250*time.Millisecond)
	for n := range 73 {
		f.AddIdentity(identity(fmt.Sprint("vm-", n+2), 1), startTime)
	}
	qt.Assert(t, f.Size(), qt.Equals, 74)
	qt.Assert(t, f.ReportInterval() > time.Second, qt.IsTrue)
}

func TestDecodePublishedVMRejectsInvalidIdentities(t *testing.T) {
	for _, text := range []string{"", "{}", `{"vm":"a"}`, `{"vm":1}`} {
		_, err := psmessage.DecodePublishedVM([]byte(text))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", text))
	}
}

// TestBriefReportsRequireAKnownIncarnation drops brief reports of an unknown process until a report with a full
// identity arrives.
func TestBriefReportsRequireAKnownIncarnation(t *testing.T) {
	f := psfleet.New(identity("vm-1", 1))
	apply := func(incarnation, sequence int64) bool {
		r := &psmessage.Report{Identity: identity("vm-2", incarnation), Sequence: sequence}
		r.Shorten(0)
		qt.Assert(t, r.Check(), qt.IsNil)
		_, fresh := f.ApplyReport(r, startTime)
		return fresh
	}
	qt.Assert(t, apply(1, 5), qt.IsFalse)
	qt.Assert(t, f.Size(), qt.Equals, 1)
	qt.Assert(t, apply(1, 8), qt.IsTrue)
	qt.Assert(t, apply(1, 9), qt.IsTrue)
	qt.Assert(t, f.Peers()[0].Identity, qt.Equals, identity("vm-2", 1))
	qt.Assert(t, apply(2, 9), qt.IsFalse)
	qt.Assert(t, apply(2, 1), qt.IsTrue)
	qt.Assert(t, apply(2, 5), qt.IsTrue)
	qt.Assert(t, f.Peers()[0].Identity.Incarnation, qt.Equals, int64(2))
}

// TestReportsCarryFullIdentityAfterFleetGrows guards against a VM that joins later and never learns the
// addresses of the others.
func TestReportsCarryFullIdentityAfterFleetGrows(t *testing.T) {
	full := func(sequence, grownAt int64) bool {
		r := &psmessage.Report{Identity: identity("vm-2", 1), Sequence: sequence}
		r.Shorten(grownAt)
		return r.CallerAddress.IsValid()
	}
	qt.Assert(t, full(20, 10), qt.IsFalse)
	qt.Assert(t, full(20, 19), qt.IsTrue)
}

func TestLargerLinksComeFirst(t *testing.T) {
	a, b, c := psmessage.Identity{VM: "vm-1", Link: 20}, psmessage.Identity{VM: "vm-2", Link: 200}, psmessage.Identity{VM: "vm-3", Link: 200}
	qt.Assert(t, b.Before(a) && b.Before(c) && c.Before(a), qt.IsTrue)
	qt.Assert(t, a.Before(b) || c.Before(b) || a.Before(a), qt.IsFalse)
}

// TestLostDomainIsNoLongerLiveWithinSeconds simulates a fleet of 74 VMs of which twelve are lost at once.
// Callers wait for two seconds before they try another VM, so lost VMs must leave the directory soon.
func TestLostDomainIsNoLongerLiveWithinSeconds(t *testing.T) {
	f := psfleet.New(identity("vm-0", 1))
	interval := 74 * 18 * time.Millisecond
	now := startTime
	for sequence := range int64(20) {
		for vm := range 73 {
			if sequence < 10 || vm >= 12 {
				f.ApplyReport(&psmessage.Report{Identity: identity(fmt.Sprint("vm-", vm+1), 1), Sequence: sequence + 1}, now)
			}
		}
		now = now.Add(interval)
	}
	live := func(at time.Time) int {
		n := 0
		for _, p := range f.Peers() {
			if f.Live(p, at) {
				n++
			}
		}
		return n
	}
	lost := startTime.Add(9 * interval)
	qt.Assert(t, live(lost.Add(3200*time.Millisecond)), qt.Equals, 61)
	reserved := 0
	for _, p := range f.Peers() {
		if f.Recent(p, lost.Add(9*time.Second)) {
			reserved++
		}
	}
	qt.Assert(t, reserved, qt.Equals, 73)
}

// TestNewestConfigurationComesFromALiveVM sends reports of VMs with different versions, of which the one with
// the newest version falls silent.
func TestNewestConfigurationComesFromALiveVM(t *testing.T) {
	now := time.Unix(1000, 0)
	f := psfleet.New(psmessage.Identity{VM: "vm-1", FailureDomain: "north-a", Region: "north"})
	_, found := f.NewestConfiguration(now)
	qt.Assert(t, found, qt.IsFalse)
	a := netip.MustParseAddrPort("127.0.0.1:1")
	apply := func(name string, version int64, at time.Time) {
		f.ApplyReport(&psmessage.Report{
			Identity: psmessage.Identity{VM: name, FailureDomain: "north-a", Region: "north", CallerAddress: a, PeerAddress: a, Incarnation: 1},
			Sequence: at.UnixNano(), Version: version, ReadsStore: true,
		}, at)
	}
	apply("vm-2", 9, now)
	apply("vm-3", 7, now.Add(2*time.Second))
	now = now.Add(2 * time.Second)
	newest, found := f.NewestConfiguration(now)
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, newest.VM, qt.Equals, "vm-3")
	qt.Assert(t, f.StoreReaders(now), qt.HasLen, 1)
}

// TestProcessThatStartedBeforeByItsClockIsHeard guards against a VM that is ignored for as long as it runs: an earlier process
// of it had started while its clock was ahead.
func TestProcessThatStartedBeforeByItsClockIsHeard(t *testing.T) {
	f := psfleet.New(identity("vm-1", 1))
	hear := func(incarnation, sequence int64, after time.Duration) bool {
		_, fresh := f.ApplyReport(&psmessage.Report{Identity: identity("vm-2", incarnation), Sequence: sequence}, startTime.Add(after))
		return fresh
	}
	qt.Assert(t, hear(3000, 9, 0), qt.IsTrue)
	qt.Assert(t, hear(1000, 1, time.Second), qt.IsFalse, qt.Commentf("a delayed report of an earlier process"))
	qt.Assert(t, hear(1000, 2, 2*time.Second), qt.IsTrue)
	qt.Assert(t, hear(3000, 10, 3*time.Second), qt.IsFalse, qt.Commentf("a forwarded report of the process that was replaced"))
	f.AddIdentity(identity("vm-2", 3000), startTime.Add(3*time.Second))
	qt.Assert(t, hear(1000, 3, 3*time.Second), qt.IsTrue)
	qt.Assert(t, hear(2000, 1, 4*time.Second), qt.IsTrue, qt.Commentf("a later process"))
}
