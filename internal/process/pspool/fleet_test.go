package pspool_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmonstep/internal/process/pspool"
	"persimmonstep/internal/request/psroute"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	fleetVMs     = 3
	fleetServers = 3
	fleetSlots   = 4
	settledAfter = pspool.HoldTime + time.Second
	outlived     = pspool.BequestTerm + settledAfter
)

// clock is a fake clock.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// fixed is a plan that never changes.
type fixed struct{ plan *psplan.Plan }

func (f fixed) Plan() *psplan.Plan { return f.plan }

// healthy judges every server healthy.
type healthy struct{}

// moody is a VM's judgement that changes; a lender asks for slots of excluded servers back.
type moody struct {
	healthy
	excluded bool
}

func (m *moody) Excluded(*psplan.Server) bool { return m.excluded }

func (healthy) Excluded(*psplan.Server) bool         { return false }
func (healthy) Latency(*psplan.Server) time.Duration { return 0 }
func (healthy) Weight(*psplan.Server) float64        { return 1 }

// shiftAll allows every shift.
type shiftAll struct{}

func (shiftAll) Count(*psplan.Route)         {}
func (shiftAll) MayShift(*psplan.Route) bool { return true }
func (shiftAll) Spend(*psplan.Route) bool    { return true }
func (shiftAll) Refund(*psplan.Route)        {}
func (shiftAll) Charge(*psplan.Route, int64) {}

// fence is a VM's view of the shares that are gone.
type fence struct {
	whole   bool
	adopted map[psdoc.Name]time.Time
}

func (f *fence) Whole() bool { return f.whole }

func (f *fence) Settled() bool { return f.whole }

func (f *fence) AdoptedSince(vm psdoc.Name) (time.Time, bool) {
	at, found := f.adopted[vm]
	return at, found
}

// machine is one VM of the test's fleet.
type machine struct {
	name       psdoc.Name
	fence      *fence
	health     *moody
	dispatcher *pspool.Dispatcher
	running    map[*pspool.Slot]context.Context
	// wholeSince is when the fence came back; blockedSince when the process started.
	wholeSince, blockedSince time.Time
	cleared                  bool
}

// fleet is several VMs that lend slots to each other over lossy links.
type fleet struct {
	t     *rapid.T
	clock *clock
	plan  *psplan.Plan
	vms   []*machine
	made  int
	// messages are under way.
	messages []message
}

// message is something that arrives later, or never if one of its ends has restarted.
type message struct {
	// answers is the VM whose answer to a loan it is; empty for other messages.
	answers psdoc.Name
	to      *machine
	ends    [2]*pspool.Dispatcher
	deliver func()
}

// post sends a message, which may get lost.
func (f *fleet) post(from, to *machine, answers psdoc.Name, deliver func()) {
	if !f.lost("message") {
		ends := [2]*pspool.Dispatcher{from.dispatcher, to.dispatcher}
		f.messages = append(f.messages, message{answers: answers, to: to, ends: ends, deliver: deliver})
	}
}

// arrive delivers a message that is under way.
func (f *fleet) arrive() {
	if len(f.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.messages)-1).Draw(f.t, "message")
	m := f.messages[i]
	f.messages = slices.Delete(f.messages, i, i+1)
	if f.lives(m.ends[0]) && f.lives(m.ends[1]) {
		m.deliver()
	}
}

func (f *fleet) lives(d *pspool.Dispatcher) bool {
	return slices.ContainsFunc(f.vms, func(m *machine) bool { return m.dispatcher == d })
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, clock: &clock{now: time.Unix(1000, 0)}, plan: fleetPlan()}
	for _, v := range f.plan.VMs {
		m := &machine{name: v.Name, health: &moody{}, fence: &fence{whole: true, adopted: make(map[psdoc.Name]time.Time)}}
		f.start(m)
		m.dispatcher.Unblock(m.name)
		m.dispatcher.SetCleared(true)
		m.cleared = true
		f.vms = append(f.vms, m)
	}
	return f
}

// fleetPlan has one failure domain for each VM, and one server in each.
func fleetPlan() *psplan.Plan {
	var text strings.Builder
	text.WriteString("document = \"fleet\"\n[[regions]]\nname = \"north\"\n")
	for i := range fleetVMs {
		fmt.Fprintf(&text, "[[failureDomains]]\nname = \"north-%d\"\nregion = \"north\"\n", i)
		fmt.Fprintf(&text, "[[vms]]\nname = \"vm-%d\"\nfailureDomain = \"north-%d\"\n", i, i)
		fmt.Fprintf(&text, "callers = \"10.0.0.%d:1\"\npeer = \"10.0.0.%d:2\"\noperator = \"10.0.0.%d:3\"\n", i, i, i)
		fmt.Fprintf(&text, "[[servers]]\nname = \"server-%d\"\nfailureDomain = \"north-%d\"\n", i, i)
		fmt.Fprintf(&text, "address = \"10.0.1.%d:1\"\npool = \"prices\"\nslots = %d\n", i, fleetSlots)
	}
	text.WriteString("[[routes]]\nname = \"prices\"\nprefix = \"/prices/\"\nkind = \"lookup\"\npool = \"prices\"\n")
	d, findings := psdoc.Parse("fleet.toml", []byte(text.String()))
	p, faults := psplan.Compile(1, []*psdoc.Document{d})
	if len(findings)+len(faults) > 0 {
		panic(append(findings, faults...))
	}
	return p
}

func (f *fleet) start(m *machine) {
	m.dispatcher = pspool.NewDispatcher(pspool.Config{
		Self: m.name, Plans: fixed{f.plan}, Health: m.health, Fence: m.fence, Shifts: shiftAll{}, Now: f.clock.Now,
	})
	m.dispatcher.Block(m.name)
	m.running = make(map[*pspool.Slot]context.Context)
	m.blockedSince, m.cleared = f.clock.now, false
}

// pick draws a VM.
func (f *fleet) pick(label string) *machine {
	return f.vms[rapid.IntRange(0, fleetVMs-1).Draw(f.t, label)]
}

// lost draws whether a message is lost.
func (f *fleet) lost(label string) bool {
	return rapid.IntRange(0, 3).Draw(f.t, label) == 0
}

// fill takes as many slots as one VM can get.
func (f *fleet) fill() {
	m := f.pick("vm")
	for f.acquire(m) {
	}
}

func (f *fleet) acquire(m *machine) bool {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s, err := m.dispatcher.Acquire(ctx, psroute.Request{Route: f.plan.Routes[0], Domain: f.plan.VMs[0].Domain})
	if err == nil {
		m.running[s] = s.Bind(context.Background())
	}
	return err == nil
}

func (f *fleet) release() {
	m := f.pick("vm")
	for s := range m.running {
		delete(m.running, s)
		s.Release()
		return
	}
}

func (f *fleet) borrow() {
	borrower, lender := f.pick("borrower"), f.pick("lender")
	if borrower == lender {
		return
	}
	for range rapid.IntRange(1, 3).Draw(f.t, "calls") {
		f.made++
		grants := lender.dispatcher.Lend(borrower.name, "prices", rapid.IntRange(1, 4).Draw(f.t, "want"), fmt.Sprint(f.made))
		sent := f.clock.now
		f.post(lender, borrower, lender.name, func() { borrower.dispatcher.Borrow(lender.name, grants, sent) })
	}
}

func (f *fleet) machine(n psdoc.Name) *machine {
	for _, m := range f.vms {
		if m.name == n {
			return m
		}
	}
	return nil
}

func (f *fleet) tick() {
	m := f.pick("vm")
	for _, due := range m.dispatcher.Tick() {
		lender := f.machine(due.Lender)
		sent := f.clock.now
		f.post(m, lender, "", func() {
			lender.dispatcher.TakeBack(m.name, due.Return)
			for _, h := range due.Renew {
				n, found := lender.dispatcher.Renew(m.name, h)
				if found {
					f.post(lender, m, "", func() { m.dispatcher.Renewed(h.ID, n, sent) })
				}
			}
		})
	}
	m.reap()
}

// pause stops one VM without requests for longer than any loan, and then lets it take
// slots before it does anything else.
func (f *fleet) pause() {
	m := f.pick("vm")
	for s := range m.running {
		delete(m.running, s)
		s.Release()
	}
	f.pass(m, rapid.IntRange(1, 150).Draw(f.t, "steps"))
	for f.acquire(m) {
	}
	f.fill()
	f.check()
}

// advance moves time in steps no longer than a VM's tick, so that running VMs stop in time
// what has run out.
func (f *fleet) advance() {
	f.pass(nil, rapid.IntRange(1, 150).Draw(f.t, "steps"))
	f.check()
}

// pass lets time go by for all VMs but one.
func (f *fleet) pass(paused *machine, steps int) {
	for range steps {
		f.clock.now = f.clock.now.Add(100 * time.Millisecond)
		for _, m := range f.vms {
			if m == paused {
				continue
			}
			m.dispatcher.Tick()
			m.reap()
		}
	}
}

// reap ends requests whose slot was lost.
func (m *machine) reap() {
	for s, ctx := range m.running {
		if ctx.Err() != nil {
			delete(m.running, s)
			s.Release()
		}
	}
}

// restart kills a process, with its requests, and starts another one.
func (f *fleet) restart() {
	m := f.pick("vm")
	f.start(m)
	for f.acquire(m) {
	}
}

// stop ends a process gracefully, leaves its slots to its guardian, and starts another one.
func (f *fleet) stop() {
	m := f.pick("vm")
	for s := range m.running {
		delete(m.running, s)
		s.Release()
	}
	left := m.dispatcher.Bequeath()
	if !f.lost("call") {
		f.guardian(m).dispatcher.Inherit(m.name, left)
	}
	f.start(m)
}

// recover asks all VMs what they hold of a started VM.
func (f *fleet) recover() {
	m := f.pick("vm")
	all := true
	for _, v := range f.vms {
		if v == m {
			continue
		}
		if f.lost("answer") {
			all = false
			continue
		}
		f.messages = slices.DeleteFunc(f.messages, func(g message) bool { return g.to == v && g.answers == m.name })
		v.dispatcher.Disinherit(m.name)
		for _, h := range v.dispatcher.HeldOf(m.name) {
			m.dispatcher.Reinstate(v.name, h.Grant)
		}
		running, _ := v.dispatcher.RunningFor(m.name)
		all = all && running == 0
	}
	if all || f.clock.now.Sub(m.blockedSince) > outlived {
		m.dispatcher.Unblock(m.name)
	}
}

// cut takes a VM's fence away and lets its neighbour adopt its share.
func (f *fleet) cut() {
	m := f.pick("vm")
	if !m.fence.whole {
		return
	}
	m.fence.whole, m.cleared = false, false
	m.dispatcher.SetCleared(false)
	f.guardian(m).fence.adopted[m.name] = f.clock.now
}

func (f *fleet) guardian(m *machine) *machine {
	for i, v := range f.vms {
		if v == m {
			return f.vms[(i+1)%fleetVMs]
		}
	}
	return nil
}

// heal gives the share back: the guardian stops first.
func (f *fleet) heal() {
	m := f.pick("vm")
	if m.fence.whole {
		return
	}
	delete(f.guardian(m).fence.adopted, m.name)
	m.fence.whole, m.wholeSince = true, f.clock.now
}

// clear lets a VM use its whole share when its guardian runs nothing on it.
func (f *fleet) clear() {
	m := f.pick("vm")
	running, known := f.guardian(m).dispatcher.RunningFor(m.name)
	idle := known && running == 0 && !f.lost("answer")
	if m.fence.whole && (idle || f.clock.now.Sub(m.wholeSince) > settledAfter) {
		m.cleared = true
		m.dispatcher.SetCleared(true)
	}
}

// check demands that no server runs more requests than it has slots.
func (f *fleet) check() {
	inUse := make(map[psdoc.Name]int)
	for _, m := range f.vms {
		for s, ctx := range m.running {
			if ctx.Err() == nil {
				inUse[s.Server.Name]++
			}
		}
	}
	for n, v := range inUse {
		if v > fleetSlots {
			f.t.Fatalf("server %s runs %d requests in %d slots", n, v, fleetSlots)
		}
	}
}

func TestSlotsInUseNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"fill":    func(*rapid.T) { f.fill() },
			"acquire": func(*rapid.T) { f.acquire(f.pick("vm")) },
			"release": func(*rapid.T) { f.release() },
			"borrow":  func(*rapid.T) { f.borrow() },
			"borrow2": func(*rapid.T) { f.borrow() },
			"tick":    func(*rapid.T) { f.tick() },
			"advance": func(*rapid.T) { f.advance() },
			"pause":   func(*rapid.T) { f.pause() },
			"stop":    func(*rapid.T) { f.stop() },
			"restart": func(*rapid.T) { f.restart() },
			"recover": func(*rapid.T) { f.recover() },
			"cut":     func(*rapid.T) { f.cut() },
			"heal":    func(*rapid.T) { f.heal() },
			"mood": func(*rapid.T) {
				m := f.pick("vm")
				m.health.excluded = !m.health.excluded
			},
			"clear": func(*rapid.T) { f.clear() },
			"":      func(*rapid.T) { f.check() },
		})
	})
}
