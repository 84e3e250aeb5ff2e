package pspool

import (
	"slices"

	"persimmonstep/internal/request/psroute"
	"persimmonstep/internal/version/psdoc"
)

// Hunger is what the waiting requests of a pool lack.
type Hunger struct {
	// Want is the number of slots.
	Want int
	// Regions lists the regions in which they may run.
	Regions map[psdoc.Name]bool
}

// Hunger returns what the waiting requests of a pool lack.
func (d *Dispatcher) Hunger(poolName psdoc.Name) Hunger {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p := d.poolOf(poolName)
	h := Hunger{Regions: make(map[psdoc.Name]bool)}
	for _, q := range p.queues {
		for _, w := range q.waiting {
			h.Want++
			r := w.request
			mayShift := d.config.Shifts.MayShift(r.Route)
			for _, s := range r.Route.Servers {
				if mayShift || r.Home == nil || s.Domain.Region == r.Home {
					h.Regions[s.Domain.Region.Name] = true
				}
			}
		}
	}
	return h
}

// RefuseHopeless refuses the waiting requests of a pool for which this VM has no usable
// server, after all VMs that could lend some were asked in vain.
func (d *Dispatcher) RefuseHopeless(poolName psdoc.Name) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p := d.poolOf(poolName)
	for name, q := range p.queues {
		q.waiting = slices.DeleteFunc(q.waiting, func(w *waiter) bool { return d.refuseHopeless(p, w) })
		p.tidy(name)
	}
}

func (d *Dispatcher) refuseHopeless(p *pool, w *waiter) bool {
	w.request.MayShift = d.config.Shifts.MayShift(w.request.Route)
	v, hopeless := psroute.Decide(w.request, d.candidates(p, w.request.Route)).(psroute.Refuse)
	if hopeless {
		w.ready <- outcome{problem: refusal(v.Reason, retryAfterBusy)}
	}
	return hopeless
}
