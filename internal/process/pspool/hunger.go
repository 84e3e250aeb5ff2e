package pspool

import (
	"slices"

	"persimmonstep/internal/request/psroute"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// Hunger is what the waiting requests of a pool lack.
type Hunger struct {
	// Want is the number of slots.
	Want int
	// Regions lists the regions in which they may run.
	Regions map[psdoc.Name]bool
}

// placement is all of a request on which the regions depend in which it may run.
type placement struct {
	route *psplan.Route
	home  *psplan.Region
}

// Hunger returns what the waiting requests of a pool lack.
func (d *Dispatcher) Hunger(poolName psdoc.Name) Hunger {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p := d.poolOf(poolName)
	h := Hunger{Regions: make(map[psdoc.Name]bool)}
	seen := make(map[placement]bool)
	for _, q := range p.queues {
		h.Want += q.len()
		for _, w := range q.waiting {
			kind := placement{route: w.request.Route, home: w.request.Home}
			if !seen[kind] {
				seen[kind] = true
				d.addRegions(&h, kind)
			}
		}
	}
	return h
}

// addRegions adds the regions in which a request may run.
func (d *Dispatcher) addRegions(h *Hunger, k placement) {
	r := psroute.Request{Route: k.route, Home: k.home}
	mayShift := d.config.Shifts.MayShift(k.route)
	for _, s := range k.route.Servers {
		g := s.Domain.Region
		if !h.Regions[g.Name] && (mayShift || !psroute.Shifted(r, s)) && d.mayCross(g) {
			h.Regions[g.Name] = true
		}
	}
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
