// Package pspool hands out the slots of backend servers.
//
// A slot is the right to run one request on one backend server. The slots of a server
// belong to one VM, its owner; other VMs use them only under a [Grant] that the owner
// issued, so the sum in use never exceeds what the server has, however stale anybody's
// picture is. The [Dispatcher] counts the slots that this VM owns, has lent and has
// borrowed, asks psroute where a request should run, and queues requests that find every
// slot busy. Waiting workspaces share slots by weighted max-min.
package pspool

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/request/psroute"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	// retryAfterBusy is the least advice to a caller that found no slot.
	retryAfterBusy = time.Second
	// maxOvertaken bounds the requests of a workspace that are looked at for one free slot,
	// since the first may be unable to use it, such as after an attempt on the same server.
	maxOvertaken = 4
)

// Plans gives the plan in force.
type Plans interface {
	Plan() *psplan.Plan
}

// Health tells what this VM observed of a server.
type Health interface {
	// Excluded reports whether the server must receive no new work.
	Excluded(s *psplan.Server) bool
	// Latency returns the recently observed time of one request; 0 when unknown.
	Latency(s *psplan.Server) time.Duration
	// Weight returns the part of its slots that the server should get, from 0 to 1.
	Weight(s *psplan.Server) float64
}

// Fence tells which parts of the base shares this VM may use.
type Fence interface {
	// Whole reports whether this VM may use all of its own share, not only the retained part.
	Whole() bool
	// AdoptedSince returns since when this VM may use the revocable share of another VM.
	AdoptedSince(vm psdoc.Name) (time.Time, bool)
	// Settled reports whether every VM has the layout of shares of the plan in force.
	Settled() bool
}

// Shifts bounds the requests that run outside their home region.
type Shifts interface {
	// Count enters a request of the route.
	Count(r *psplan.Route)
	// MayShift reports whether one more request may be shifted.
	MayShift(r *psplan.Route) bool
	// Spend enters a shifted request and reports false, entering nothing, where the cap forbids it.
	Spend(r *psplan.Route) bool
	// Refund takes a shifted request back that certainly did not run.
	Refund(r *psplan.Route)
	// Charge enters bytes that a shifted request moved.
	Charge(r *psplan.Route, bytes int64)
}

// Links bounds what crosses the links between regions.
type Links interface {
	// MayCross reports whether a request may be sent to another region.
	MayCross(to *psplan.Region) bool
	// Charge pays for bytes that crossed the link to a region in either direction.
	Charge(to *psplan.Region, bytes int64)
}

// Config is what a dispatcher needs.
type Config struct {
	Self   psdoc.Name
	Plans  Plans
	Health Health
	Fence  Fence
	Shifts Shifts
	// Links may be nil, which bounds nothing.
	Links Links
	// Now gives monotonic time.
	Now func() time.Time
	// Hungry is told, without waiting, of a pool whose requests find no slot. It may be nil.
	Hungry func(pool psdoc.Name)
}

// Dispatcher hands out slots.
type Dispatcher struct {
	config Config
	// began is when this process started.
	began time.Time

	mutex sync.Mutex
	plan  *psplan.Plan
	// openWeight is the weight of requests without a workspace, by the plan.
	openWeight float64
	servers    map[psdoc.Name]*server
	pools      map[psdoc.Name]*pool
	lent       map[GrantID]*lent
	borrowed   map[GrantID]*borrowed
	blocked    map[psdoc.Name]bool
	running    int
	// cleared says that no other VM runs requests on the revocable part of this VM's share.
	cleared bool
	seed    uint64
	buffer  []psroute.Candidate
}

// NewDispatcher returns a dispatcher without any request.
func NewDispatcher(c Config) *Dispatcher {
	return &Dispatcher{
		config:     c,
		began:      c.Now(),
		openWeight: 1,
		servers:    make(map[psdoc.Name]*server),
		pools:      make(map[psdoc.Name]*pool),
		lent:       make(map[GrantID]*lent),
		borrowed:   make(map[GrantID]*borrowed),
		blocked:    make(map[psdoc.Name]bool),
	}
}

// Slot is the right to run one request.
type Slot struct {
	// Server is the backend server.
	Server *psplan.Server
	// Shifted says that the server stands outside the request's home region.
	Shifted bool
	// Reason names the rule that chose the server.
	Reason psroute.Reason

	dispatcher *Dispatcher
	route      *psplan.Route
	workspace  psdoc.Name
	began      time.Time
	grant      *borrowed
	once       sync.Once
	// lost and cancel are guarded by the dispatcher's mutex.
	lost   bool
	cancel context.CancelFunc
}

// Release gives the slot back. It may be called more than once.
func (s *Slot) Release() {
	s.once.Do(func() { s.dispatcher.release(s) })
}

// AbandonTime is how long a server may need to notice that an exchange was given up.
const AbandonTime = 50 * time.Millisecond

// Abandon ends the exchange and gives the slot back a little later, because the server may
// run the request until it notices.
func (s *Slot) Abandon() {
	s.dispatcher.mutex.Lock()
	if s.cancel != nil {
		s.cancel()
	}
	s.dispatcher.mutex.Unlock()
	time.AfterFunc(AbandonTime, s.Release)
}

// Refund gives the slot back after an attempt that certainly did not run, so that it does
// not count as shifted.
func (s *Slot) Refund() {
	if s.Shifted {
		s.dispatcher.config.Shifts.Refund(s.route)
	}
	s.Release()
}

// Bind returns a context that ends when the slot is released, or is lost because the VM
// that could give it to others was out of reach for too long. The request must stop then.
func (s *Slot) Bind(parent context.Context) context.Context {
	ctx, cancel := context.WithCancel(parent)
	s.dispatcher.mutex.Lock()
	defer s.dispatcher.mutex.Unlock()
	s.cancel = cancel
	if s.lost {
		cancel()
	}
	return ctx
}

// lose ends the request that runs in the slot. The mutex is held.
func (s *Slot) lose() {
	s.lost = true
	if s.cancel != nil {
		s.cancel()
	}
}

// Acquire returns a slot for the request, or a refusal of type *psproblem.Problem. It
// waits until the context ends, and refuses at once where a slot can't come in time.
func (d *Dispatcher) Acquire(ctx context.Context, r psroute.Request) (*Slot, error) {
	w := &waiter{request: r, ready: make(chan outcome, 1)}
	hungry := d.enter(ctx, w)
	if hungry && d.config.Hungry != nil {
		d.config.Hungry(r.Route.Pool)
	}
	select {
	case o := <-w.ready:
		return o.unpack()
	case <-ctx.Done():
		return d.abandon(w)
	}
}

// enter starts a request or puts it into its queue. It reports whether its pool lacks slots.
func (d *Dispatcher) enter(ctx context.Context, w *waiter) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refresh()
	if len(w.request.Tried) == 0 {
		d.config.Shifts.Count(w.request.Route)
	}
	p := d.poolOf(w.request.Route.Pool)
	q := p.queueOf(w.request.Workspace)
	if q.len() == 0 && d.tryStart(p, w) {
		return false
	}
	if problem := d.tooLate(ctx, p, q); problem != nil {
		w.ready <- outcome{problem: problem}
		p.tidy(w.workspace())
		return true
	}
	p.push(q, w)
	return true
}

// abandon takes a request out of its queue whose time is over.
func (d *Dispatcher) abandon(w *waiter) (*Slot, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	select {
	case o := <-w.ready:
		return o.unpack()
	default:
	}
	p := d.poolOf(w.request.Route.Pool)
	p.remove(w)
	return nil, refusal(psroute.ReasonSlotsBusy, retryAfterBusy)
}

func refusal(reason psroute.Reason, after time.Duration) *psproblem.Problem {
	return psproblem.New(http.StatusServiceUnavailable, "noCapacity", "no backend server can take the request: "+string(reason)).After(max(after, retryAfterBusy))
}

// tryStart starts a request if a slot is free for it. The mutex is held.
func (d *Dispatcher) tryStart(p *pool, w *waiter) bool {
	d.seed++
	w.request.Seed = d.seed
	w.request.MayShift = d.config.Shifts.MayShift(w.request.Route)
	v, found := psroute.Decide(w.request, d.candidates(p, w.request.Route)).(psroute.Send)
	if !found {
		return false
	}
	if v.Shifted && !d.config.Shifts.Spend(w.request.Route) {
		return false
	}
	w.ready <- outcome{slot: d.occupy(p, w, v)}
	return true
}

// occupy counts a slot as used.
func (d *Dispatcher) occupy(p *pool, w *waiter, v psroute.Send) *Slot {
	now := d.config.Now()
	s := &Slot{
		Server: v.Server, Shifted: v.Shifted, Reason: v.Reason,
		dispatcher: d, route: w.request.Route, workspace: w.workspace(), began: now,
	}
	t := d.servers[v.Server.Name]
	if d.ownFree(t, now) > 0 {
		t.slots[s] = struct{}{}
	} else {
		s.grant = t.usableGrant(now)
		s.grant.slots[s] = struct{}{}
		s.grant.used = now
	}
	p.queueOf(w.request.Workspace).inFlight++
	d.running++
	return s
}

func (d *Dispatcher) release(s *Slot) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
	d.running--
	t := d.servers[s.Server.Name]
	if s.grant == nil {
		delete(t.slots, s)
	} else {
		delete(s.grant.slots, s)
	}
	p := d.poolOf(s.Server.Pool)
	p.finish(s.workspace, d.config.Now().Sub(s.began))
	d.refresh()
	d.wake(p)
}

// candidates lists the servers of the route on which this VM may use a slot. The slice is
// valid until the next call.
func (d *Dispatcher) candidates(p *pool, r *psplan.Route) []psroute.Candidate {
	now := d.config.Now()
	out := d.buffer[:0]
	for _, t := range p.servers {
		if !r.MayRunIn(t.server.Domain.Region) || !d.mayCross(t.server.Domain.Region) {
			continue
		}
		limit := d.limit(t, now)
		if limit <= 0 {
			continue
		}
		out = append(out, d.candidate(t, limit))
	}
	d.buffer = out
	return out
}

// candidate describes a server of which this VM may use a number of slots.
func (d *Dispatcher) candidate(t *server, limit int) psroute.Candidate {
	return psroute.Candidate{
		Server:   t.server,
		Limit:    scale(limit, d.config.Health.Weight(t.server)),
		InFlight: t.used(),
		Excluded: d.excluded(t.server),
		Latency:  d.config.Health.Latency(t.server),
	}
}

// mayCross reports whether the link from this VM's region to another one has room.
func (d *Dispatcher) mayCross(to *psplan.Region) bool {
	return !d.crosses(to) || d.config.Links.MayCross(to)
}

// crosses reports whether a bounded link may lie between this VM and a region.
func (d *Dispatcher) crosses(to *psplan.Region) bool {
	if d.config.Links == nil {
		return false
	}
	self, found := d.plan.VM(d.config.Self)
	return found && self.Domain.Region.Name != to.Name
}

// scale reduces a limit to a part, but never below one slot unless the part is 0.
func scale(limit int, part float64) int {
	if part <= 0 || limit <= 0 {
		return 0
	}
	return max(1, int(float64(limit)*part))
}

func (d *Dispatcher) excluded(s *psplan.Server) bool {
	return s.Leaving || d.config.Health.Excluded(s)
}

// Wake looks for waiting requests that can start now, such as after a change of health.
func (d *Dispatcher) Wake() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refresh()
	for _, p := range d.pools {
		d.wake(p)
	}
}

// wake starts waiting requests, the workspace with the fewest slots for its weight first.
func (d *Dispatcher) wake(p *pool) {
	for d.startNext(p) {
	}
}

// startNext starts one waiting request and reports whether it could.
func (d *Dispatcher) startNext(p *pool) bool {
	for _, q := range p.byNeed() {
		for i, w := range q.waiting[:min(q.len(), maxOvertaken)] {
			if d.tryStart(p, w) {
				q.waiting = slices.Delete(q.waiting, i, i+1)
				return true
			}
		}
	}
	return false
}

// InFlight returns the number of slots in use.
func (d *Dispatcher) InFlight() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.running
}
