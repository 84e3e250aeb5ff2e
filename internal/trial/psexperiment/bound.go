package psexperiment

import (
	"slices"

	"persimmonstep/internal/trial/psbackend"
	"persimmonstep/internal/trial/psbound"
	"persimmonstep/internal/trial/psload"
	"persimmonstep/internal/trial/psloss"
	"persimmonstep/internal/trial/psresult"
	"persimmonstep/internal/trial/psscenario"
)

// Bounds returns the rows of a scheduler that knows everything beforehand, from the arrivals that [Run] sends. They leave
// out faults, which only lower what can be served, so that a scenario with faults has no row of a schedule.
func Bounds(f psscenario.Firm, s *psscenario.Scenario) []*psresult.Result {
	p := psbound.New(f, s, f.Topology(s), draw(f, s))
	row := func(name string, v psresult.InTarget) *psresult.Result {
		return &psresult.Result{Scenario: s.Name, Firm: f.Name, Policy: name, Seed: s.Seed, InTarget: v}
	}
	out := []*psresult.Result{row(psresult.UpperBound, psbound.Upper(p))}
	if len(s.Faults) == 0 {
		out = append(out, row(psresult.LowerBound, psbound.Lower(p)))
	}
	return out
}

// losses returns why requests of the run were not served in target.
func (e *experiment) losses(observations []psload.Observation) *psloss.Summary {
	var servers []psloss.Server
	for i, v := range e.topology.Servers {
		b, list := v.Behaviour, e.system.Servers[i].Executions()
		slices.SortStableFunc(list, func(a, b psbackend.Execution) int { return a.Admitted.Compare(b.Admitted) })
		servers = append(servers, psloss.Server{Service: v.Service, Slots: b.Slots, CacheSize: b.CacheSize, Executions: list})
	}
	return psloss.Summarize(psloss.Record{
		Pools: e.firm.Pools, Settle: e.scenario.Settle.Duration, Span: e.scenario.Span.Duration, CallerLatency: e.firm.CallerLatency,
		Start: e.start, Observations: observations, Servers: servers, Outcomes: e.log.Outcomes(), Entitled: psload.Entitled(draw(e.firm, e.scenario), e.firm.Allowances()),
	})
}
