package psmember_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psmember"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// fleet is a plan, a clock and the views of its VMs.
type fleet struct {
	plan  *psplan.Plan
	now   time.Time
	views map[psdoc.Name]*psmember.View
}

func (f *fleet) Plan() *psplan.Plan { return f.plan }

func (f *fleet) start(vm psdoc.Name, incarnation psmember.Incarnation) {
	f.views[vm] = &psmember.View{Self: vm, Incarnation: incarnation, Plans: f, Now: func() time.Time { return f.now }}
}

// newFleet makes domains of three VMs each, named by their domain and a number.
func newFleet(c *qt.C, domains ...string) *fleet {
	d := psdoc.Document{Document: "network", Regions: []psdoc.Region{{Name: "r"}}}
	port := uint16(0)
	next := func() netip.AddrPort {
		port++
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
	}
	f := &fleet{now: time.Unix(1000, 0), views: make(map[psdoc.Name]*psmember.View)}
	for _, n := range domains {
		d.FailureDomains = append(d.FailureDomains, psdoc.FailureDomain{Name: psdoc.Name(n), Region: "r"})
		for i := range 3 {
			vm := psdoc.Name(fmt.Sprintf("%s%d", n, i+1))
			d.VMs = append(d.VMs, psdoc.VM{Name: vm, FailureDomain: psdoc.Name(n), Callers: next(), Peer: next(), Operator: next()})
		}
	}
	var findings error
	plan, faults := psplan.Compile(1, []*psdoc.Document{&d})
	if len(faults) > 0 {
		findings = faults
	}
	c.Assert(findings, qt.IsNil)
	f.plan = plan
	for _, v := range plan.VMs {
		f.start(v.Name, psmember.Incarnation(v.Name+"-1"))
	}
	return f
}

// beat lets heartbeats pass between pairs of VMs for a span.
func (f *fleet) beat(span time.Duration, pairs ...[2]psdoc.Name) {
	const step = 250 * time.Millisecond
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(step) {
		for _, p := range pairs {
			a, b := f.views[p[0]], f.views[p[1]]
			b.Consume(p[0], a.Produce())
			a.Consume(p[1], b.Produce())
		}
	}
}

// pairs joins a's VMs fully, and a1 to b1, so that a2 hears of b through a1 alone.
var pairs = [][2]psdoc.Name{{"a1", "a2"}, {"a1", "a3"}, {"a2", "a3"}, {"b1", "b2"}, {"b1", "b3"}, {"b2", "b3"}, {"a1", "b1"}}

func TestSilenceIsRelayed(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a", "b")
	f.beat(5*time.Second, pairs...)
	for _, v := range f.plan.VMs {
		c.Assert(f.views["a2"].Usable(v.Name), qt.IsTrue, qt.Commentf("%s", v.Name))
	}
	// b3 goes silent: its neighbours notice, and a2 hears of it from a1.
	f.beat(4*time.Second, [2]psdoc.Name{"a1", "a2"}, [2]psdoc.Name{"b1", "b2"}, [2]psdoc.Name{"a1", "b1"})
	c.Assert(f.views["b1"].Usable("b3"), qt.IsFalse)
	c.Assert(f.views["a2"].Usable("b3"), qt.IsFalse)
	c.Assert(f.views["a2"].Usable("b2"), qt.IsTrue)
	// Domain b is cut off from a.
	f.beat(4*time.Second, [2]psdoc.Name{"a1", "a2"}, [2]psdoc.Name{"b1", "b2"})
	c.Assert(f.views["a2"].Usable("b2"), qt.IsFalse)
	c.Assert(f.views["b2"].Usable("b1"), qt.IsTrue)
}

func TestLeavingIsRelayedAndEnds(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a", "b")
	f.beat(time.Second, pairs...)
	f.views["b2"].SetLeaving()
	f.beat(time.Second, pairs...)
	for _, vm := range []psdoc.Name{"a1", "a2", "b1", "b2"} {
		c.Assert(f.views[vm].Usable("b2"), qt.IsFalse, qt.Commentf("%s", vm))
	}
	c.Assert(f.views["a2"].Alive("b2"), qt.IsTrue)
	f.start("b2", "b2-2")
	f.beat(12*time.Second, pairs...)
	for _, vm := range []psdoc.Name{"a1", "a2", "b1", "b2"} {
		c.Assert(f.views[vm].Usable("b2"), qt.IsTrue, qt.Commentf("%s", vm))
	}
}

func TestRestartIsANewIncarnation(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a")
	f.beat(time.Second, pairs[:3]...)
	c.Assert(f.views["a1"].Gone("a2", "a2-1"), qt.IsFalse)
	c.Assert(f.views["a1"].Gone("unheard", "x"), qt.IsFalse)
	f.start("a2", "a2-2")
	f.beat(time.Second, pairs[:3]...)
	c.Assert(f.views["a1"].Gone("a2", "a2-1"), qt.IsTrue)
	c.Assert(f.views["a1"].Gone("a2", "a2-2"), qt.IsFalse)
}

func TestFirstOfADomainIsTakenOver(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a")
	firsts := func() []bool {
		return []bool{f.views["a1"].First(), f.views["a2"].First(), f.views["a3"].First()}
	}
	f.beat(2*time.Second, pairs[:3]...)
	c.Assert(firsts(), qt.DeepEquals, []bool{true, false, false})
	// a1 falls silent; it goes on to take itself for the first.
	f.beat(1500*time.Millisecond, [2]psdoc.Name{"a2", "a3"})
	c.Assert(firsts(), qt.DeepEquals, []bool{true, true, false})
	f.beat(time.Second, pairs[:3]...)
	f.views["a1"].SetLeaving()
	f.beat(time.Second, pairs[:3]...)
	c.Assert(firsts()[1:], qt.DeepEquals, []bool{true, false})
}

// TestSilenceCountsTheWholeDomain cuts domain a off while its VMs go on hearing each other.
func TestSilenceCountsTheWholeDomain(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a", "b")
	platform := f.now
	f.views["a3"].Heard = func() time.Time { return platform }
	f.beat(10*time.Second, pairs...)
	// a2 itself hears its own domain alone, and has contact through a1.
	c.Assert(f.views["a2"].Silence() < time.Second, qt.IsTrue, qt.Commentf("%v", f.views["a2"].Silence()))
	f.beat(20*time.Second, pairs[:3]...)
	for _, vm := range []psdoc.Name{"a1", "a2", "a3"} {
		silence := f.views[vm].Silence()
		c.Assert(silence >= 20*time.Second && silence < 21*time.Second, qt.IsTrue, qt.Commentf("%s: %v", vm, silence))
	}
	// One VM reaches the platform again.
	platform = f.now
	f.beat(time.Second, pairs[:3]...)
	c.Assert(f.views["a2"].Silence() <= time.Second+10*time.Millisecond, qt.IsTrue)
}
