package pspool

import (
	"math"
	"time"

	"persimmonstep/internal/process/psfence"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// RetainedPart is the part of a server's slots that its owner keeps whatever happens.
// The rest may be adopted by another VM when the owner is gone.
const RetainedPart = psfence.Retained

// server counts this VM's slots on one backend server.
type server struct {
	server *psplan.Server
	// owner is the VM to which the slots belong; empty in a domain without VMs.
	owner psdoc.Name
	// slots are those of the base share in use.
	slots map[*Slot]struct{}
	// lentSlots counts the slots that are lent to other VMs.
	lentSlots int
	// grants are the slots that are borrowed from other VMs.
	grants []*borrowed
	// excessAt is since when more base slots are in use than belong to this VM.
	excessAt time.Time
	// inherited are the slots that the owner left here when it stopped, until a time.
	inherited      int
	inheritedUntil time.Time
	// gained says that another VM owned the slots in an earlier plan and may still use some.
	gained bool
	// settledAt is since when every VM has the plan that moved the slots here.
	settledAt time.Time
}

// retained returns the slots that the owner keeps whatever happens, at least one of each
// server, so that a VM that is cut off can go on with all of its servers.
func retained(slots int) int {
	return int(math.Ceil(float64(slots) * RetainedPart))
}

// base returns the slots of the server that belong to this VM now.
func (d *Dispatcher) base(t *server, now time.Time) int {
	if t.owner == "" || t.gained || d.blocked[t.owner] {
		return 0
	}
	if t.owner == d.config.Self {
		if d.cleared && d.config.Fence.Whole() {
			return t.server.Slots
		}
		return retained(t.server.Slots)
	}
	return max(t.inheritedNow(now), d.adopted(t, now))
}

// adopted returns the slots of the server that this VM may use because its owner is gone.
func (d *Dispatcher) adopted(t *server, now time.Time) int {
	since, found := d.config.Fence.AdoptedSince(t.owner)
	// Requests that the owner started before it was gone, or that an earlier process of this
	// VM lent the slots for, may still run for a hold time.
	if !found || now.Sub(later(since, d.began)) < HoldTime+driftMargin {
		return 0
	}
	return t.server.Slots - retained(t.server.Slots)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ownFree returns the slots of the base share that are free.
func (d *Dispatcher) ownFree(t *server, now time.Time) int {
	return d.base(t, now) - t.lentSlots - len(t.slots)
}

// limit returns the slots that this VM may use at a time.
func (d *Dispatcher) limit(t *server, now time.Time) int {
	n := max(0, d.base(t, now)-t.lentSlots)
	for _, g := range t.grants {
		n += g.limit(now)
	}
	return n
}

// used returns the slots that this VM uses.
func (t *server) used() int {
	n := len(t.slots)
	for _, g := range t.grants {
		n += len(g.slots)
	}
	return n
}

// usableGrant returns a grant under which a request may start.
func (t *server) usableGrant(now time.Time) *borrowed {
	for _, g := range t.grants {
		if len(g.slots) < g.limit(now) {
			return g
		}
	}
	panic("pspool: no grant has a free slot")
}

func (d *Dispatcher) poolOf(n psdoc.Name) *pool {
	p, found := d.pools[n]
	if !found {
		p = &pool{queues: make(map[psdoc.Name]*queue), openWeight: d.openWeight}
		d.pools[n] = p
	}
	return p
}

// refresh takes over a new plan. The mutex is held.
func (d *Dispatcher) refresh() {
	p := d.config.Plans.Plan()
	if p == d.plan {
		return
	}
	d.plan = p
	d.openWeight = d.meanWeight()
	for _, s := range p.Servers {
		t, found := d.servers[s.Name]
		if !found {
			t = &server{slots: make(map[*Slot]struct{})}
			d.servers[s.Name] = t
		}
		d.assign(t, s)
	}
	for n, t := range d.servers {
		if _, found := p.Server(n); !found {
			t.owner = ""
			if t.idle() {
				delete(d.servers, n)
			}
		}
	}
	d.regroup()
}

// assign takes over a server as the plan in force has it.
func (d *Dispatcher) assign(t *server, s *psplan.Server) {
	var owner psdoc.Name
	if s.Owner != nil {
		owner = s.Owner.Name
	}
	known := t.server != nil
	if known && owner != t.owner {
		t.gained, t.settledAt = owner == d.config.Self, time.Time{}
		t.inherited = 0
	}
	t.server, t.owner = s, owner
}

// tickGained lets this VM use slots that the plan moved here, once every VM has the plan
// and the requests that the earlier owner had started are certainly over.
func (d *Dispatcher) tickGained(now time.Time) {
	settled := d.config.Fence.Settled()
	for _, t := range d.servers {
		switch {
		case !t.gained:
		case !settled:
			t.settledAt = time.Time{}
		case t.settledAt.IsZero():
			t.settledAt = now
		case now.Sub(t.settledAt) >= HoldTime+driftMargin:
			t.gained = false
		}
	}
}

// idle reports whether nothing runs on the server and nothing is lent or borrowed.
func (t *server) idle() bool {
	return t.used() == 0 && t.lentSlots == 0 && len(t.grants) == 0
}

// regroup lists the usable servers of each pool anew.
func (d *Dispatcher) regroup() {
	for _, p := range d.pools {
		p.servers = nil
		p.openWeight = d.openWeight
	}
	// The order of the plan keeps decisions repeatable.
	for _, s := range d.plan.Servers {
		t := d.servers[s.Name]
		if d.mayUse(t) {
			p := d.poolOf(s.Pool)
			p.servers = append(p.servers, t)
		}
	}
}

// mayUse reports whether this VM has or can get base slots of the server, or has borrowed some.
func (d *Dispatcher) mayUse(t *server) bool {
	if t.owner == d.config.Self || len(t.grants) > 0 || t.inheritedNow(d.config.Now()) > 0 {
		return true
	}
	_, adopted := d.config.Fence.AdoptedSince(t.owner)
	return adopted
}

// meanWeight is the weight of requests without a workspace.
func (d *Dispatcher) meanWeight() float64 {
	if len(d.plan.Workspaces) == 0 {
		return 1
	}
	sum := 0.0
	for _, w := range d.plan.Workspaces {
		sum += w.Weight
	}
	return sum / float64(len(d.plan.Workspaces))
}

// Refresh takes over changes of the plan and of adopted shares, and wakes what can start.
func (d *Dispatcher) Refresh() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refresh()
	d.regroup()
	for _, p := range d.pools {
		d.wake(p)
	}
}

// Block keeps this VM from using or lending the base slots of an owner, and Unblock ends it.
// A started process blocks itself until it knows what an earlier process of its name lent.
func (d *Dispatcher) Block(owner psdoc.Name) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.blocked[owner] = true
}

// Unblock ends a block.
func (d *Dispatcher) Unblock(owner psdoc.Name) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.blocked, owner)
	for _, p := range d.pools {
		d.wake(p)
	}
}

// SetCleared says whether no other VM runs requests on the revocable part of this VM's share.
func (d *Dispatcher) SetCleared(cleared bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.cleared = cleared
	for _, p := range d.pools {
		d.wake(p)
	}
}

// Cleared reports whether this VM may use the revocable part of its share.
func (d *Dispatcher) Cleared() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.cleared
}

// RunningFor returns the requests that run here, or under a loan from here, on the base
// slots of another VM. It reports false while this VM does not know what an earlier process
// of its name lent.
func (d *Dispatcher) RunningFor(owner psdoc.Name) (int, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refresh()
	n := 0
	for _, t := range d.servers {
		if t.owner == owner {
			n += len(t.slots) + t.lentSlots
		}
	}
	return n, !d.blocked[d.config.Self]
}

// Blocked reports whether the base slots of an owner are blocked.
func (d *Dispatcher) Blocked(owner psdoc.Name) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.blocked[owner]
}
