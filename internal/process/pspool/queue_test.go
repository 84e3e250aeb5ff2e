package pspool_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/pspool"
	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/request/psroute"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// newDispatcher returns the dispatcher of vm-0 with all slots of server-0.
func newDispatcher(c *clock) (*pspool.Dispatcher, *psplan.Plan) {
	p := fleetPlan()
	d := pspool.NewDispatcher(pspool.Config{
		Self: "vm-0", Plans: fixed{p}, Health: healthy{}, Fence: &fence{whole: true}, Shifts: shiftAll{}, Now: c.Now,
	})
	d.SetCleared(true)
	return d, p
}

// started is a request that got its slot.
type started struct {
	workspace psdoc.Name
	slot      *pspool.Slot
}

func TestWaitingWorkspacesShareSlotsByWeight(t *testing.T) {
	c := qt.New(t)
	ck := &clock{now: time.Unix(1000, 0)}
	d, p := newDispatcher(ck)
	large := &psplan.Workspace{Name: "large", Weight: 30}
	small := &psplan.Workspace{Name: "small", Weight: 10}
	starts := make(chan started, 100)
	request := func(w *psplan.Workspace) {
		s, err := d.Acquire(context.Background(), psroute.Request{Route: p.Routes[0], Workspace: w, Domain: p.VMs[0].Domain})
		if err == nil {
			starts <- started{w.Name, s}
		}
	}
	for range 40 {
		go request(large)
	}
	// The large workspace has all slots and a queue before the small one comes.
	first := make([]started, 0, fleetSlots)
	for range fleetSlots {
		first = append(first, <-starts)
	}
	waitFor(t, func() bool { return d.Hunger("prices").Want == 36 })
	for range 10 {
		go request(small)
	}
	waitFor(t, func() bool { return d.Hunger("prices").Want == 46 })
	counts := make(map[psdoc.Name]int)
	running := first
	for range 36 {
		running[0].slot.Release()
		running = append(running[1:], <-starts)
		counts[running[len(running)-1].workspace]++
	}
	// Weights of 3 to 1 over 36 starts give 27 to 9.
	c.Assert(counts["small"] >= 9, qt.IsTrue, qt.Commentf("%v", counts))
	c.Assert(counts["large"] >= 26, qt.IsTrue, qt.Commentf("%v", counts))
}

// waitFor polls a condition that other goroutines make true.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for range 5000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the condition did not come true")
}

func TestRefusesAtOnceWhatCannotStartInTime(t *testing.T) {
	c := qt.New(t)
	ck := &clock{now: time.Unix(1000, 0)}
	d, p := newDispatcher(ck)
	r := psroute.Request{Route: p.Routes[0], Domain: p.VMs[0].Domain}
	// Requests that hold their slot for 10 s teach the dispatcher the service time.
	slow, err := d.Acquire(context.Background(), r)
	c.Assert(err, qt.IsNil)
	ck.now = ck.now.Add(10 * time.Second)
	slow.Release()
	for range fleetSlots {
		_, err := d.Acquire(context.Background(), r)
		c.Assert(err, qt.IsNil)
	}
	waiting, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Acquire(waiting, r) //nolint:errcheck // ends with the test
	waitFor(t, func() bool { return d.Hunger("prices").Want == 1 })
	ctx, cancelBounded := context.WithTimeout(context.Background(), time.Second)
	defer cancelBounded()
	_, err = d.Acquire(ctx, r)
	problem, isProblem := err.(*psproblem.Problem) //nolint:errorlint // the type is the contract
	c.Assert(isProblem, qt.IsTrue)
	c.Assert(problem.Ran, qt.Equals, psproblem.RanNo)
	c.Assert(problem.RetryAfter > time.Second, qt.IsTrue)
	c.Assert(ctx.Err(), qt.IsNil, qt.Commentf("the refusal must not wait for the deadline"))
}

func TestRefusesHopelessRequests(t *testing.T) {
	c := qt.New(t)
	d, p := newDispatcher(&clock{now: time.Unix(1000, 0)})
	d.Block("vm-0")
	refused := make(chan error)
	go func() {
		_, err := d.Acquire(context.Background(), psroute.Request{Route: p.Routes[0], Domain: p.VMs[0].Domain})
		refused <- err
	}()
	waitFor(t, func() bool { return d.Hunger("prices").Want == 1 })
	d.RefuseHopeless("prices")
	c.Assert(<-refused, qt.ErrorMatches, ".*noServer")
}

func BenchmarkAcquireRelease(b *testing.B) {
	d, p := newDispatcher(&clock{now: time.Unix(1000, 0)})
	r := psroute.Request{Route: p.Routes[0], Domain: p.VMs[0].Domain}
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		s, err := d.Acquire(ctx, r)
		if err != nil {
			b.Fatal(err)
		}
		s.Release()
	}
}

// changing is a plan that a test replaces.
type changing struct{ plan *psplan.Plan }

func (c *changing) Plan() *psplan.Plan { return c.plan }

func TestSlotsThatMovedHereWaitForTheEarlierOwner(t *testing.T) {
	c := qt.New(t)
	ck := &clock{now: time.Unix(1000, 0)}
	old, next := fleetPlan(), fleetPlan()
	// The next plan puts server-1 into the domain of vm-0.
	moved, _ := next.Server("server-1")
	moved.Domain, moved.Owner = next.VMs[0].Domain, next.VMs[0]
	plans := &changing{old}
	f := &fence{whole: true}
	d := pspool.NewDispatcher(pspool.Config{Self: "vm-0", Plans: plans, Health: healthy{}, Fence: f, Shifts: shiftAll{}, Now: ck.Now})
	d.SetCleared(true)
	d.Refresh()
	plans.plan = next
	limit := func() int {
		d.Tick()
		for _, v := range d.Candidates(next.Routes[0]) {
			if v.Server.Name == "server-1" {
				return v.Limit
			}
		}
		return -1
	}
	c.Assert(limit(), qt.Equals, 0)
	ck.now = ck.now.Add(pspool.HoldTime)
	c.Assert(limit(), qt.Equals, 0, qt.Commentf("the earlier owner's requests may still run"))
	ck.now = ck.now.Add(time.Second)
	c.Assert(limit(), qt.Equals, fleetSlots)
}

func TestRenewalIsRefusedForSlotsThatAreFenced(t *testing.T) {
	c := qt.New(t)
	ck := &clock{now: time.Unix(1000, 0)}
	f := &fence{whole: true}
	d := pspool.NewDispatcher(pspool.Config{Self: "vm-0", Plans: fixed{fleetPlan()}, Health: healthy{}, Fence: f, Shifts: shiftAll{}, Now: ck.Now})
	d.SetCleared(true)
	lent := d.Lend("vm-1", "prices", 2, "1")
	lent = append(lent, d.Lend("vm-1", "prices", 2, "1")...)
	c.Assert(lent, qt.HasLen, 2)
	held := pspool.Held{Grant: lent[0], InUse: lent[0].Slots}
	_, renewed := d.Renew("vm-1", held)
	c.Assert(renewed, qt.IsTrue)
	// Three slots are lent, and two are retained.
	f.whole = false
	_, renewed = d.Renew("vm-1", held)
	c.Assert(renewed, qt.IsFalse)
}

func TestStartedVMDoesNotVouchForLoansOfItsPredecessor(t *testing.T) {
	c := qt.New(t)
	d, _ := newDispatcher(&clock{now: time.Unix(1000, 0)})
	d.Block("vm-0")
	_, known := d.RunningFor("vm-1")
	c.Assert(known, qt.IsFalse)
	d.Unblock("vm-0")
	_, known = d.RunningFor("vm-1")
	c.Assert(known, qt.IsTrue)
}

func TestLenderKeepsOffSlotsUntilTheBorrowerKnows(t *testing.T) {
	c := qt.New(t)
	ck := &clock{now: time.Unix(1000, 0)}
	p := fleetPlan()
	mood := &moody{}
	lender := pspool.NewDispatcher(pspool.Config{Self: "vm-0", Plans: fixed{p}, Health: mood, Fence: &fence{whole: true}, Shifts: shiftAll{}, Now: ck.Now})
	lender.SetCleared(true)
	borrower := pspool.NewDispatcher(pspool.Config{Self: "vm-1", Plans: fixed{p}, Health: healthy{}, Fence: &fence{}, Shifts: shiftAll{}, Now: ck.Now})
	borrower.Block("vm-1")
	borrower.Borrow("vm-0", lender.Lend("vm-1", "prices", 2, "1"), ck.now)
	r := psroute.Request{Route: p.Routes[0], Domain: p.VMs[1].Domain}
	_, err := borrower.Acquire(context.Background(), r)
	c.Assert(err, qt.IsNil)
	ck.now = ck.now.Add(500 * time.Millisecond)
	due := borrower.Tick()
	c.Assert(due, qt.HasLen, 1)
	// The borrower starts another request while its question is under way.
	_, err = borrower.Acquire(context.Background(), r)
	c.Assert(err, qt.IsNil)
	mood.excluded = true
	n, renewed := lender.Renew("vm-1", due[0].Renew[0])
	c.Assert(renewed, qt.IsTrue)
	c.Assert(n, qt.Equals, 1, qt.Commentf("the lender asks for a slot back"))
	mood.excluded = false
	c.Assert(lender.Candidates(p.Routes[0])[0].Limit, qt.Equals, fleetSlots-2)
}

// counted notes what was charged.
type counted struct {
	shiftAll
	bytes int64
}

func (c *counted) Charge(_ *psplan.Route, bytes int64) { c.bytes += bytes }

// link is a link that is open and counts.
type link struct{ bytes int64 }

func (l *link) MayCross(*psplan.Region) bool         { return true }
func (l *link) Charge(_ *psplan.Region, bytes int64) { l.bytes += bytes }

func TestBodiesCountWhereTheyCrossOrShift(t *testing.T) {
	c := qt.New(t)
	p := fleetPlan()
	south := &psplan.Region{Name: "south"}
	shifts, links := &counted{}, &link{}
	d := pspool.NewDispatcher(pspool.Config{
		Self: "vm-0", Plans: fixed{p}, Health: healthy{}, Fence: &fence{whole: true}, Shifts: shifts, Links: links, Now: time.Now,
	})
	d.SetCleared(true)
	read := func(home *psplan.Region) {
		s, err := d.Acquire(context.Background(), psroute.Request{Route: p.Routes[0], Domain: p.VMs[0].Domain, Home: home})
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, s.Meter(io.NopCloser(strings.NewReader("12345678"))))
		c.Assert(err, qt.IsNil)
	}
	read(p.Regions[0])
	c.Assert(shifts.bytes, qt.Equals, int64(0))
	// The caller's home is elsewhere, though the server stands beside this VM.
	read(south)
	c.Assert(shifts.bytes, qt.Equals, int64(8))
	c.Assert(links.bytes, qt.Equals, int64(0))
	p.Servers[0].Domain.Region, p.VMs[0].Domain = south, p.VMs[1].Domain
	read(p.Regions[0])
	c.Assert(links.bytes, qt.Equals, int64(8))
}

func TestUsageCountsSlots(t *testing.T) {
	c := qt.New(t)
	d, p := newDispatcher(&clock{now: time.Unix(1000, 0)})
	_, err := d.Acquire(context.Background(), psroute.Request{Route: p.Routes[0], Domain: p.VMs[0].Domain})
	c.Assert(err, qt.IsNil)
	d.Lend("vm-1", "prices", 2, "1")
	c.Assert(d.Usage(), qt.Equals, pspool.Usage{Running: 1, Base: fleetSlots, Lent: 2})
}

func TestAbandonedSlotComesBackLater(t *testing.T) {
	c := qt.New(t)
	d, p := newDispatcher(&clock{now: time.Unix(1000, 0)})
	s, err := d.Acquire(context.Background(), psroute.Request{Route: p.Routes[0], Domain: p.VMs[0].Domain})
	c.Assert(err, qt.IsNil)
	ctx := s.Bind(context.Background())
	began := time.Now()
	s.Abandon()
	c.Assert(ctx.Err(), qt.IsNotNil)
	waitFor(t, func() bool { return d.InFlight() == 0 })
	c.Assert(time.Since(began) >= pspool.AbandonTime, qt.IsTrue)
}
