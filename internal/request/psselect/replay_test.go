package psselect_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/request/psadmission"
	"persimmonstep/internal/request/psestimate"
	"persimmonstep/internal/request/psoutlier"
	"persimmonstep/internal/request/psplacement"
	"persimmonstep/internal/request/psselect"
	"persimmonstep/internal/request/psshed"
	"persimmonstep/internal/request/psusage"
	"persimmonstep/internal/version/psconfig"
)

// load describes a replayed load: callers send requests to several VMs. Each VM knows the servers only
// by its own requests and by the load that responses report.
type load struct {
	vms, servers, slots int
	perSecond           float64
	span                time.Duration
	run                 time.Duration
	// objects is the number of objects, which are requested with equal probability, and cacheSize how
	// many of them a server caches. Runs on objects that aren't cached take three times as long. Without
	// objects, all runs take the same time.
	objects, cacheSize int
	// slowServer is the position of a server that becomes slower by slowFactor from slowFrom on.
	slowServer int
	slowFactor float64
	slowFrom   time.Duration
	// domains is the number of failure domains, to which VMs and servers are assigned in turn. roundTrip
	// is the round-trip time between them, and responseBytes the size of a response.
	domains       int
	kind          psconfig.Kind
	roundTrip     time.Duration
	responseBytes int
	// firstDomainOnly sends all callers to the VMs of the first failure domain.
	firstDomainOnly bool
	// bursts multiply the load one after another.
	bursts []burst
	// retries lets rejected callers retry once, after the delay that the rejection states.
	retries bool
	// queueLimit is the number of requests that wait at a server, which sheds all beyond it; 0 is no limit.
	queueLimit int
	// runSpread is the fraction by which run times vary, up and down.
	runSpread float64
	// spells is the distance between servers whose machines become slow for a while from time to time, 0 without any.
	// speedStated lets responses state it.
	spells      int
	speedStated bool
	// kinds are the kinds of requests; without any all have the highest priority. unordered lets each request be decided
	// without regard to the others.
	kinds     []kind
	unordered bool
	// knowledge is what VMs know of the usual amounts of workspaces, whose requests beyond them yield.
	knowledge knowledge
}

// burst multiplies the rate of a load from a time on.
type burst struct {
	from   time.Duration
	factor float64
}

// rate returns the number of requests a second at a time.
func (l load) rate(now time.Duration) float64 {
	v := l.perSecond * burstFactor(l.bursts, now)
	if len(l.kinds) > 0 {
		weight := 0.0
		for _, k := range l.kinds {
			weight += k.weight(now)
		}
		v *= weight
	}
	return v
}

func burstFactor(list []burst, now time.Duration) float64 {
	v := 1.0
	for _, b := range list {
		if now >= b.from {
			v = b.factor
		}
	}
	return v
}

// domain returns the failure domain of the VM or server with a number.
func (l load) domain(i int) string { return fmt.Sprint("domain-", i%max(1, l.domains)) }

const (
	// reportInterval is the interval at which VMs exchange reports.
	reportInterval = 250 * time.Millisecond
	target         = 200 * time.Millisecond
	deadline       = 2 * time.Second
)

// sentRequest is a request in flight at a server.
type sentRequest struct {
	end          time.Duration
	sent         time.Duration
	vm, server   int
	kind         *kindResult
	choice       psplacement.Choice
	object       uint64
	hit          bool
	firstAttempt time.Duration
	exchange     *psserver.Exchange
}

type sentRequests []*sentRequest

func (e sentRequests) Len() int           { return len(e) }
func (e sentRequests) Less(i, j int) bool { return e[i].end < e[j].end }
func (e sentRequests) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *sentRequests) Push(x any)        { *e = append(*e, x.(*sentRequest)) }
func (e *sentRequests) Pop() any {
	old := *e
	v := old[len(old)-1]
	*e = old[:len(old)-1]
	return v
}

// replay is the state of a replayed load.
type replay struct {
	load    load
	kinds   []*kindResult
	demands []psshed.Demands
	usages  []psusage.Usage
	// busy are the workspaces that each VM found busy at each report.
	busy     [][][]string
	start    time.Time
	views    [][]*psserver.Server
	running  sentRequests
	machines []machine
	free     [][]time.Duration
	cached   [][]uint64
	inFlight []int
	// latencies are those of the requests that were sent; rejected counts the others.
	latencies []time.Duration
	sentAt    []time.Duration
	perServer []int
	rejected  int
	// sentWhileSlow counts the requests that were sent to a server whose machine was slow.
	sentWhileSlow int
	// otherDomain counts the requests that ran in another failure domain than that of their VM.
	otherDomain int
	// requests, shed, retried and retriesRejected count requests; the last two are the retries, and the
	// retries that were rejected again.
	requests, shed, retried, retriesRejected int
	retryQueue                               clientRetries
	// reportedAt is when the VMs last exchanged reports.
	reportedAt time.Duration
	random     *rand.Rand
}

// clientRetry is a retry of a rejected caller.
type clientRetry struct {
	at, firstAttempt time.Duration
	vm               int
	kind             *kindResult
	key, id          string
}

type clientRetries []clientRetry

func (c clientRetries) Len() int           { return len(c) }
func (c clientRetries) Less(i, j int) bool { return c[i].at < c[j].at }
func (c clientRetries) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *clientRetries) Push(x any)        { *c = append(*c, x.(clientRetry)) }
func (c *clientRetries) Pop() any {
	old := *c
	v := old[len(old)-1]
	*c = old[:len(old)-1]
	return v
}

func replayLoad(l load, affinity bool, seed uint64) *replay {
	p := &replay{
		load: l, start: time.Unix(0, 0), inFlight: make([]int, l.servers), perServer: make([]int, l.servers),
		demands: make([]psshed.Demands, l.vms), usages: make([]psusage.Usage, l.vms),
	}
	p.kinds = newKindResults(l, affinity)
	for range l.vms {
		list := make([]*psserver.Server, l.servers)
		for i := range list {
			list[i] = psserver.New(psserver.Entry{ID: fmt.Sprint("server-", i), Slots: l.slots, FailureDomain: l.domain(i)}, l.domain(i), p.start)
		}
		p.views = append(p.views, list)
	}
	p.cached = make([][]uint64, l.servers)
	for range l.servers {
		p.free = append(p.free, make([]time.Duration, l.slots))
	}
	random := rand.New(rand.NewPCG(seed, seed))
	p.random = rand.New(rand.NewPCG(seed, seed+1))
	if l.spells > 0 {
		p.machines = newMachines(l, seed)
	}
	n := 0
	for now := time.Duration(0); now < l.span; now += time.Duration(random.ExpFloat64() / l.rate(now) * float64(time.Second)) {
		for len(p.retryQueue) > 0 && p.retryQueue[0].at <= now {
			r := heap.Pop(&p.retryQueue).(clientRetry)
			p.finish(r.at)
			p.retried++
			p.decide(r.kind, r.vm, r.key, r.id, p.random.Float64(), r.at, r.firstAttempt)
		}
		p.finish(now)
		p.exchangeReports(now)
		n++
		p.requests++
		key := fmt.Sprint(random.IntN(max(1, l.objects)))
		vm := random.IntN(l.vms)
		if l.firstDomainOnly {
			vm -= vm % l.domains
		}
		kind := p.pickKind(random, now)
		kind.count(kind.requests, now)
		p.decide(kind, vm, key, fmt.Sprint("id-", seed, "-", n), random.Float64(), now, now)
	}
	return p
}

// finish completes the requests that end up to a time.
func (p *replay) finish(now time.Duration) {
	for len(p.running) > 0 && p.running[0].end <= now {
		e := heap.Pop(&p.running).(*sentRequest)
		v, at := p.views[e.vm][e.server], p.start.Add(e.end)
		p.inFlight[e.server]--
		v.EndRequest(e.exchange)
		v.RecordResponse(at)
		v.RecordLoad(min(p.inFlight[e.server], p.load.slots), max(0, p.inFlight[e.server]-p.load.slots), at)
		if p.load.speedStated {
			v.RecordSpeed(p.machines[e.server].factor(e.end), at)
		}
		v.RecordLatency(e.exchange, p.load.run, at)
		v.RecordOutcome(float64(e.end-e.sent)/(float64(e.choice.NominalLatency)*v.AverageSpeed(p.start.Add(e.sent), at)), false, at)
		if e.choice.LikelyCached {
			v.RecordCacheResult(e.choice.Rank == 0, e.hit, at)
		}
	}
}

// exchangeReports lets the VMs report outliers to each other once every report interval.
func (p *replay) exchangeReports(now time.Duration) {
	if now < p.reportedAt+reportInterval {
		return
	}
	p.reportedAt = now
	at := p.start.Add(now)
	p.exchangeUsages(at)
	for i, list := range p.views {
		lags := make([]float64, len(list))
		for j, v := range list {
			lags[j] = v.LocalLag(at)
		}
		for j, slow := range psoutlier.Find(lags) {
			for k := range p.views {
				if slow && k != i {
					p.views[k][j].RecordPeerLag(lags[j], at)
				}
			}
		}
	}
}

// decide lets a VM decide on a request, whose caller made its first attempt at firstAttempt.
func (p *replay) decide(kind *kindResult, vm int, key, id string, random float64, now, firstAttempt time.Duration) {
	at := p.start.Add(now)
	object := psselect.ObjectOf(kind.route, key, id)
	options := make([]psselect.Option, p.load.servers)
	for i, v := range p.views[vm] {
		options[i] = psselect.Option{View: v.View(at), ObjectSent: v.RecentObjects.Contains(object)}
		if p.load.domain(i) != p.load.domain(vm) {
			options[i].RoundTrip = p.load.roundTrip
		}
	}
	r := psselect.Request{
		Route: kind.route, Object: object, ArrivedAt: at, MeanRun: p.load.run, Remaining: deadline - (now - firstAttempt),
		PriorWait: priorWait(now - firstAttempt), DetectableWait: detectableWait, Random: random,
		Runs: psestimate.Runs{Cached: p.load.run, Uncached: 3 * p.load.run}, Bytes: p.load.responseBytes,
		From: psselect.Place{FailureDomain: p.load.domain(vm), Region: p.load.domain(vm)},
	}
	c := psselect.Choose(options, r)
	if !p.load.unordered {
		r.Demand = p.demands[vm].Of("orders", at)
	}
	r.BeyondUsual = p.beyondUsual(kind, vm, r.PriorWait > 0, at)
	verdict := psselect.Admit(c, r)
	p.demands[vm].Observe("orders", psselect.Observation(c, r, verdict), at)
	if v, rejected := verdict.(psadmission.Rejected); rejected {
		p.rejected++
		if now > firstAttempt {
			p.retriesRejected++
		} else if p.load.retries {
			heap.Push(&p.retryQueue, clientRetry{now + v.RetryAfter, firstAttempt, vm, kind, key, id + "-again"})
		}
		return
	}
	v := p.views[vm][c.Index]
	if p.load.queueLimit > 0 && p.inFlight[c.Index] >= p.load.slots+p.load.queueLimit {
		p.shed++
		v.RecordLoad(p.load.slots, p.load.queueLimit, at)
		v.RecordOutcome(0, true, at)
		return
	}
	kind.count(kind.served, firstAttempt)
	e := &sentRequest{sent: now, firstAttempt: firstAttempt, vm: vm, kind: kind, server: c.Index, choice: c, object: object}
	e.exchange = v.BeginRequest(at, psselect.LatencyBound(c, options[c.Index].View, r))
	if kind.route.Affinity {
		v.RecentObjects.Add(object)
	}
	p.send(e, now)
}

func (p *replay) send(e *sentRequest, now time.Duration) {
	server := e.server
	e.hit = p.touch(server, e.object)
	slots := p.free[server]
	first := 0
	for i, f := range slots {
		if f < slots[first] {
			first = i
		}
	}
	run := p.load.run
	if p.load.objects > 0 && !e.hit {
		run *= 3
	}
	if p.load.slowFactor > 0 && server == p.load.slowServer && now >= p.load.slowFrom {
		run = time.Duration(p.load.slowFactor * float64(run))
	}
	run = time.Duration((1 + p.load.runSpread*(2*p.random.Float64()-1)) * float64(run))
	slots[first] = p.endOfRun(server, max(now, slots[first]), run)
	if p.load.spells > 0 && p.machines[server].factor(now) > 1 {
		p.sentWhileSlow++
	}
	p.inFlight[server]++
	p.perServer[server]++
	latency := slots[first] - e.firstAttempt
	if p.load.domain(e.vm) != p.load.domain(server) {
		latency += p.load.roundTrip
		p.otherDomain++
	}
	if latency <= e.kind.route.TargetLatency {
		e.kind.count(e.kind.inTarget, e.firstAttempt)
	}
	p.latencies = append(p.latencies, latency)
	p.sentAt = append(p.sentAt, now)
	e.end = slots[first]
	heap.Push(&p.running, e)
}

// detectableWait is the shortest prior wait by which retries are recognized.
const detectableWait = 300 * time.Millisecond

// priorWait returns the prior wait of a caller as far as it is detectable.
func priorWait(waited time.Duration) time.Duration {
	if waited < detectableWait {
		return 0
	}
	return waited
}

// touch makes an object the most recently used one in a server's cache, and reports whether it was cached.
func (p *replay) touch(server int, object uint64) bool {
	list := p.cached[server]
	i := slices.Index(list, object)
	if i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	list = append(list, object)
	if len(list) > p.load.cacheSize {
		list = list[1:]
	}
	p.cached[server] = list
	return i >= 0
}

func (p *replay) late() int {
	n := 0
	for _, d := range p.latencies {
		if d > target {
			n++
		}
	}
	return n
}

// TestRequestsWithoutObjectsUseAllServers guards against an uneven distribution of requests that have no
// objects. No server has an advantage for any of them. The load is 60% of the capacity of twelve servers.
func TestRequestsWithoutObjectsUseAllServers(t *testing.T) {
	l := load{vms: 9, servers: 12, slots: 3, perSecond: 216, span: 10 * time.Second, run: 100 * time.Millisecond}
	p := replayLoad(l, false, 1)
	qt.Check(t, p.rejected, qt.Equals, 0)
	qt.Check(t, p.late() <= len(p.latencies)/50, qt.IsTrue, qt.Commentf("%d of %d responses are late", p.late(), len(p.latencies)))
	for i, n := range p.perServer {
		qt.Check(t, n > len(p.latencies)/24 && n < len(p.latencies)/8, qt.IsTrue, qt.Commentf("server %d got %d of %d requests", i, n, len(p.latencies)))
	}
}

// lateSince counts the requests that were sent from a time on and took longer than a multiple of the target.
func (p *replay) lateSince(from time.Duration, targets float64) int {
	n := 0
	for i, d := range p.latencies {
		if p.sentAt[i] >= from && float64(d) > targets*float64(target) {
			n++
		}
	}
	return n
}

// TestSlowServerIsAvoidedSoon guards against a slow server that still gets too many requests. It replays
// lookups on sixteen servers, of which one becomes eight times slower. The 99th percentile must stay
// within twice that of the same load without the slow server, so at most one in a hundred requests may
// take longer.
func TestSlowServerIsAvoidedSoon(t *testing.T) {
	l := load{
		vms: 9, servers: 16, slots: 4, perSecond: 330, span: 12 * time.Second, run: 60 * time.Millisecond,
		objects: 120, cacheSize: 24, slowFrom: 6 * time.Second,
	}
	sent, normal, slow := 0, 0, 0
	for seed := range uint64(5) {
		l.slowFactor = 0
		p := replayLoad(l, true, seed)
		normal += p.lateSince(l.slowFrom, 1)
		for _, at := range p.sentAt {
			if at >= l.slowFrom {
				sent++
			}
		}
		l.slowFactor = 8
		slow += replayLoad(l, true, seed).lateSince(l.slowFrom, 2)
	}
	qt.Check(t, normal <= sent/100, qt.IsTrue, qt.Commentf("without a slow server: %d of %d late", normal, sent))
	t.Logf("late without a slow server %d, with one %d of %d", normal, slow, sent)
	qt.Check(t, slow <= sent/100, qt.IsTrue, qt.Commentf("with a slow server: %d of %d late", slow, sent))
}

// TestLargeResponsesStayInFailureDomain guards against downloads that cross failure domains needlessly.
// The round trip to other failure domains takes most of the target, and the servers of each failure
// domain can cache all objects. Downloads must stay in their failure domain while it has capacity, and
// leave it when its callers send more than its servers can run.
func TestLargeResponsesStayInFailureDomain(t *testing.T) {
	l := load{
		vms: 6, servers: 6, slots: 3, perSecond: 60, span: 20 * time.Second, run: 90 * time.Millisecond, objects: 24, cacheSize: 24,
		domains: 3, roundTrip: 150 * time.Millisecond, kind: psconfig.Download, responseBytes: 90 << 10,
	}
	p := replayLoad(l, true, 1)
	qt.Check(t, p.rejected, qt.Equals, 0)
	qt.Check(t, p.otherDomain <= len(p.latencies)/50, qt.IsTrue, qt.Commentf("%d of %d left their failure domain", p.otherDomain, len(p.latencies)))

	l.firstDomainOnly, l.perSecond, l.roundTrip, l.responseBytes = true, 100, 40*time.Millisecond, 30<<10
	p = replayLoad(l, true, 1)
	qt.Check(t, p.otherDomain > len(p.latencies)/5, qt.IsTrue, qt.Commentf("%d of %d left their failure domain", p.otherDomain, len(p.latencies)))
	qt.Check(t, p.rejected <= len(p.latencies)/50, qt.IsTrue, qt.Commentf("%d of %d were rejected", p.rejected, len(p.latencies)))
	qt.Check(t, p.late() <= len(p.latencies)/10, qt.IsTrue, qt.Commentf("%d of %d responses are late", p.late(), len(p.latencies)))
}
