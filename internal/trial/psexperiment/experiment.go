// Package psexperiment runs load and fault injection experiments and measures the quality of service.
//
// An experiment starts as many VMs as a firm has on the loopback interface, with stand-ins for the
// platform and the backend servers. It sends a random load while it injects faults on a timetable,
// and measures latency, headroom, goodput, rejections of requests within the rate limit, and violated
// guarantees. Each scenario runs once through the system and once under a baseline policy for comparison.
// An experiment is not a simulation: it runs the code of the production processes.
package psexperiment

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/trial/psbackend"
	"persimmonstep/internal/trial/psbehaviour"
	"persimmonstep/internal/trial/psdev"
	"persimmonstep/internal/trial/psguarantee"
	"persimmonstep/internal/trial/psload"
	"persimmonstep/internal/trial/psrequestlog"
	"persimmonstep/internal/trial/psresult"
	"persimmonstep/internal/trial/psscenario"
	"persimmonstep/platform/psstandin"
)

const (
	// samplePeriod is the time between two samples of the slots in use.
	samplePeriod = 5 * time.Millisecond
	// quotaTolerance and quotaSlack are the tolerance of a workspace's rate, as a fraction of the rate and as a
	// number of requests. They are the defaults of the VMs' settings.
	quotaTolerance = 0.1
	quotaSlack     = 20
)

// experiment is one run of a scenario under one policy.
type experiment struct {
	firm     psscenario.Firm
	scenario *psscenario.Scenario
	policy   Policy
	topology psdev.Topology
	system   *psdev.System
	// start is the start of the load.
	start time.Time
	log   psrequestlog.Log

	mutex      sync.Mutex
	behaviours []psbehaviour.Behaviour
	drained    map[int]time.Duration
	// snapshots are the snapshots of the store that restore faults took, by the time at which they began.
	snapshots   map[time.Duration]psstandin.Snapshot
	revocations []revocation
	// restarts are the times at which the processes of VMs ended or were started, by the VM's name.
	restarts   map[string][]time.Duration
	serverCuts []psguarantee.ServerCut
	stopped    []string
	stopTime   time.Duration
	notes      []string
}

// revocation records when a workspace's key was revoked during the run.
type revocation struct {
	workspace string
	at        time.Duration
}

// Run runs a scenario with the installation of a firm under a policy.
func Run(ctx context.Context, f psscenario.Firm, s *psscenario.Scenario, p Policy, l hclog.Logger) (*psresult.Result, error) {
	e := &experiment{
		firm: f, scenario: s, policy: p, topology: f.Topology(s), drained: make(map[int]time.Duration),
		snapshots: make(map[time.Duration]psstandin.Snapshot), restarts: make(map[string][]time.Duration),
	}
	system, stop, err := psdev.New(ctx, e.topology, e.logOutput)
	if err != nil {
		return nil, err
	}
	defer stop()
	e.system = system
	e.setLatency()
	e.start = time.Now().Add(s.WarmUp.Duration)
	e.configureServers()
	observations, unsent, use := e.sendLoad(ctx)
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "run experiment")
	}
	if unsent > 0 {
		e.notes = append(e.notes, "the load generator could not send every request")
	}
	r := psresult.New(psresult.Run{
		Scenario: s.Name, Firm: f.Name, Policy: p.Name, Seed: s.Seed, Pools: f.Pools, Settle: s.Settle.Duration, History: e.history(observations),
		StopTime: e.stopTime, PeakUse: use.peak, Notes: e.notes,
	})
	r.Unsent = unsent
	r.TimerDelayMilliseconds = float64(use.timerDelay().Microseconds()) / 1000
	if p.Losses {
		r.Losses = e.losses(observations)
	}
	use.recordControlCost(r)
	psevent.RunFinished.Log(l, s.Name, f.Name, p.Name, len(observations), r.Broken.Total())
	return r, nil
}

// logOutput returns the writer of a VM's log, which only losses are read from.
func (e *experiment) logOutput(string) io.Writer {
	if !e.policy.Losses {
		return io.Discard
	}
	return e.log.Writer()
}

// configureServers configures the backend server stand-ins with the firm's service times and latencies.
func (e *experiment) configureServers() {
	for i, v := range e.topology.Servers {
		b := v.Behaviour
		b.LatencyFrom = make(map[netip.Addr]time.Duration)
		for j, m := range e.topology.VMs {
			b.LatencyFrom[e.system.Ready.VMs[j].Callers.Addr()] = e.firm.LatencyBetween(m.Domain, v.Domain)
		}
		for n, d := range e.topology.Domains {
			b.LatencyFrom[psscenario.CallerAddress(n)] = e.firm.LatencyBetween(d, v.Domain)
		}
		if b.Spells != nil {
			spells := *b.Spells
			spells.Origin = e.start
			b.Spells = &spells
		}
		if e.hasFault(psscenario.FaultPoison) {
			b.Faults = []psbehaviour.Fault{{Marker: psscenario.PoisonMarker, Kind: psbehaviour.FaultCrash, Delay: crashDowntime}}
		}
		e.behaviours = append(e.behaviours, b)
		e.system.Servers[i].Set(b)
	}
}

// setLatency delays the datagrams between VMs of an installation whose callers are spread over the regions. Those of the
// firms arrive at once, as in earlier measurements.
func (e *experiment) setLatency() {
	if !e.firm.Regional {
		return
	}
	domains := make(map[netip.Addr]psdev.Domain)
	for i, v := range e.system.Ready.VMs {
		domains[v.Callers.Addr()] = e.topology.VMs[i].Domain
	}
	e.system.Network.SetLatency(func(from, to netip.Addr) time.Duration {
		return e.firm.LatencyBetween(domains[from], domains[to]) / 2
	})
}

// draw draws the arrivals of a scenario.
func draw(f psscenario.Firm, s *psscenario.Scenario) []psload.Arrival {
	return psload.Draw(s.Seed, f.Streams(s), psscenario.DomainCount, s.Span.Duration)
}

// sendLoad sends the scheduled requests after the warm-up, and meanwhile injects the faults and samples the slots in use.
func (e *experiment) sendLoad(ctx context.Context) ([]psload.Observation, int, *usage) {
	callers, clean := e.callers()
	defer clean()
	schedule := draw(e.firm, e.scenario)
	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	use := newUsage(e)
	time.Sleep(time.Until(e.start))
	use.before = e.counters()
	background.Go(func() { e.runFaults(ctx) })
	background.Go(func() { use.sample(ctx) })
	observations, unsent := psload.Run(ctx, callers, schedule, e.start)
	use.after = e.counters()
	cancel()
	background.Wait()
	return observations, unsent, use
}

// callers creates one caller for each failure domain.
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
		c, clean := psload.NewCaller(psscenario.CallerAddress(n), psload.Place{Region: d.Region, FailureDomain: d.Name}, targets, e.policy.targetSource(e), keys, e.firm.CallerLatency)
		out = append(out, c)
		cleanups = append(cleanups, clean)
	}
	return out, func() {
		for _, f := range cleanups {
			f()
		}
	}
}

// history collects the observations in which the guarantees are checked.
func (e *experiment) history(observations []psload.Observation) psguarantee.History {
	out := psguarantee.History{Observations: observations, Stopped: e.stopped, Restarts: e.restarts, ServerCuts: e.serverCuts}
	for _, w := range e.topology.Configuration.Workspaces {
		out.Workspaces = append(out.Workspaces, psguarantee.Workspace{Name: w.Name, Rate: w.Rate, Burst: w.Burst, Tolerance: quotaTolerance, Slack: quotaSlack})
	}
	for n := range psscenario.DomainCount {
		out.HomeRegions = append(out.HomeRegions, e.firm.Region(n))
	}
	for i, v := range e.topology.Servers {
		stats := e.system.Servers[i].Stats()
		out.Servers = append(out.Servers, psguarantee.Server{
			ID: v.ID, Region: v.Domain.Region,
			Runs: e.system.Servers[i].Runs(), DrainedAt: e.drained[i], LastRun: stats.LastRun.Sub(e.start), RequestsInPause: stats.RequestsInPause,
			Arrivals: e.arrivals(i),
		})
	}
	for _, w := range e.revocations {
		out.Revocations = append(out.Revocations, psguarantee.Revocation{Workspace: w.workspace, At: w.at})
	}
	return out
}

// arrivals returns the requests that reached a backend server. Callers that bypass the VMs count as senders of their
// own, so that the guarantees of the baseline policy are checked as well.
func (e *experiment) arrivals(server int) []psguarantee.Arrival {
	senders := make(map[netip.Addr]string)
	for _, v := range e.system.Ready.VMs {
		senders[v.Callers.Addr()] = v.Name
	}
	for n := range psscenario.DomainCount {
		senders[psscenario.CallerAddress(n)] = fmt.Sprint("callers-", n)
	}
	return lo.Map(e.system.Servers[server].Arrivals(), func(a psbackend.Arrival, _ int) psguarantee.Arrival {
		out := psguarantee.Arrival{At: a.At.Sub(e.start), VM: senders[a.From], Named: a.Named}
		if !a.NamedAt.IsZero() {
			out.NamedAt = a.NamedAt.Sub(e.start)
		}
		return out
	})
}
