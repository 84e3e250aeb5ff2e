// Package pspool hands out the slots of backend servers.
//
// A slot is the right to run one request on one backend server. The [Dispatcher] keeps
// count of the slots that this VM uses, asks psroute where a request should run, and
// queues requests that find every slot busy until one is free or their deadline is near.
package pspool

import (
	"context"
	"net/http"
	"sync"
	"time"

	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/request/psroute"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// retryAfterBusy is the advice to a caller that found no slot.
const retryAfterBusy = time.Second

// Grants tells how many slots of a server this VM may use now.
type Grants interface {
	Limit(s *psplan.Server) int
}

// Health tells what this VM observed of a server.
type Health interface {
	// Excluded reports whether the server must receive no new work.
	Excluded(s *psplan.Server) bool
	// Latency returns the recently observed time of one request; 0 when unknown.
	Latency(s *psplan.Server) time.Duration
}

// Dispatcher hands out slots.
type Dispatcher struct {
	grants Grants
	health Health

	mutex    sync.Mutex
	inFlight map[psdoc.Name]int
	waiting  []*waiter
	seed     uint64
}

// waiter is a request that waits for a slot.
type waiter struct {
	request psroute.Request
	ready   chan outcome
}

// outcome ends a wait.
type outcome struct {
	slot    *Slot
	problem *psproblem.Problem
}

// NewDispatcher returns a dispatcher without any request.
func NewDispatcher(g Grants, h Health) *Dispatcher {
	return &Dispatcher{grants: g, health: h, inFlight: make(map[psdoc.Name]int)}
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
	once       sync.Once
}

// Release gives the slot back. It may be called more than once.
func (s *Slot) Release() {
	s.once.Do(func() { s.dispatcher.release(s.Server) })
}

// Acquire returns a slot for the request, or a refusal of type *psproblem.Problem.
// It waits until the context ends.
func (d *Dispatcher) Acquire(ctx context.Context, r psroute.Request) (*Slot, error) {
	w := &waiter{request: r, ready: make(chan outcome, 1)}
	d.mutex.Lock()
	if !d.tryStart(w) {
		d.waiting = append(d.waiting, w)
	}
	d.mutex.Unlock()
	select {
	case o := <-w.ready:
		return o.unpack()
	case <-ctx.Done():
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.forget(w)
	select {
	case o := <-w.ready:
		return o.unpack()
	default:
	}
	return nil, refusal(psroute.ReasonSlotsBusy)
}

func (o outcome) unpack() (*Slot, error) {
	if o.problem != nil {
		return nil, o.problem
	}
	return o.slot, nil
}

func refusal(reason psroute.Reason) *psproblem.Problem {
	return psproblem.New(http.StatusServiceUnavailable, "noCapacity", "no backend server can take the request: "+string(reason)).After(retryAfterBusy)
}

// tryStart ends the wait if the decision is final. The mutex is held.
func (d *Dispatcher) tryStart(w *waiter) bool {
	d.seed++
	w.request.Seed = d.seed
	switch v := psroute.Decide(w.request, d.candidates(w.request.Route)).(type) {
	case psroute.Send:
		d.inFlight[v.Server.Name]++
		w.ready <- outcome{slot: &Slot{Server: v.Server, Shifted: v.Shifted, Reason: v.Reason, dispatcher: d}}
		return true
	case psroute.Refuse:
		w.ready <- outcome{problem: refusal(v.Reason)}
		return true
	}
	return false
}

func (d *Dispatcher) candidates(r *psplan.Route) []psroute.Candidate {
	out := make([]psroute.Candidate, len(r.Servers))
	for i, s := range r.Servers {
		out[i] = psroute.Candidate{
			Server:   s,
			Limit:    d.grants.Limit(s),
			InFlight: d.inFlight[s.Name],
			Excluded: s.Leaving || d.health.Excluded(s),
			Latency:  d.health.Latency(s),
		}
	}
	return out
}

func (d *Dispatcher) release(s *psplan.Server) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.inFlight[s.Name]--
	d.wake()
}

// Wake looks for waiting requests that can start now, such as after a change of grants.
func (d *Dispatcher) Wake() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.wake()
}

func (d *Dispatcher) wake() {
	rest := d.waiting[:0]
	for _, w := range d.waiting {
		if !d.tryStart(w) {
			rest = append(rest, w)
		}
	}
	clear(d.waiting[len(rest):])
	d.waiting = rest
}

func (d *Dispatcher) forget(w *waiter) {
	for i, v := range d.waiting {
		if v == w {
			d.waiting = append(d.waiting[:i], d.waiting[i+1:]...)
			return
		}
	}
}

// InFlight returns the number of slots in use.
func (d *Dispatcher) InFlight() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	n := 0
	for _, v := range d.inFlight {
		n += v
	}
	return n
}
