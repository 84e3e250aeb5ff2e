package pspool

import (
	"persimmonstep/internal/request/psroute"
	"persimmonstep/internal/version/psplan"
)

// Candidates returns all of the route's backend servers as a request would find them now,
// also those of which this VM may use no slot.
func (d *Dispatcher) Candidates(r *psplan.Route) []psroute.Candidate {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refresh()
	now := d.config.Now()
	var out []psroute.Candidate
	for _, s := range r.Servers {
		if t, found := d.servers[s.Name]; found {
			out = append(out, d.candidate(t, d.limit(t, now)))
		}
	}
	return out
}
