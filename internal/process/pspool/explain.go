package pspool

import (
	"persimmonstep/internal/request/psroute"
	"persimmonstep/internal/version/psplan"
)

// Candidates returns the route's backend servers as a request would find them now.
func (d *Dispatcher) Candidates(r *psplan.Route) []psroute.Candidate {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.candidates(r)
}
