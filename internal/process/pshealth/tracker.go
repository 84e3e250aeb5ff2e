// Package pshealth judges backend servers by what this VM observed of them.
//
// A VM's own observations come first: requests under way, failures and latencies, compared
// with those of the servers' peers. What a server reports of itself lags or misleads, so it
// can only narrow the server's share and is forgotten soon. A server that stands out is
// ejected for a while, never more than a part of a pool; one that can't be connected to is
// down until a probe goes well. Servers that are new or return get a share that grows.
//
// The decisions are pure functions in judge.go. The [Tracker] feeds them and publishes one
// immutable verdict for each server, which the request path reads without a lock.
package pshealth

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/request/psgate"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// Plans gives the plan in force.
type Plans interface {
	Plan() *psplan.Plan
}

// Options are what a tracker needs.
type Options struct {
	// Self is the VM's own name.
	Self psdoc.Name
	// Plans gives the plan in force.
	Plans Plans
	// Now gives monotonic time.
	Now func() time.Time
	// Logger takes the log lines.
	Logger hclog.Logger
	// Metrics counts what happens.
	Metrics *Metrics
}

// Tracker keeps the observations of one VM.
type Tracker struct {
	options Options
	records atomic.Pointer[map[psdoc.Name]*record]

	mutex   sync.Mutex
	plan    *psplan.Plan
	groups  map[groupKey]*group
	pools   map[psdoc.Name]*pool
	leaving *leaving
	changed []func()
	// steppedAt is the time of the last step.
	steppedAt time.Time
}

// groupKey identifies servers that are compared with each other: those of a pool in a region.
type groupKey struct {
	pool, region psdoc.Name
}

// group is a set of servers that are compared with each other.
type group struct {
	records []*record
	latency time.Duration
}

// pool is a set of servers that stand in for each other.
type pool struct {
	records []*record
}

// New returns a tracker that has observed nothing.
func New(o Options) *Tracker {
	t := &Tracker{options: o, leaving: newLeaving()}
	t.records.Store(&map[psdoc.Name]*record{})
	return t
}

// OnChange registers a function to be called, without a lock, after a server's share changed.
// It must be called before Run.
func (t *Tracker) OnChange(f func()) {
	t.changed = append(t.changed, f)
}

func (t *Tracker) record(s *psplan.Server) *record {
	return (*t.records.Load())[s.Name]
}

// Excluded reports whether the server must receive no new work.
func (t *Tracker) Excluded(s *psplan.Server) bool {
	r := t.record(s)
	return s.Leaving || (r != nil && r.verdict.Load().excluded)
}

// Weight returns the part of its slots that the server should get, above 0 and at most 1.
func (t *Tracker) Weight(s *psplan.Server) float64 {
	if r := t.record(s); r != nil {
		return r.verdict.Load().weight
	}
	return 1
}

// Latency returns the expected time of one request; 0 when unknown.
func (t *Tracker) Latency(s *psplan.Server) time.Duration {
	if r := t.record(s); r != nil {
		return time.Duration(r.estimate.Load())
	}
	return 0
}

// Begin takes in the start of an attempt. Streamed requests are not entered, because a long
// upload is silent for as long as it takes.
func (t *Tracker) Begin(s *psplan.Server) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r := t.record(s)
	if r == nil {
		return
	}
	if r.inFlight == 0 {
		r.progressAt = t.options.Now()
	}
	r.inFlight++
}

// Observe takes in the end of an attempt and takes a server out at once where its end calls
// for that.
func (t *Tracker) Observe(o psgate.Observation) {
	if t.observe(o) {
		t.notify()
	}
}

func (t *Tracker) observe(o psgate.Observation) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r := t.record(o.Server)
	if r == nil {
		return false
	}
	now := t.options.Now()
	r.take(o, now)
	if _, ok := sortEnding(o).(good); ok && r.drainingAt != now {
		return false
	}
	return t.review(t.pools[r.server.Pool], now)
}

func (t *Tracker) notify() {
	for _, f := range t.changed {
		f()
	}
}

// Step brings verdicts up to date with the plan and the time.
func (t *Tracker) Step() {
	if t.step() {
		t.notify()
	}
}

func (t *Tracker) step() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.options.Now()
	t.sync(now)
	t.excusePause(now)
	for _, g := range t.groups {
		g.compare(now)
	}
	changed := false
	for _, p := range t.pools {
		changed = t.review(p, now) || changed
	}
	return changed
}

// maxStepGap is the time between two steps above which this VM itself was paused.
const maxStepGap = 3 * stepInterval

// excusePause does not hold this VM's own pause against servers: answers may have come that
// nobody read.
func (t *Tracker) excusePause(now time.Time) {
	gap := now.Sub(t.steppedAt)
	paused := !t.steppedAt.IsZero() && gap > maxStepGap
	t.steppedAt = now
	if !paused {
		return
	}
	for _, r := range *t.records.Load() {
		if r.inFlight > 0 {
			r.progressAt = r.progressAt.Add(gap)
		}
	}
}

// sync takes over a new plan. Servers that join a plan in force begin on a ramp; those of
// the first plan are taken for warm, since this VM can't know how long they have run.
func (t *Tracker) sync(now time.Time) {
	p := t.options.Plans.Plan()
	if p == t.plan {
		return
	}
	old := *t.records.Load()
	next := make(map[psdoc.Name]*record, len(p.Servers))
	t.groups, t.pools = make(map[groupKey]*group), make(map[psdoc.Name]*pool)
	for _, s := range p.Servers {
		r, found := old[s.Name]
		if !found || r.server.Address != s.Address {
			r = newRecord(t.firstPhase(now), now)
		}
		r.server = s
		v := s.Owner
		r.owned = v != nil && v.Name == t.options.Self
		t.enter(r)
		next[s.Name] = r
	}
	t.plan = p
	t.records.Store(&next)
}

func (t *Tracker) firstPhase(now time.Time) phase {
	if t.plan == nil || t.plan.Version == 0 {
		return warm{}
	}
	return ramping{since: now}
}

func (t *Tracker) enter(r *record) {
	k := groupKey{pool: r.server.Pool, region: r.server.Domain.Region.Name}
	if t.groups[k] == nil {
		t.groups[k] = &group{}
	}
	r.group = t.groups[k]
	r.group.records = append(r.group.records, r)
	if t.pools[r.server.Pool] == nil {
		t.pools[r.server.Pool] = &pool{}
	}
	p := t.pools[r.server.Pool]
	p.records = append(p.records, r)
}

// compare finds the group's median latency.
func (g *group) compare(now time.Time) {
	var seen []time.Duration
	for _, r := range g.records {
		if !r.latencyAt.IsZero() && !r.isOut() {
			seen = append(seen, r.latency)
		}
	}
	g.latency = 0
	if len(seen) > 1 {
		g.latency = lowerMedian(seen)
	}
	for _, r := range g.records {
		r.estimate.Store(int64(estimate(r.latency, now.Sub(r.latencyAt), r.silence(now), g.latency)))
	}
}

func lowerMedian[T time.Duration | float64](values []T) T {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// review judges the servers of a pool and publishes verdicts. It reports whether any changed.
func (t *Tracker) review(p *pool, now time.Time) bool {
	rates := p.rates(now)
	out := 0
	for _, r := range p.records {
		if r.isEjected() {
			out++
		}
	}
	for i, r := range p.records {
		was := r.isEjected()
		t.advance(r, peers{failureRate: medianOfOthers(rates, i), latency: r.group.latency, mayEject: mayEject(out, len(p.records))}, now)
		switch is := r.isEjected(); {
		case is && !was:
			out++
		case was && !is:
			out--
		}
	}
	return t.publish(p, now)
}

func (p *pool) rates(now time.Time) []float64 {
	rates := make([]float64, len(p.records))
	for i, r := range p.records {
		s := r.signals(now)
		rates[i] = s.rate()
	}
	return rates
}

// medianOfOthers is the lower median of all values but one; 0 where there is no other.
func medianOfOthers(values []float64, except int) float64 {
	others := slices.Concat(values[:except], values[except+1:])
	if len(others) == 0 {
		return 0
	}
	return lowerMedian(others)
}

// ejectionsForgotten is the time of good service after which earlier ejections don't count.
const ejectionsForgotten = 5 * time.Minute

// advance takes a server to its next phase.
func (t *Tracker) advance(r *record, p peers, now time.Time) {
	next, withheld := judge(r.signals(now), p)
	if withheld != "" && withheld != r.withheld {
		psevent.EjectionWithheld.Log(t.options.Logger, r.server.Name, r.server.Pool, string(withheld))
	}
	r.withheld = withheld
	if next == r.phase {
		return
	}
	r.phase = next
	t.options.Metrics.phase(next)
	switch v := next.(type) {
	case ejected:
		if now.Sub(r.outAt) > ejectionsForgotten {
			r.ejections = 0
		}
		r.ejections++
		r.outAt, r.probedWell, r.failuresInARow, r.spared = now, false, 0, 0
		psevent.ServerEjected.Log(t.options.Logger, r.server.Name, r.server.Pool, string(v.reason), v.until.Sub(now), r.ejections)
	case down:
		r.outAt, r.probedWell = now, false
		psevent.ServerDown.Log(t.options.Logger, r.server.Name, r.server.Pool)
	case ramping:
		r.begin(now)
		psevent.ServerReturned.Log(t.options.Logger, r.server.Name, r.server.Pool, RampSpan)
	case warm:
		psevent.ServerWarm.Log(t.options.Logger, r.server.Name, r.server.Pool)
	}
}

// begin forgets what was held against a server before it returned.
func (r *record) begin(now time.Time) {
	r.failuresInARow, r.spared = 0, 0
	r.connect()
	r.samples, r.failures = 0, 0
	r.goodAt, r.progressAt = now, now
	r.latencyAt, r.latency = time.Time{}, 0
	r.estimate.Store(0)
}

// publish stores the verdicts of a pool. Where every server would be kept from work, those
// that are not leaving get it after all: the reason is then more likely on this VM's side.
func (t *Tracker) publish(p *pool, now time.Time) bool {
	all := true
	for _, r := range p.records {
		r.leaving = r.server.Leaving || t.leaving.has(r.server.Name, now) || !r.drainingAt.IsZero()
		t.noteLeaving(r)
		all = all && (r.leaving || r.isOut())
	}
	changed := false
	for _, r := range p.records {
		v := verdict{excluded: r.leaving || (r.isOut() && !all), weight: weigh(now, r.phase, r.hints(now))}
		old := r.verdict.Load()
		if *old == v {
			continue
		}
		changed = changed || old.excluded != v.excluded || v.weight > old.weight
		r.verdict.Store(&v)
	}
	return changed
}
