package psplacement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/request/psadmission"
	"persimmonstep/internal/request/psplacement"
)

// load describes a replayed load: callers request objects of a service. Its servers cache a number of
// objects each, and a request takes about three times as long if its object isn't cached.
type load struct {
	servers, slots, cacheSize, objects int
	perSecond                          float64
	span                               time.Duration
}

const (
	cachedRun   = 72 * time.Millisecond
	uncachedRun = 240 * time.Millisecond
	target      = 200 * time.Millisecond
	deadline    = 1200 * time.Millisecond
	replayVMs   = 9
)

// completion is the end of a request at a server.
type completion struct {
	at     time.Duration
	server int
}

type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at < c[j].at }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(v any)        { *c = append(*c, v.(completion)) }
func (c *completions) Pop() any {
	old := *c
	v := old[len(old)-1]
	*c = old[:len(old)-1]
	return v
}

// replayServer is a replayed server: the times at which its slots are free, and the objects that it caches.
type replayServer struct {
	free      []time.Duration
	cached    []uint64
	cacheSize int
}

func (s *replayServer) run(object uint64, now time.Duration) (finish time.Duration, hit bool) {
	slot := 0
	for i, f := range s.free {
		if f < s.free[slot] {
			slot = i
		}
	}
	start := max(now, s.free[slot])
	hit = s.touch(object)
	took := uncachedRun
	if hit {
		took = cachedRun
	}
	s.free[slot] = start + took
	return s.free[slot], hit
}

// touch makes the object the most recently used one in the cache, and reports whether it was cached.
func (s *replayServer) touch(object uint64) bool {
	hit := false
	for i, o := range s.cached {
		if o == object {
			s.cached = append(s.cached[:i], s.cached[i+1:]...)
			hit = true
			break
		}
	}
	s.cached = append(s.cached, object)
	if len(s.cached) > s.cacheSize {
		s.cached = s.cached[1:]
	}
	return hit
}

// result counts the outcomes of a load's requests, without those of its first third.
type result struct {
	requests, inTarget, late, rejected int
}

// weightedGoodput returns the fraction of requests that are answered within the target. Late responses
// count for a fifth.
func (r result) weightedGoodput() float64 {
	return (float64(r.inTarget) + 0.2*float64(r.late)) / float64(r.requests)
}

// policy chooses a server for a request and decides whether the request is sent.
type policy func(vm int, object uint64, inFlight []int, now time.Duration) (server int, sent bool)

// replay runs a load under a policy. It calls observe for each request that is sent.
func replay(l load, seed uint64, choose policy, observe func(vm, server int, object uint64, hit bool, now time.Duration)) result {
	random := rand.New(rand.NewPCG(seed, seed))
	servers := make([]*replayServer, l.servers)
	for i := range servers {
		servers[i] = &replayServer{free: make([]time.Duration, l.slots), cacheSize: l.cacheSize}
	}
	inFlight := make([]int, l.servers)
	var running completions
	var r result
	for now := time.Duration(0); now < l.span; now += time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second)) {
		for len(running) > 0 && running[0].at <= now {
			inFlight[heap.Pop(&running).(completion).server]--
		}
		vm, object := random.IntN(replayVMs), uint64(random.IntN(l.objects))*0x9e3779b97f4a7c15
		s, sent := choose(vm, object, inFlight, now)
		took := deadline
		if sent {
			finish, hit := servers[s].run(object, now)
			took = finish - now
			inFlight[s]++
			heap.Push(&running, completion{finish, s})
			observe(vm, s, object, hit, now)
		}
		if now < l.span/3 {
			continue
		}
		r.count(sent, took)
	}
	return r
}

func (r *result) count(sent bool, took time.Duration) {
	r.requests++
	switch {
	case !sent:
		r.rejected++
	case took <= target:
		r.inTarget++
	case took <= deadline:
		r.late++
	}
}

// steeringPolicy is the policy that is tested. It keeps each VM's own view of the servers.
type steeringPolicy struct {
	start   time.Time
	servers [][]*psserver.Server
}

func newSteeringPolicy(l load) *steeringPolicy {
	s := &steeringPolicy{start: time.Unix(0, 0)}
	for range replayVMs {
		list := make([]*psserver.Server, l.servers)
		for i := range list {
			list[i] = psserver.New(psserver.Entry{ID: fmt.Sprint("server-", i), Slots: l.slots}, "", s.start)
		}
		s.servers = append(s.servers, list)
	}
	return s
}

func (s *steeringPolicy) choose(vm int, object uint64, inFlight []int, now time.Duration) (int, bool) {
	list := make([]psplacement.Candidate, len(inFlight))
	for i, v := range s.servers[vm] {
		view := v.View(s.start.Add(now))
		list[i] = psplacement.Candidate{
			Load: float64(inFlight[i]), Slots: view.Entry.Slots, Slowness: 1, ObjectSent: v.RecentObjects.Contains(object),
			PrimaryHitRate: view.PrimaryHitRate, FallbackHitRate: view.FallbackHitRate, CacheableFraction: view.CacheableFraction,
			Score: psplacement.Score(object, view.Entry.ID),
		}
	}
	c := psplacement.Choose(list, psplacement.Request{
		Object: object, CachedRun: cachedRun, UncachedRun: uncachedRun, MeanRun: cachedRun, Target: target,
	})
	verdict := psadmission.Decide(psadmission.Request{
		Expected: c.ExpectedLatency(), Wait: c.Wait, Target: target, Remaining: deadline, Priority: 2, Surplus: c.Surplus,
	})
	if _, sent := verdict.(psadmission.Admitted); !sent {
		return 0, false
	}
	s.servers[vm][c.Index].RecentObjects.Add(object)
	return c.Index, true
}

func (s *steeringPolicy) observe(vm, server int, object uint64, hit bool, now time.Duration) {
	v := s.servers[vm][server]
	primary := true
	for i := range s.servers[vm] {
		primary = primary && psplacement.Score(object, s.servers[vm][i].Entry().ID) <= psplacement.Score(object, v.Entry().ID)
	}
	v.RecordCacheResult(primary, hit, s.start.Add(now))
}

func randomPolicy(seed uint64) policy {
	r := rand.New(rand.NewPCG(seed, 1))
	return func(_ int, _ uint64, inFlight []int, _ time.Duration) (int, bool) { return r.IntN(len(inFlight)), true }
}

// TestPeakLoadFitsWithCachedObjects guards against losing cache affinity at peak load. It replays 500
// requests a second on 80 slots. The requests need 120 slots if every object is missed, and 36 if every
// object is cached.
func TestPeakLoadFitsWithCachedObjects(t *testing.T) {
	l := load{servers: 16, slots: 5, cacheSize: 74, objects: 285, perSecond: 500, span: 30 * time.Second}
	for seed := range uint64(3) {
		s := newSteeringPolicy(l)
		steered := replay(l, seed, s.choose, s.observe)
		baseline := replay(l, seed, randomPolicy(seed), func(int, int, uint64, bool, time.Duration) {})
		t.Logf("seed %d: weighted goodput %.3f, random choice %.3f", seed, steered.weightedGoodput(), baseline.weightedGoodput())
		// 0.66 is the weighted goodput that users require over a day.
		qt.Check(t, steered.weightedGoodput() >= 0.66, qt.IsTrue, qt.Commentf("weighted goodput %.3f", steered.weightedGoodput()))
		qt.Check(t, steered.weightedGoodput() > baseline.weightedGoodput(), qt.IsTrue)
	}
}

// TestWorkingSetExceedsCaches guards against cache thrashing where all requests are admitted. It replays
// a workspace that is allowed on two servers only, which together cache about half of its objects, at
// twice the rate that they can run if every object is missed. Admitted requests that are served late
// must not make all others late.
func TestWorkingSetExceedsCaches(t *testing.T) {
	l := load{servers: 2, slots: 5, cacheSize: 74, objects: 285, perSecond: 80, span: 40 * time.Second}
	for seed := range uint64(3) {
		s := newSteeringPolicy(l)
		steered := replay(l, seed, s.choose, s.observe)
		baseline := replay(l, seed, randomPolicy(seed), func(int, int, uint64, bool, time.Duration) {})
		t.Logf("seed %d: in target %d, late %d, rejected %d of %d; random choice in target %d",
			seed, steered.inTarget, steered.late, steered.rejected, steered.requests, baseline.inTarget)
		// The servers cache half of the objects; half of the requests for these must be in target.
		qt.Check(t, steered.inTarget >= steered.requests/4, qt.IsTrue, qt.Commentf("%d of %d in target", steered.inTarget, steered.requests))
	}
}

func TestBusyServerIsLeftOnlyForOneWithTheObject(t *testing.T) {
	r := psplacement.Request{CachedRun: cachedRun, UncachedRun: uncachedRun, MeanRun: cachedRun, Target: target}
	first := psplacement.Candidate{
		Load: 6, Slots: 5, Slowness: 1, ObjectSent: true,
		PrimaryHitRate: 0.93, FallbackHitRate: 0.93, CacheableFraction: 1, Score: 2,
	}
	second := psplacement.Candidate{
		Load: 0, Slots: 5, Slowness: 1, PrimaryHitRate: 0.93, FallbackHitRate: 0.93, CacheableFraction: 1, Score: 1,
	}
	qt.Assert(t, psplacement.Choose([]psplacement.Candidate{first, second}, r).Index, qt.Equals, 0)
	second.ObjectSent = true
	first.Load = 14
	qt.Assert(t, psplacement.Choose([]psplacement.Candidate{first, second}, r).Index, qt.Equals, 1)
}

// TestJoiningServerGetsItsObjects checks that an object goes to its new primary server although its former
// primary server has it cached.
func TestJoiningServerGetsItsObjects(t *testing.T) {
	r := psplacement.Request{CachedRun: cachedRun, UncachedRun: uncachedRun, MeanRun: cachedRun, Target: target}
	old := psplacement.Candidate{
		Slots: 5, Slowness: 1, ObjectSent: true,
		PrimaryHitRate: 0.93, FallbackHitRate: 0.93, CacheableFraction: 1, Score: 1,
	}
	joined := psplacement.Candidate{Slots: 5, Slowness: 1, PrimaryHitRate: 0.93, FallbackHitRate: 0.93, CacheableFraction: 1, Score: 2}
	qt.Assert(t, psplacement.Choose([]psplacement.Candidate{old, joined}, r).Index, qt.Equals, 1)
}

func TestFailingAndSilentServersAreAvoided(t *testing.T) {
	r := psplacement.Request{CachedRun: cachedRun, UncachedRun: uncachedRun, MeanRun: cachedRun, Target: target}
	good := psplacement.Candidate{Slots: 5, Slowness: 1, PrimaryHitRate: 0.93, FallbackHitRate: 0.93, CacheableFraction: 1, Score: 1}
	for name, change := range map[string]func(*psplacement.Candidate){
		"failing": func(c *psplacement.Candidate) { c.FailureRate = 0.5 },
		"silent":  func(c *psplacement.Candidate) { c.SilentFor = time.Second },
		"slow":    func(c *psplacement.Candidate) { c.Slowness = 12 },
	} {
		t.Run(name, func(t *testing.T) {
			bad := good
			bad.Score, bad.ObjectSent = 2, true
			change(&bad)
			qt.Assert(t, psplacement.Choose([]psplacement.Candidate{bad, good}, r).Index, qt.Equals, 1)
		})
	}
}

func TestNearServersComeFirst(t *testing.T) {
	qt.Assert(t, psplacement.PreferNear(1, true) > psplacement.PreferNear(1<<63, false), qt.IsTrue)
	qt.Assert(t, psplacement.PreferNear(8, true) > psplacement.PreferNear(4, true), qt.IsTrue)
}

// TestLateRequestMovesToServerWithFreeCapacity guards against requests that wait in a long queue while other servers are idle,
// and against moves that cost more than they bring: to a server with a full cache, slots in use or a longer network path, or
// while most servers have queues.
func TestLateRequestMovesToServerWithFreeCapacity(t *testing.T) {
	r := psplacement.Request{CachedRun: cachedRun, UncachedRun: uncachedRun, MeanRun: cachedRun, Target: target}
	busy := psplacement.Candidate{Load: 20, Slots: 5, PrimaryHitRate: 0.93, FallbackHitRate: 0.93, CacheableFraction: 1, Score: 9}
	idle := psplacement.Candidate{Slots: 5, PrimaryHitRate: 0.93, FallbackHitRate: 0.93, CacheableFraction: 1, Score: 1}
	for name, v := range map[string]struct {
		change func(busy, other *psplacement.Candidate)
		moved  bool
	}{
		"free capacity": {func(_, _ *psplacement.Candidate) {}, true},
		"in target":     {func(busy, _ *psplacement.Candidate) { busy.Load = 7 }, false},
		"full cache":    {func(_, other *psplacement.Candidate) { other.CacheableFraction = 0.9 }, false},
		"slots in use":  {func(_, other *psplacement.Candidate) { other.Load = 4 }, false},
		"more distant":  {func(_, other *psplacement.Candidate) { other.RoundTrip = 24 * time.Millisecond }, false},
		"needs a token": {func(_, other *psplacement.Candidate) { other.TokenTime = time.Millisecond }, false},
	} {
		t.Run(name, func(t *testing.T) {
			first, other := busy, idle
			v.change(&first, &other)
			c := psplacement.Choose([]psplacement.Candidate{first, other, other, other, other, other, other, other}, r)
			qt.Assert(t, c.Index > 0, qt.Equals, v.moved, qt.Commentf("%+v", c))
		})
	}
	queued := busy
	queued.Score = 0
	c := psplacement.Choose([]psplacement.Candidate{busy, idle, idle, queued, queued}, r)
	qt.Assert(t, c.Index, qt.Equals, 0, qt.Commentf("queues at most servers: %+v", c))
}
