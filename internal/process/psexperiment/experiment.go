// Package psmeasure runs experiments on the system and measures what its users care for.
//
// An experiment starts the entry VMs of a firm's size over loopback, with stand-ins for the
// platform and the backend servers, sends a drawn load while faults come on a timetable,
// and counts latency, headroom, goodput, wrongful refusals and broken promises. Each
// scenario runs through the system and beside it under a named baseline. It is a tool
// for experiments on this system and not a simulator: what it starts is the real thing.
package psexperiment

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"persimmonstep/internal/process/psbackend"
	"persimmonstep/internal/process/psdev"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psguarantee"
	"persimmonstep/internal/process/psload"
	"persimmonstep/internal/process/psscenario"
	"persimmonstep/platform/psstandin"
)

const (
	// samplePeriod is the time between two looks at the slots in use.
	samplePeriod = 5 * time.Millisecond
	// quotaOver and quotaSlack are the tolerance for a workspace's rate that the VMs' settings
	// name by default.
	quotaOver  = 0.1
	quotaSlack = 20
)

// experiment is one run of a scenario under one policy.
type experiment struct {
	firm     psscenario.Firm
	scenario *psscenario.Scenario
	policy   Policy
	topology psdev.Topology
	system   *psdev.System
	start    time.Time

	mutex      sync.Mutex
	behaviours []psbackend.Behaviour
	drained    map[int]time.Duration
	// copies are what the store held when faults began from which it comes back.
	snapshots map[psscenario.Fault]psstandin.Copy
	withdrawn []withdrawal
	stopped   []string
	stopTime  time.Duration
	notes     []string
}

// withdrawal is a key withdrawn during the run.
type withdrawal struct {
	workspace string
	at        time.Duration
}

// Run runs a scenario of a firm under a policy.
func Run(ctx context.Context, f psscenario.Firm, s *psscenario.Scenario, p Policy, l hclog.Logger) (*Result, error) {
	e := &experiment{firm: f, scenario: s, policy: p, topology: f.Topology(), drained: make(map[int]time.Duration), snapshots: make(map[psscenario.Fault]psstandin.Copy)}
	system, stop, err := psdev.New(ctx, e.topology, func(string) io.Writer { return io.Discard })
	if err != nil {
		return nil, err
	}
	defer stop()
	e.system = system
	e.configureServers()
	time.Sleep(s.WarmUp.Duration)
	observations, unsent, use := e.sendLoad(ctx)
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "the run was interrupted")
	}
	if unsent > 0 {
		e.notes = append(e.notes, "the load generator could not send every request")
	}
	evidence := e.history(observations)
	r := e.result(evidence, use)
	r.Unsent = unsent
	use.recordControlCost(r)
	psevent.Measured.Log(l, s.Name, f.Name, p.Name, len(observations), r.Broken.Total())
	return r, nil
}

// prepare gives the stand-ins the firm's service times and latencies.
func (e *experiment) configureServers() {
	for i, v := range e.topology.Servers {
		b := v.Behaviour
		b.LatencyFrom = make(map[netip.Addr]time.Duration)
		for j, m := range e.topology.VMs {
			b.LatencyFrom[e.system.Ready.VMs[j].Callers.Addr()] = e.latency(m.Domain, v.Domain)
		}
		for n, d := range e.topology.Domains {
			b.LatencyFrom[psscenario.CallerAddress(n)] = e.latency(d, v.Domain)
		}
		if e.hasFault(psscenario.FaultPoison) {
			b.Faults = []psbackend.Fault{{Marker: psscenario.PoisonMarker, Kind: psbackend.FaultCrash, Delay: crashDowntime}}
		}
		e.behaviours = append(e.behaviours, b)
		e.system.Servers[i].Set(b)
	}
}

// latency is the time from a failure domain to another one and back.
func (e *experiment) latency(from, to psdev.Domain) time.Duration {
	switch {
	case from == to:
		return 0
	case from.Region == to.Region:
		return e.firm.DomainLatency
	}
	return e.firm.RegionLatency
}

// load sends the schedule while the timetable runs and the slots in use are sampled.
func (e *experiment) sendLoad(ctx context.Context) ([]psload.Observation, int, *usage) {
	callers, clean := e.callers()
	defer clean()
	schedule := psload.Draw(e.scenario.Seed, e.firm.Streams(e.scenario), psscenario.DomainCount, e.scenario.Span.Duration)
	ctx, cancel := context.WithCancel(ctx)
	var beside sync.WaitGroup
	use := newUsage(e)
	e.start = time.Now()
	use.before = e.counters()
	beside.Go(func() { e.runFaults(ctx) })
	beside.Go(func() { use.sample(ctx) })
	observations, unsent := psload.Run(ctx, callers, schedule, e.start)
	use.after = e.counters()
	cancel()
	beside.Wait()
	return observations, unsent, use
}

// callers makes one caller for each failure domain.
func (e *experiment) callers() ([]*psload.Caller, func()) {
	var targets []psload.Target
	for _, v := range e.system.Ready.VMs {
		targets = append(targets, psload.Target{Name: v.Name, Address: v.Callers, Directory: v.Directory})
	}
	keys := make(map[string]string)
	for _, w := range e.system.Ready.Workspaces {
		keys[w.Name] = w.Key
	}
	var out []*psload.Caller
	var cleanups []func()
	for n := range psscenario.DomainCount {
		d := e.topology.Domains[n]
		c, clean := psload.NewCaller(psscenario.CallerAddress(n), psload.Place{Region: d.Region, FailureDomain: d.Name}, targets, e.policy.targetSource(e.system), keys)
		out = append(out, c)
		cleanups = append(cleanups, clean)
	}
	return out, func() {
		for _, f := range cleanups {
			f()
		}
	}
}

// evidence collects what the promises are checked against.
func (e *experiment) history(observations []psload.Observation) psguarantee.History {
	out := psguarantee.History{Observations: observations, Stopped: e.stopped}
	for _, w := range e.topology.Configuration.Workspaces {
		out.Workspaces = append(out.Workspaces, psguarantee.Workspace{Name: w.Name, Rate: w.Rate, Burst: w.Burst, Over: quotaOver, Slack: quotaSlack})
	}
	for n := range psscenario.DomainCount {
		out.HomeRegions = append(out.HomeRegions, e.firm.Region(n))
	}
	for i, v := range e.topology.Servers {
		stats := e.system.Servers[i].Stats()
		out.Servers = append(out.Servers, psguarantee.Server{
			ID: v.ID, Region: v.Domain.Region,
			Runs: e.system.Servers[i].Runs(), DrainedAt: e.drained[i], LastRun: stats.LastRun.Sub(e.start), RequestsInPause: stats.RequestsInPause,
		})
	}
	for _, w := range e.withdrawn {
		out.Withdrawals = append(out.Withdrawals, psguarantee.Withdrawal{Workspace: w.workspace, At: w.at})
	}
	return out
}
