package psplace_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/request/psadmit"
	"persimmonstep/internal/request/psplace"
)

// load is a replayed load: callers ask for objects of a service whose servers hold a number
// of objects each and run a request three times as long without it.
type load struct {
	servers, slots, holds, objects int
	perSecond                      float64
	span                           time.Duration
}

const (
	heldRun    = 72 * time.Millisecond
	missingRun = 240 * time.Millisecond
	target     = 200 * time.Millisecond
	deadline   = 1200 * time.Millisecond
	replayVMs  = 9
)

// end is a request that leaves a server.
type end struct {
	at     time.Duration
	server int
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(v any)        { *e = append(*e, v.(end)) }
func (e *ends) Pop() any {
	old := *e
	v := old[len(old)-1]
	*e = old[:len(old)-1]
	return v
}

// worker is a replayed server: slots that are free at times, and the objects it holds.
type worker struct {
	free  []time.Duration
	held  []uint64
	holds int
}

func (w *worker) run(object uint64, now time.Duration) (finish time.Duration, held bool) {
	slot := 0
	for i, f := range w.free {
		if f < w.free[slot] {
			slot = i
		}
	}
	begin := max(now, w.free[slot])
	held = w.touch(object)
	took := missingRun
	if held {
		took = heldRun
	}
	w.free[slot] = begin + took
	return w.free[slot], held
}

// touch makes the object the latest that is held.
func (w *worker) touch(object uint64) bool {
	found := false
	for i, o := range w.held {
		if o == object {
			w.held = append(w.held[:i], w.held[i+1:]...)
			found = true
			break
		}
	}
	w.held = append(w.held, object)
	if len(w.held) > w.holds {
		w.held = w.held[1:]
	}
	return found
}

// result counts what became of a load's requests after its first part.
type result struct {
	asked, inTarget, late, rejected int
}

func (r result) credit() float64 {
	return (float64(r.inTarget) + 0.2*float64(r.late)) / float64(r.asked)
}

// policy chooses a server and says whether the request is sent.
type policy func(vm int, object uint64, inFlight []int, now time.Duration) (server int, sent bool)

// replay plays a load. note is told how each request ended.
func replay(l load, seed uint64, choose policy, note func(vm, server int, object uint64, held bool, now time.Duration)) result {
	random := rand.New(rand.NewPCG(seed, seed))
	workers := make([]*worker, l.servers)
	for i := range workers {
		workers[i] = &worker{free: make([]time.Duration, l.slots), holds: l.holds}
	}
	inFlight := make([]int, l.servers)
	var running ends
	var r result
	for now := time.Duration(0); now < l.span; now += time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second)) {
		for len(running) > 0 && running[0].at <= now {
			inFlight[heap.Pop(&running).(end).server]--
		}
		vm, object := random.IntN(replayVMs), uint64(random.IntN(l.objects))*0x9e3779b97f4a7c15
		s, sent := choose(vm, object, inFlight, now)
		took := deadline
		if sent {
			finish, held := workers[s].run(object, now)
			took = finish - now
			inFlight[s]++
			heap.Push(&running, end{finish, s})
			note(vm, s, object, held, now)
		}
		if now < l.span/3 {
			continue
		}
		r.count(sent, took)
	}
	return r
}

func (r *result) count(sent bool, took time.Duration) {
	r.asked++
	switch {
	case !sent:
		r.rejected++
	case took <= target:
		r.inTarget++
	case took <= deadline:
		r.late++
	}
}

// steering is the policy of the product, over the servers as each VM sees them.
type steering struct {
	begun   time.Time
	servers [][]*psserver.Server
}

func newSteering(l load) *steering {
	s := &steering{begun: time.Unix(0, 0)}
	for range replayVMs {
		list := make([]*psserver.Server, l.servers)
		for i := range list {
			list[i] = psserver.New(psserver.Entry{ID: fmt.Sprint("server-", i), Slots: l.slots}, "", s.begun)
		}
		s.servers = append(s.servers, list)
	}
	return s
}

func (s *steering) choose(vm int, object uint64, inFlight []int, now time.Duration) (int, bool) {
	list := make([]psplace.Candidate, len(inFlight))
	for i, v := range s.servers[vm] {
		view := v.View(s.begun.Add(now))
		list[i] = psplace.Candidate{
			Load: float64(inFlight[i]), Slots: view.Entry.Slots, Slowness: 1, Sent: v.RecentObjects.Contains(object),
			HomeRecall: view.HomeHitRate, AwayRecall: view.AwayHitRate, Keeps: view.Retention, Score: psplace.Score(object, view.Entry.ID),
		}
	}
	c := psplace.Choose(list, psplace.Request{Object: object, WarmRun: heldRun, ColdRun: missingRun, MeanRun: heldRun, Target: target})
	verdict := psadmit.Decide(psadmit.Request{Expected: c.Finish(), Wait: c.Wait, Target: target, Left: deadline, Priority: 2, Surplus: c.Surplus})
	if _, sent := verdict.(psadmit.Admitted); !sent {
		return 0, false
	}
	s.servers[vm][c.Index].RecentObjects.Add(object)
	return c.Index, true
}

func (s *steering) note(vm, server int, object uint64, held bool, now time.Duration) {
	v := s.servers[vm][server]
	best := true
	for i := range s.servers[vm] {
		best = best && psplace.Score(object, s.servers[vm][i].Entry().ID) <= psplace.Score(object, v.Entry().ID)
	}
	v.RecordCacheResult(best, held, s.begun.Add(now))
}

func random(seed uint64) policy {
	r := rand.New(rand.NewPCG(seed, 1))
	return func(_ int, _ uint64, inFlight []int, _ time.Duration) (int, bool) { return r.IntN(len(inFlight)), true }
}

// TestAPeakFitsWhereObjectsAreHeld replays a peak of 500 requests a second on 80 slots. Without
// regard to objects they need 120 slots, on servers that hold them 36.
func TestAPeakFitsWhereObjectsAreHeld(t *testing.T) {
	l := load{servers: 16, slots: 5, holds: 74, objects: 285, perSecond: 500, span: 30 * time.Second}
	for seed := range uint64(3) {
		s := newSteering(l)
		own := replay(l, seed, s.choose, s.note)
		spread := replay(l, seed, random(seed), func(int, int, uint64, bool, time.Duration) {})
		t.Logf("seed %d: credit %.3f, random choice %.3f", seed, own.credit(), spread.credit())
		// The users' target for a day's worth.
		qt.Check(t, own.credit() >= 0.66, qt.IsTrue, qt.Commentf("credit %.3f", own.credit()))
		qt.Check(t, own.credit() > spread.credit(), qt.IsTrue)
	}
}

// TestTooManyObjectsForTheirServers replays a workspace that may run on two servers only,
// which together hold about half of its objects, at twice what they run without objects.
// Serving late what has been admitted must not make everything late.
func TestTooManyObjectsForTheirServers(t *testing.T) {
	l := load{servers: 2, slots: 5, holds: 74, objects: 285, perSecond: 80, span: 40 * time.Second}
	for seed := range uint64(3) {
		s := newSteering(l)
		own := replay(l, seed, s.choose, s.note)
		all := replay(l, seed, random(seed), func(int, int, uint64, bool, time.Duration) {})
		t.Logf("seed %d: in target %d, late %d, rejected %d of %d; random choice in target %d",
			seed, own.inTarget, own.late, own.rejected, own.asked, all.inTarget)
		// The servers hold half of the objects; half of those requests must be in time.
		qt.Check(t, own.inTarget >= own.asked/4, qt.IsTrue, qt.Commentf("%d of %d", own.inTarget, own.asked))
	}
}

func TestABusyServerIsLeftOnlyForAWarmOne(t *testing.T) {
	r := psplace.Request{WarmRun: heldRun, ColdRun: missingRun, MeanRun: heldRun, Target: target}
	first := psplace.Candidate{Load: 6, Slots: 5, Slowness: 1, Sent: true, HomeRecall: 0.93, AwayRecall: 0.93, Keeps: 1, Score: 2}
	second := psplace.Candidate{Load: 0, Slots: 5, Slowness: 1, HomeRecall: 0.93, AwayRecall: 0.93, Keeps: 1, Score: 1}
	qt.Assert(t, psplace.Choose([]psplace.Candidate{first, second}, r).Index, qt.Equals, 0)
	second.Sent = true
	first.Load = 14
	qt.Assert(t, psplace.Choose([]psplace.Candidate{first, second}, r).Index, qt.Equals, 1)
}

// TestAServerThatJoinsGetsItsObjects checks that an object goes to its new first server though
// an earlier one holds it.
func TestAServerThatJoinsGetsItsObjects(t *testing.T) {
	r := psplace.Request{WarmRun: heldRun, ColdRun: missingRun, MeanRun: heldRun, Target: target}
	old := psplace.Candidate{Slots: 5, Slowness: 1, Sent: true, HomeRecall: 0.93, AwayRecall: 0.93, Keeps: 1, Score: 1}
	joined := psplace.Candidate{Slots: 5, Slowness: 1, HomeRecall: 0.93, AwayRecall: 0.93, Keeps: 1, Score: 2}
	qt.Assert(t, psplace.Choose([]psplace.Candidate{old, joined}, r).Index, qt.Equals, 1)
}

func TestFailingAndSilentServersAreAvoided(t *testing.T) {
	r := psplace.Request{WarmRun: heldRun, ColdRun: missingRun, MeanRun: heldRun, Target: target}
	good := psplace.Candidate{Slots: 5, Slowness: 1, HomeRecall: 0.93, AwayRecall: 0.93, Keeps: 1, Score: 1}
	for name, change := range map[string]func(*psplace.Candidate){
		"failing": func(c *psplace.Candidate) { c.Failures = 0.5 },
		"silent":  func(c *psplace.Candidate) { c.Silent = time.Second },
		"slow":    func(c *psplace.Candidate) { c.Slowness = 12 },
	} {
		t.Run(name, func(t *testing.T) {
			bad := good
			bad.Score, bad.Sent = 2, true
			change(&bad)
			qt.Assert(t, psplace.Choose([]psplace.Candidate{bad, good}, r).Index, qt.Equals, 1)
		})
	}
}

func TestNearServersComeFirst(t *testing.T) {
	qt.Assert(t, psplace.Near(1, true) > psplace.Near(1<<63, false), qt.IsTrue)
	qt.Assert(t, psplace.Near(8, true) > psplace.Near(4, true), qt.IsTrue)
}
