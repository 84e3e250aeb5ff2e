package psselect_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/request/psadmit"
	"persimmonstep/internal/request/psestimate"
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
	// slow is the position of a server that becomes slower, by slowBy from slowFrom on.
	slow     int
	slowBy   float64
	slowFrom time.Duration
}

const (
	target   = 200 * time.Millisecond
	deadline = 2 * time.Second
)

// exchange is a request at a server.
type exchange struct {
	end        time.Duration
	sent       time.Duration
	vm, server int
	usual      time.Duration
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
	at      []int
	// tookOf are the latencies of requests that were sent, rejected counts the others.
	tookOf   []time.Duration
	perHost  []int
	rejected int
}

func play(l load, affinity bool, seed uint64) *replayed {
	p := &replayed{
		load: l, begun: time.Unix(0, 0), at: make([]int, l.servers), perHost: make([]int, l.servers),
		route: &psconfig.Route{Name: "orders", TargetLatency: target, Timeout: deadline, Affinity: affinity, MaxAttempts: 1},
	}
	for range l.vms {
		list := make([]*psserver.Server, l.servers)
		for i := range list {
			list[i] = psserver.New(psserver.Entry{ID: fmt.Sprint("server-", i), Slots: l.slots}, "", p.begun)
		}
		p.views = append(p.views, list)
	}
	for range l.servers {
		p.free = append(p.free, make([]time.Duration, l.slots))
	}
	random := rand.New(rand.NewPCG(seed, seed))
	n := 0
	for now := time.Duration(0); now < l.span; now += time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second)) {
		p.finish(now)
		n++
		p.ask(random.IntN(l.vms), fmt.Sprint("id-", seed, "-", n), random.Float64(), now)
	}
	return p
}

// finish lets requests end until a time.
func (p *replayed) finish(now time.Duration) {
	for len(p.running) > 0 && p.running[0].end <= now {
		e := heap.Pop(&p.running).(*exchange)
		v, at := p.views[e.vm][e.server], p.begun.Add(e.end)
		p.at[e.server]--
		v.Ended()
		v.Answered(at)
		v.Reported(min(p.at[e.server], p.load.slots), max(0, p.at[e.server]-p.load.slots), at)
		v.Judge(float64(e.end-e.sent)/float64(e.usual), false, at)
	}
}

// ask lets a VM decide about a request.
func (p *replayed) ask(vm int, id string, spread float64, now time.Duration) {
	at := p.begun.Add(now)
	object := psselect.ObjectOf(p.route, "", id)
	options := make([]psselect.Option, p.load.servers)
	for i, v := range p.views[vm] {
		options[i] = psselect.Option{View: v.View(at), Sent: v.Objects.Has(object)}
	}
	r := psselect.Request{
		Route: p.route, Object: object, ArrivedAt: at, MeanRun: p.load.run, Left: deadline, Spread: spread,
		Runs: psestimate.Runs{Held: p.load.run, Missing: 3 * p.load.run},
	}
	c := psselect.Choose(options, r)
	if _, rejected := psselect.Admit(c, r).(psadmit.Rejected); rejected {
		p.rejected++
		return
	}
	v := p.views[vm][c.Index]
	v.Sent(at)
	if p.route.Affinity {
		v.Objects.Note(object)
	}
	p.send(vm, c.Index, c.Usual, now)
}

func (p *replayed) send(vm, server int, usual, now time.Duration) {
	slots := p.free[server]
	first := 0
	for i, f := range slots {
		if f < slots[first] {
			first = i
		}
	}
	run := p.load.run
	if p.load.slowBy > 0 && server == p.load.slow && now >= p.load.slowFrom {
		run = time.Duration(p.load.slowBy * float64(run))
	}
	slots[first] = max(now, slots[first]) + run
	p.at[server]++
	p.perHost[server]++
	p.tookOf = append(p.tookOf, slots[first]-now)
	heap.Push(&p.running, &exchange{end: slots[first], sent: now, vm: vm, server: server, usual: usual})
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
