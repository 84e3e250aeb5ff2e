package pspool

import (
	"cmp"
	"context"
	"slices"
	"time"

	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/request/psroute"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	// maxQueued bounds the requests of one workspace that wait in one pool.
	maxQueued = 512
	// serviceWeight is the part of the newest request in the moving average of service times.
	serviceWeight = 0.05
)

// waiter is a request that waits for a slot.
type waiter struct {
	request psroute.Request
	ready   chan outcome
}

func (w *waiter) workspace() psdoc.Name {
	if w.request.Workspace == nil {
		return ""
	}
	return w.request.Workspace.Name
}

// outcome ends a wait.
type outcome struct {
	slot    *Slot
	problem *psproblem.Problem
}

func (o outcome) unpack() (*Slot, error) {
	if o.problem != nil {
		return nil, o.problem
	}
	return o.slot, nil
}

// queue holds what one workspace has in one pool.
type queue struct {
	weight   float64
	inFlight int
	waiting  []*waiter
}

func (q *queue) len() int {
	return len(q.waiting)
}

// need is low for a workspace that has few slots for its weight.
func (q *queue) need() float64 {
	return float64(q.inFlight+1) / q.weight
}

// pool is a group of servers with its waiting requests.
type pool struct {
	// servers lists those of which this VM owns or has borrowed a slot.
	servers []*server
	queues  map[psdoc.Name]*queue
	// service is the moving average of the time that a request holds a slot.
	service time.Duration
	// openWeight is the weight of requests without a workspace.
	openWeight float64
}

func (p *pool) queueOf(w *psplan.Workspace) *queue {
	var name psdoc.Name
	weight := p.openWeight
	if w != nil {
		name, weight = w.Name, w.Weight
	}
	q, found := p.queues[name]
	if !found {
		q = &queue{}
		p.queues[name] = q
	}
	q.weight = weight
	return q
}

func (p *pool) push(q *queue, w *waiter) {
	q.waiting = append(q.waiting, w)
}

func (p *pool) remove(w *waiter) {
	if q, found := p.queues[w.workspace()]; found {
		q.waiting = slices.DeleteFunc(q.waiting, func(v *waiter) bool { return v == w })
		p.tidy(w.workspace())
	}
}

// finish counts a request as done.
func (p *pool) finish(workspace psdoc.Name, took time.Duration) {
	if p.service == 0 {
		p.service = took
	}
	p.service += time.Duration(float64(took-p.service) * serviceWeight)
	if q, found := p.queues[workspace]; found {
		q.inFlight--
		p.tidy(workspace)
	}
}

// tidy forgets a workspace that has nothing in the pool.
func (p *pool) tidy(workspace psdoc.Name) {
	if q := p.queues[workspace]; q.inFlight == 0 && q.len() == 0 {
		delete(p.queues, workspace)
	}
}

// byNeed lists the queues with waiting requests, the neediest first.
func (p *pool) byNeed() []*queue {
	var out []*queue
	for _, q := range p.queues {
		if q.len() > 0 {
			out = append(out, q)
		}
	}
	slices.SortFunc(out, func(a, b *queue) int { return cmp.Compare(a.need(), b.need()) })
	return out
}

// waitingCount returns the number of waiting requests.
func (p *pool) waitingCount() int {
	n := 0
	for _, q := range p.queues {
		n += q.len()
	}
	return n
}

// tooLate refuses a request that can't get a slot before its context ends, given the
// requests of its workspace that wait already.
func (d *Dispatcher) tooLate(ctx context.Context, p *pool, q *queue) *psproblem.Problem {
	if q.len() >= maxQueued {
		return refusal(psroute.ReasonSlotsBusy, p.service*maxQueued)
	}
	deadline, bounded := ctx.Deadline()
	estimate := d.estimate(p, q)
	if !bounded || estimate == 0 || estimate < time.Until(deadline) {
		return nil
	}
	return refusal(psroute.ReasonQueueFull, estimate)
}

// estimate returns how long the next request of a workspace will wait; 0 when unknown.
func (d *Dispatcher) estimate(p *pool, q *queue) time.Duration {
	now := d.config.Now()
	slots := 0
	for _, t := range p.servers {
		slots += max(0, d.limit(t, now))
	}
	if slots == 0 || p.service == 0 {
		return 0
	}
	active := q.weight
	for _, v := range p.queues {
		if v != q && (v.len() > 0 || v.inFlight > 0) {
			active += v.weight
		}
	}
	share := max(1, float64(slots)*q.weight/active)
	return time.Duration(float64(q.len()) / share * float64(p.service))
}
