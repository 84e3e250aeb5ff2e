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
	"persimmonstep/internal/request/psadmit"
	"persimmonstep/internal/request/psestimate"
	"persimmonstep/internal/request/psoutlier"
	"persimmonstep/internal/request/psplace"
	"persimmonstep/internal/request/psselect"
	"persimmonstep/internal/version/psconfig"
)

// load is a replayed load: callers ask several VMs, each of which sees servers by its own
// requests and the load that answers tell.
type load struct {
	vms, servers, slots int
	perSecond           float64
	span                time.Duration
	run                 time.Duration
	// objects are asked for alike, and a server holds a number of them. Runs on others take
	// three times as long. Without objects, all runs are alike.
	objects, holds int
	// slow is the position of a server that becomes slower, by slowBy from slowFrom on.
	slow     int
	slowBy   float64
	slowFrom time.Duration
	// domains are the failure domains that VMs and servers are spread over in turn, travel the
	// time there and back between them, and answer the size of an answer in bytes.
	domains int
	kind    psconfig.Kind
	travel  time.Duration
	answer  int
	// crowded sends all callers to the VMs of the first failure domain.
	crowded bool
	// bursts multiply the load one after the other.
	bursts []burst
	// returns lets rejected callers come back once, when they are told to.
	returns bool
	// queue is the number of requests that wait at a server; it sheds what exceeds it. 0 is no bound.
	queue int
	// spread is the part by which run times differ, both ways.
	spread float64
}

// burst multiplies the load from a time on.
type burst struct {
	from   time.Duration
	factor float64
}

// rate returns the requests a second at a time.
func (l load) rate(now time.Duration) float64 {
	v := l.perSecond
	for _, b := range l.bursts {
		if now >= b.from {
			v = b.factor * l.perSecond
		}
	}
	return v
}

// place is the failure domain of the VM or server with a number.
func (l load) place(i int) string { return fmt.Sprint("domain-", i%max(1, l.domains)) }

const (
	// reportInterval is the time between two reports of a VM.
	reportInterval = 250 * time.Millisecond
	target         = 200 * time.Millisecond
	deadline       = 2 * time.Second
)

// exchange is a request at a server.
type exchange struct {
	end        time.Duration
	sent       time.Duration
	vm, server int
	choice     psplace.Choice
	object     uint64
	held       bool
	since      time.Duration
	exchange   *psserver.Exchange
}

type exchanges []*exchange

func (e exchanges) Len() int           { return len(e) }
func (e exchanges) Less(i, j int) bool { return e[i].end < e[j].end }
func (e exchanges) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *exchanges) Push(x any)        { *e = append(*e, x.(*exchange)) }
func (e *exchanges) Pop() any {
	old := *e
	v := old[len(old)-1]
	*e = old[:len(old)-1]
	return v
}

// replayed is a load while it is played.
type replayed struct {
	load    load
	route   *psconfig.Route
	begun   time.Time
	views   [][]*psserver.Server
	running exchanges
	free    [][]time.Duration
	held    [][]uint64
	at      []int
	// tookOf are the latencies of requests that were sent, rejected counts the others.
	tookOf   []time.Duration
	sentAt   []time.Duration
	perHost  []int
	rejected int
	// away counts the requests that ran in another failure domain than that of their VM.
	away int
	// asked, shed, returned and refused count requests; the last two are those that came back, and
	// those of them that were rejected again.
	asked, shed, returned, refused int
	back                           comebacks
	// toldAt is when the VMs told each other last.
	toldAt time.Duration
	random *rand.Rand
}

// comeback is a caller that was rejected and comes back.
type comeback struct {
	at, since time.Duration
	vm        int
	key, id   string
}

type comebacks []comeback

func (b comebacks) Len() int           { return len(b) }
func (b comebacks) Less(i, j int) bool { return b[i].at < b[j].at }
func (b comebacks) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }
func (b *comebacks) Push(x any)        { *b = append(*b, x.(comeback)) }
func (b *comebacks) Pop() any {
	old := *b
	v := old[len(old)-1]
	*b = old[:len(old)-1]
	return v
}

func play(l load, affinity bool, seed uint64) *replayed {
	p := &replayed{
		load: l, begun: time.Unix(0, 0), at: make([]int, l.servers), perHost: make([]int, l.servers),
		route: &psconfig.Route{Name: "orders", Kind: l.kind, TargetLatency: target, Timeout: deadline, Affinity: affinity, MaxAttempts: 1},
	}
	for range l.vms {
		list := make([]*psserver.Server, l.servers)
		for i := range list {
			list[i] = psserver.New(psserver.Entry{ID: fmt.Sprint("server-", i), Slots: l.slots, FailureDomain: l.place(i)}, l.place(i), p.begun)
		}
		p.views = append(p.views, list)
	}
	p.held = make([][]uint64, l.servers)
	for range l.servers {
		p.free = append(p.free, make([]time.Duration, l.slots))
	}
	random := rand.New(rand.NewPCG(seed, seed))
	p.random = rand.New(rand.NewPCG(seed, seed+1))
	n := 0
	for now := time.Duration(0); now < l.span; now += time.Duration(random.ExpFloat64() / l.rate(now) * float64(time.Second)) {
		for len(p.back) > 0 && p.back[0].at <= now {
			v := heap.Pop(&p.back).(comeback)
			p.finish(v.at)
			p.returned++
			p.ask(v.vm, v.key, v.id, p.random.Float64(), v.at, v.since)
		}
		p.finish(now)
		p.tell(now)
		n++
		p.asked++
		key := fmt.Sprint(random.IntN(max(1, l.objects)))
		vm := random.IntN(l.vms)
		if l.crowded {
			vm -= vm % l.domains
		}
		p.ask(vm, key, fmt.Sprint("id-", seed, "-", n), random.Float64(), now, now)
	}
	return p
}

// finish lets requests end until a time.
func (p *replayed) finish(now time.Duration) {
	for len(p.running) > 0 && p.running[0].end <= now {
		e := heap.Pop(&p.running).(*exchange)
		v, at := p.views[e.vm][e.server], p.begun.Add(e.end)
		p.at[e.server]--
		v.EndRequest(e.exchange)
		v.RecordAnswer(at)
		v.RecordLoad(min(p.at[e.server], p.load.slots), max(0, p.at[e.server]-p.load.slots), at)
		v.RecordLatency(e.exchange, p.load.run, at)
		v.RecordOutcome(float64(e.end-e.sent)/float64(e.choice.Usual), false, at)
		if e.choice.Warm {
			v.RecordCacheResult(e.choice.Rank == 0, e.held, at)
		}
	}
}

// tell lets the VMs tell each other of slow servers, at the interval of their reports.
func (p *replayed) tell(now time.Duration) {
	if now < p.toldAt+reportInterval {
		return
	}
	p.toldAt = now
	at := p.begun.Add(now)
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

// ask lets a VM decide about a request. Its caller waits since a time.
func (p *replayed) ask(vm int, key, id string, spread float64, now, since time.Duration) {
	at := p.begun.Add(now)
	object := psselect.ObjectOf(p.route, key, id)
	options := make([]psselect.Option, p.load.servers)
	for i, v := range p.views[vm] {
		options[i] = psselect.Option{View: v.View(at), Sent: v.RecentObjects.Contains(object)}
		if p.load.place(i) != p.load.place(vm) {
			options[i].Travel = p.load.travel
		}
	}
	r := psselect.Request{
		Route: p.route, Object: object, ArrivedAt: at, MeanRun: p.load.run, Left: deadline - (now - since), Before: known(now - since), Apart: apart, Spread: spread,
		Runs: psestimate.Runs{Held: p.load.run, Missing: 3 * p.load.run}, Bytes: p.load.answer,
		From: psselect.Place{FailureDomain: p.load.place(vm), Region: p.load.place(vm)},
	}
	c := psselect.Choose(options, r)
	if v, rejected := psselect.Admit(c, r).(psadmit.Rejected); rejected {
		p.rejected++
		if now > since {
			p.refused++
		} else if p.load.returns {
			heap.Push(&p.back, comeback{now + v.After, since, vm, key, id + "-again"})
		}
		return
	}
	v := p.views[vm][c.Index]
	if p.load.queue > 0 && p.at[c.Index] >= p.load.slots+p.load.queue {
		p.shed++
		v.RecordLoad(p.load.slots, p.load.queue, at)
		v.RecordOutcome(0, true, at)
		return
	}
	e := &exchange{sent: now, since: since, vm: vm, server: c.Index, choice: c, object: object}
	e.exchange = v.BeginRequest(at, psselect.Explained(c, options[c.Index].View, r))
	if p.route.Affinity {
		v.RecentObjects.Add(object)
	}
	p.send(e, now)
}

func (p *replayed) send(e *exchange, now time.Duration) {
	server := e.server
	e.held = p.touch(server, e.object)
	slots := p.free[server]
	first := 0
	for i, f := range slots {
		if f < slots[first] {
			first = i
		}
	}
	run := p.load.run
	if p.load.objects > 0 && !e.held {
		run *= 3
	}
	if p.load.slowBy > 0 && server == p.load.slow && now >= p.load.slowFrom {
		run = time.Duration(p.load.slowBy * float64(run))
	}
	run = time.Duration((1 + p.load.spread*(2*p.random.Float64()-1)) * float64(run))
	slots[first] = max(now, slots[first]) + run
	p.at[server]++
	p.perHost[server]++
	took := slots[first] - e.since
	if p.load.place(e.vm) != p.load.place(server) {
		took += p.load.travel
		p.away++
	}
	p.tookOf = append(p.tookOf, took)
	p.sentAt = append(p.sentAt, now)
	e.end = slots[first]
	heap.Push(&p.running, e)
}

// apart is the time from which on callers that come back are known as such.
const apart = 300 * time.Millisecond

// known returns how long a caller is known to have waited.
func known(waited time.Duration) time.Duration {
	if waited < apart {
		return 0
	}
	return waited
}

// touch makes an object the latest that a server holds, and reports whether it was held.
func (p *replayed) touch(server int, object uint64) bool {
	list := p.held[server]
	i := slices.Index(list, object)
	if i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	list = append(list, object)
	if len(list) > p.load.holds {
		list = list[1:]
	}
	p.held[server] = list
	return i >= 0
}

func (p *replayed) late() int {
	n := 0
	for _, d := range p.tookOf {
		if d > target {
			n++
		}
	}
	return n
}

// TestRequestsWithoutObjectsUseAllServers replays 60% of the load that twelve servers bear on a
// route whose requests have no objects. No server is better for any of them.
func TestRequestsWithoutObjectsUseAllServers(t *testing.T) {
	l := load{vms: 9, servers: 12, slots: 3, perSecond: 216, span: 10 * time.Second, run: 100 * time.Millisecond}
	p := play(l, false, 1)
	qt.Check(t, p.rejected, qt.Equals, 0)
	qt.Check(t, p.late() <= len(p.tookOf)/50, qt.IsTrue, qt.Commentf("%d of %d are late", p.late(), len(p.tookOf)))
	for i, n := range p.perHost {
		qt.Check(t, n > len(p.tookOf)/24 && n < len(p.tookOf)/8, qt.IsTrue, qt.Commentf("server %d runs %d of %d", i, n, len(p.tookOf)))
	}
}

// lateSince counts requests that were sent after a time and answered after a multiple of the target.
func (p *replayed) lateSince(from time.Duration, targets float64) int {
	n := 0
	for i, d := range p.tookOf {
		if p.sentAt[i] >= from && float64(d) > targets*float64(target) {
			n++
		}
	}
	return n
}

// TestASlowServerIsLeftSoon replays lookups on sixteen servers, of which one turns eight times
// slower. The 99th percentile is to stay within twice that of the same load without it, so at
// most one in a hundred requests may take longer.
func TestASlowServerIsLeftSoon(t *testing.T) {
	l := load{vms: 9, servers: 16, slots: 4, perSecond: 330, span: 12 * time.Second, run: 60 * time.Millisecond, objects: 120, holds: 24, slowFrom: 6 * time.Second}
	sent, calm, slow := 0, 0, 0
	for seed := range uint64(5) {
		l.slowBy = 0
		p := play(l, true, seed)
		calm += p.lateSince(l.slowFrom, 1)
		for _, at := range p.sentAt {
			if at >= l.slowFrom {
				sent++
			}
		}
		l.slowBy = 8
		slow += play(l, true, seed).lateSince(l.slowFrom, 2)
	}
	qt.Check(t, calm <= sent/100, qt.IsTrue, qt.Commentf("calm: %d of %d", calm, sent))
	t.Logf("calm %d, slow %d of %d", calm, slow, sent)
	qt.Check(t, slow <= sent/100, qt.IsTrue, qt.Commentf("slow: %d of %d", slow, sent))
}

// TestLargeAnswersStayNear replays downloads where the way to other failure domains takes most of
// the target, and the servers of each one hold all objects. They are to stay near while there is room,
// and to leave when callers of one failure domain ask for more than its servers give.
func TestLargeAnswersStayNear(t *testing.T) {
	l := load{
		vms: 6, servers: 6, slots: 3, perSecond: 60, span: 20 * time.Second, run: 90 * time.Millisecond, objects: 24, holds: 24,
		domains: 3, travel: 150 * time.Millisecond, kind: psconfig.Download, answer: 90 << 10,
	}
	p := play(l, true, 1)
	qt.Check(t, p.rejected, qt.Equals, 0)
	qt.Check(t, p.away <= len(p.tookOf)/50, qt.IsTrue, qt.Commentf("%d of %d left their failure domain", p.away, len(p.tookOf)))

	l.crowded, l.perSecond, l.travel, l.answer = true, 100, 40*time.Millisecond, 30<<10
	p = play(l, true, 1)
	qt.Check(t, p.away > len(p.tookOf)/5, qt.IsTrue, qt.Commentf("%d of %d left their failure domain", p.away, len(p.tookOf)))
	qt.Check(t, p.rejected <= len(p.tookOf)/50, qt.IsTrue, qt.Commentf("%d of %d were rejected", p.rejected, len(p.tookOf)))
	qt.Check(t, p.late() <= len(p.tookOf)/10, qt.IsTrue, qt.Commentf("%d of %d are late", p.late(), len(p.tookOf)))
}
