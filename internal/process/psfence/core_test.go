package psfence

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/process/psstandin"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// testPlan makes a plan of VMs named by one letter each; the letter's domain is its place.
func testPlan(version uint64, vms string) *psplan.Plan {
	d := &psdoc.Document{Document: "test", Regions: []psdoc.Region{{Name: "r"}, {Name: "s"}}}
	d.FailureDomains = []psdoc.FailureDomain{{Name: "r-a", Region: "r"}, {Name: "r-b", Region: "r"}, {Name: "s-a", Region: "s"}}
	for _, c := range vms {
		n := uint16(c - 'a')
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 1000+n)
		d.VMs = append(d.VMs, psdoc.VM{
			Name: psdoc.Name(string(c)), FailureDomain: d.FailureDomains[int(n)%3].Name,
			Callers: address, Peer: address, Operator: address,
		})
	}
	p, findings := psplan.Compile(version, []*psdoc.Document{d})
	if len(findings) > 0 {
		panic(findings)
	}
	return p
}

func TestGuardianIsNear(t *testing.T) {
	c := qt.New(t)
	p := testPlan(1, "abcdefg")
	for _, v := range p.VMs {
		g := Guardian(p, v.Name)
		c.Assert(g.Name, qt.Not(qt.Equals), v.Name)
		c.Assert(g.Domain, qt.Equals, v.Domain)
		c.Assert(slices.Contains(wards(p, g.Name), v.Name), qt.IsTrue)
	}
	p = testPlan(1, "abc")
	c.Assert(Guardian(p, "a").Name, qt.Equals, psdoc.Name("b"))
	c.Assert(Guardian(p, "c"), qt.IsNotNil)
	c.Assert(Guardian(testPlan(1, "a"), "a"), qt.IsNil)
}

// world runs the cores of a fleet with arbitrary loss and delay of messages and table calls.
type world struct {
	now     time.Time
	plans   []*psplan.Plan
	applied int
	// removed is when the last VM was removed from the configuration.
	removed time.Time
	store   psstandin.Store
	nodes   []*node
	pending []func()
	// adoptions counts the moments at which some part was adopted.
	adoptions int
}

// node is one VM of a world. Its clock runs at a rate of its own.
type node struct {
	name   psdoc.Name
	rate   float64
	core   *core
	plan   *psplan.Plan
	paused bool
	// used is when the VM last might use each part, in this or an earlier process.
	used map[psdoc.Name]time.Time
}

// testDrain is how long loans outlast a right in the tests.
const testDrain = 1500 * time.Millisecond

// testLoan is the longest loan.
const testLoan = 1400 * time.Millisecond

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func (w *world) local(n *node) time.Time {
	return epoch.Add(time.Duration(float64(w.now.Sub(epoch)) * n.rate))
}

func (w *world) start(n *node, plan *psplan.Plan) {
	n.core, n.plan = newCore(n.name, w.local(n), testDrain), plan
	n.core.install(plan, w.local(n))
}

// send delivers a step to a node, later or never; nothing reaches a process that is gone.
func (w *world) send(n *node, step func(c *core, now time.Time)) {
	addressee := n.core
	w.pending = append(w.pending, func() {
		if n.core == addressee && !n.paused {
			n.core.install(n.plan, w.local(n))
			step(n.core, w.local(n))
		}
	})
}

func (w *world) node(name psdoc.Name) *node {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name })
	if i < 0 {
		return &node{name: name, paused: true}
	}
	return w.nodes[i]
}

func (w *world) tick(n *node) {
	n.core.install(n.plan, w.local(n))
	n.core.settlement.expire(w.local(n))
	w.renew(n)
	w.readRows(n)
	w.settle(n)
	w.guard(n)
}

func (w *world) renew(n *node) {
	began := w.local(n)
	g := Guardian(n.plan, n.name)
	if g == nil {
		return
	}
	w.send(w.node(g.Name), func(c *core, now time.Time) {
		if c.promise(n.name, now) {
			w.send(n, func(c *core, now time.Time) { c.promised(began, now) })
		}
	})
}

func (w *world) readRows(n *node) {
	began := w.local(n)
	w.pending = append(w.pending, func() {
		found := w.store.Read([]string{rowKey(n.name)})[0].Revision > 0
		w.send(n, func(c *core, now time.Time) { c.read(began, found, now) })
	})
}

func (w *world) settle(n *node) {
	for _, v := range n.core.settlement.asks(n.core.current, w.local(n)) {
		w.send(w.node(v.Name), func(c *core, _ time.Time) {
			a := c.settlement.answer()
			w.send(n, func(c *core, now time.Time) { c.settlement.confirm(v, a, now) })
		})
	}
	head := uint64(w.applied) + 1
	w.send(n, func(c *core, _ time.Time) { c.latest(head) })
}

func (w *world) guard(n *node) {
	for _, vm := range n.core.due(w.local(n)) {
		w.pending = append(w.pending, func() {
			row := w.store.Read([]string{rowKey(vm)})[0]
			w.send(n, func(c *core, now time.Time) {
				if t := c.step(vm, row, now); t != nil {
					w.commit(n, vm, *t)
				}
			})
		})
	}
}

func (w *world) commit(n *node, vm psdoc.Name, t psplatform.Transaction) {
	addressee := n.core
	w.pending = append(w.pending, func() {
		_, refused := w.store.Commit(t)
		if n.core != addressee || refused != nil {
			return
		}
		w.send(n, func(c *core, now time.Time) { c.committed(vm, t, nil, now) })
	})
}

// stopRemoved stops the removed VM some time after its removal, as an operator does.
func (w *world) stopRemoved() {
	if !w.removed.IsZero() && w.now.Sub(w.removed) > RemovedTimeout/2 {
		n := w.node("g")
		w.start(n, w.plans[0])
		n.paused = true
	}
}

// check fails where two VMs may use the same part.
func (w *world) check(t *rapid.T) {
	w.stopRemoved()
	users := make(map[psdoc.Name][]psdoc.Name)
	for _, n := range w.nodes {
		now := w.local(n)
		if n.core.held.Holds(now) {
			n.used[n.name] = now
		}
		for _, a := range n.core.adopted(now) {
			w.adoptions++
			n.used[a.VM] = now
		}
		// A loan of the part may go on for nearly the drain time.
		for vm, last := range n.used {
			if now.Sub(last) < testLoan {
				users[vm] = append(users[vm], n.name)
			}
		}
	}
	for vm, by := range users {
		if len(by) > 1 {
			t.Fatalf("the part of %s is used by %v", vm, by)
		}
	}
}

// round lets time pass and every running VM do its part.
func (w *world) round(t *rapid.T, step time.Duration) {
	w.now = w.now.Add(step)
	w.check(t)
	for _, n := range w.nodes {
		if !n.paused {
			w.tick(n)
		}
	}
	w.drain(t)
}

func newWorld(t *rapid.T) *world {
	w := &world{now: epoch, plans: []*psplan.Plan{testPlan(1, "abcd"), testPlan(2, "abcdg"), testPlan(3, "abcdg"), testPlan(4, "abcd")}}
	for _, v := range w.plans[1].VMs {
		n := &node{name: v.Name, used: make(map[psdoc.Name]time.Time), rate: rapid.Float64Range(0.98, 1.02).Draw(t, "rate")}
		w.nodes = append(w.nodes, n)
		w.start(n, w.plans[0])
	}
	return w
}

// drain delivers what is pending, in any order, but for what is lost or held back.
func (w *world) drain(t *rapid.T) {
	held := rapid.IntRange(0, 3).Draw(t, "held")
	for len(w.pending) > held {
		i := rapid.IntRange(0, len(w.pending)-1).Draw(t, "next")
		step := w.pending[i]
		w.pending = slices.Delete(w.pending, i, i+1)
		if rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
			step()
		}
		w.check(t)
	}
}

func TestOneUserOfEachPart(t *testing.T) {
	adoptions := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		pick := func() *node { return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "vm")] }
		t.Repeat(map[string]func(*rapid.T){
			"live": func(t *rapid.T) {
				rounds := rapid.IntRange(1, 12).Draw(t, "rounds")
				step := time.Duration(rapid.IntRange(100, 1000).Draw(t, "ms")) * time.Millisecond
				for range rounds {
					w.round(t, step)
				}
			},
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				w.check(t)
			},
			"pause": func(*rapid.T) {
				n := pick()
				n.paused = !n.paused || (n.name == "g" && !w.removed.IsZero())
			},
			"apply": func(*rapid.T) {
				w.applied = min(w.applied+1, len(w.plans)-1)
				if w.removed.IsZero() && w.applied == len(w.plans)-1 {
					w.removed = w.now
				}
			},
			"learn": func(*rapid.T) {
				n := pick()
				if p := w.plans[w.applied]; p.Version > n.plan.Version {
					n.plan = p
				}
			},
			"restart": func(*rapid.T) { w.start(pick(), pick().plan) },
		})
		adoptions += w.adoptions
	})
	qt.Assert(t, adoptions > 0, qt.IsTrue, qt.Commentf("no part was ever adopted"))
}

func TestFenceOverALife(t *testing.T) {
	c := qt.New(t)
	w := &world{now: epoch, plans: []*psplan.Plan{testPlan(1, "abcd")}}
	for _, v := range w.plans[0].VMs {
		n := &node{name: v.Name, used: make(map[psdoc.Name]time.Time), rate: 1}
		w.nodes = append(w.nodes, n)
		w.start(n, w.plans[0])
	}
	pass := func(d time.Duration) {
		for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
			for _, n := range w.nodes {
				if !n.paused {
					w.tick(n)
				}
			}
			for len(w.pending) > 0 {
				step := w.pending[0]
				w.pending = w.pending[1:]
				step()
			}
		}
	}
	whole := func(n *node) bool { return n.core.held.Holds(w.local(n)) }
	pass(testDrain + time.Second)
	for _, n := range w.nodes {
		c.Assert(whole(n), qt.IsTrue, qt.Commentf("%s", n.name))
	}
	victim := w.nodes[0]
	guardian := w.node(Guardian(victim.plan, victim.name).Name)
	victim.paused = true
	pass(Patience + Term + Margin + testDrain + 4*tick)
	c.Assert(whole(victim), qt.IsFalse)
	c.Assert(fmt.Sprint(guardian.core.adopted(w.local(guardian))[0].VM), qt.Equals, string(victim.name))
	victim.paused = false
	pass(testDrain + 4*tick)
	c.Assert(whole(victim), qt.IsTrue)
	c.Assert(guardian.core.adopted(w.local(guardian)), qt.HasLen, 0)
	c.Assert(w.store.Scan(rowPrefix, "", 10), qt.HasLen, 0)
}
