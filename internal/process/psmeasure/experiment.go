package psmeasure

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psbackend"
	"persimmonstep/internal/process/psdev"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psload"
	"persimmonstep/internal/process/pspromise"
	"persimmonstep/internal/version/psdoc"
)

// samplePeriod is the time between two looks at the slots in use.
const samplePeriod = 5 * time.Millisecond

// experiment is one run of a scenario under one policy.
type experiment struct {
	firm     Firm
	scenario *Scenario
	policy   Policy
	logger   hclog.Logger
	topology psdev.Topology
	system   *psdev.System
	start    time.Time

	mutex      sync.Mutex
	behaviours []psbackend.Behaviour
	drained    map[int]time.Duration
	withdrawn  []withdrawal
	stopped    []psdoc.Name
	stopTime   time.Duration
	notes      []string
}

// withdrawal is a key withdrawn during the run.
type withdrawal struct {
	workspace psdoc.Name
	at        time.Duration
}

// Run runs a scenario of a firm under a policy.
func Run(ctx context.Context, f Firm, s *Scenario, p Policy, l hclog.Logger) (*Result, error) {
	e := &experiment{firm: f, scenario: s, policy: p, logger: l, topology: f.topology(), drained: make(map[int]time.Duration)}
	e.topology.Adjust = p.Adjust
	system, stop, err := psdev.New(ctx, e.topology, hclog.NewNullLogger())
	if err != nil {
		return nil, err
	}
	defer stop()
	e.system = system
	e.prepare()
	time.Sleep(s.WarmUp.Duration)
	observations, unsent, use := e.load(ctx)
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "the run was interrupted")
	}
	if unsent > 0 {
		e.notes = append(e.notes, "the load generator could not send every request")
	}
	evidence := e.evidence(observations)
	r := e.result(evidence, use)
	r.Unsent = unsent
	use.control(r)
	psevent.Measured.Log(l, s.Name, f.Name, p.Name, len(observations), r.Broken.Total())
	return r, nil
}

// prepare gives the stand-ins the firm's service times and latencies.
func (e *experiment) prepare() {
	pool := lo.KeyBy(e.firm.Pools, func(p Pool) psdoc.Name { return p.Name })
	for i, v := range e.topology.Servers {
		b := psbackend.Behaviour{ServiceTime: pool[v.Pool].ServiceTime, LatencyFrom: make(map[psdoc.Name]time.Duration)}
		for _, m := range e.topology.VMs {
			b.LatencyFrom[m.Name] = e.latency(m, v)
		}
		if e.hasFault(FaultPoison) {
			b.Faults = []psbackend.Fault{{Marker: poisonMarker, Kind: psbackend.FaultCrash, Delay: crashSpan}}
		}
		e.behaviours = append(e.behaviours, b)
		e.system.Servers[i].Set(b)
	}
}

// latency is the time from a VM to a backend server and back.
func (e *experiment) latency(m psdev.TopologyVM, v psdev.TopologyServer) time.Duration {
	switch {
	case m.Domain == v.Domain:
		return 0
	case m.Region == e.regionOf(v.Domain):
		return e.firm.DomainLatency
	}
	return e.firm.RegionLatency
}

func (e *experiment) regionOf(domain psdoc.Name) psdoc.Name {
	d, _ := lo.Find(e.topology.Domains, func(d psdoc.FailureDomain) bool { return d.Name == domain })
	return d.Region
}

// load sends the schedule while the timetable runs and the slots in use are sampled.
func (e *experiment) load(ctx context.Context) ([]psload.Observation, int, *usage) {
	callers, clean := e.callers()
	defer clean()
	schedule := psload.Draw(e.scenario.Seed, e.firm.streams(e.scenario), domainCount, e.scenario.Span.Duration)
	ctx, cancel := context.WithCancel(ctx)
	var beside sync.WaitGroup
	use := newUsage(e)
	e.start = time.Now()
	use.before = e.counters()
	beside.Go(func() { e.follow(ctx) })
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
	for i, v := range e.topology.VMs {
		targets = append(targets, psload.Target{Name: v.Name, Address: e.system.Ready.Callers[i]})
	}
	keys := make(map[psdoc.Name]string)
	for _, w := range e.system.Ready.Workspaces {
		keys[w.Name] = w.Key
	}
	var out []*psload.Caller
	var cleanups []func()
	for n := range domainCount {
		c, clean := psload.NewCaller(source(n), targets, e.policy.Choice, keys)
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
func (e *experiment) evidence(observations []psload.Observation) pspromise.Evidence {
	out := pspromise.Evidence{Observations: observations, Fractions: make(map[psdoc.Name]float64), Stopped: e.stopped}
	for _, w := range e.topology.Workspaces {
		out.Workspaces = append(out.Workspaces, pspromise.Workspace{Name: w.Name, Rate: w.Rate, Burst: w.Burst})
	}
	for _, p := range e.firm.Pools {
		out.Fractions[p.Name] = p.Shift
	}
	for n := range domainCount {
		out.Homes = append(out.Homes, e.firm.region(n))
	}
	for i, v := range e.topology.Servers {
		stats := e.system.Servers[i].Stats()
		out.Servers = append(out.Servers, pspromise.Server{
			Name: v.Name, Region: e.regionOf(v.Domain), Slots: v.Slots, HighWater: stats.HighWater,
			Runs: e.system.Servers[i].Runs(), DrainedAt: e.drained[i], LastRun: stats.LastRun.Sub(e.start),
		})
	}
	for _, w := range e.withdrawn {
		out.Withdrawals = append(out.Withdrawals, pspromise.Withdrawal{Workspace: w.workspace, At: w.at})
	}
	return out
}

func (e *experiment) note(err error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.notes = append(e.notes, err.Error())
}
