package psbudget

import (
	"time"

	"persimmonstep/internal/process/psfence"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// standing is a VM's own part of one budget.
type standing struct {
	// retained is what the VM has at any time.
	retained Amount
	// revocable is the rate that it has besides while it holds its fence.
	revocable float64
	// adopted is the rate that it has in place of silent VMs.
	adopted float64
}

// own returns the part at a time, and when it ends; the zero time says that it goes on.
func (s standing) own(held psfence.Span, at time.Time) (Amount, time.Time) {
	out := s.retained
	out.Rate += s.adopted
	if !held.Holds(at) {
		return out, time.Time{}
	}
	out.Rate += s.revocable
	return out, held.Until
}

// regime is the set of plans by which a VM must act. There is more than one while a change
// of the layout is not settled: then the smallest share of all counts. There is none in a
// process that may not use any share yet.
type regime struct {
	plans  []*psplan.Plan
	layout uint64
}

// follow takes in what the fence shows.
func (r *regime) follow(v *psfence.View) {
	switch {
	case v.Settled:
		r.plans = []*psplan.Plan{v.Plan}
	case len(r.plans) == 0:
	case r.layout == v.Layout:
		r.plans[len(r.plans)-1] = v.Plan
	default:
		r.plans = append(r.plans, v.Plan)
	}
	r.layout = v.Layout
}

// standing computes a VM's own part of a budget.
func (r *regime) standing(self, key psdoc.Name, v *psfence.View) standing {
	var s standing
	whole, found := wholeOf(v.Plan, key)
	if !found || len(r.plans) == 0 {
		return s
	}
	var splits [][]Share
	for _, p := range r.plans {
		if w, found := wholeOf(p, key); found {
			splits = append(splits, Split(p, key, w.Burst))
		}
	}
	part := func(vm psdoc.Name) float64 {
		smallest := 1.0
		for _, shares := range splits {
			smallest = min(smallest, shareOf(shares, vm))
		}
		return smallest
	}
	mine := part(self)
	s.retained = Amount{Rate: psfence.Retained * mine * whole.Rate, Burst: mine * whole.Burst}
	s.revocable = (1 - psfence.Retained) * mine * whole.Rate
	for _, a := range v.Adopted {
		s.adopted += (1 - psfence.Retained) * part(a.VM) * whole.Rate
	}
	return s
}
