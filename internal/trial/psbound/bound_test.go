package psbound_test

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/trial/psbound"
	"persimmonstep/internal/trial/psload"
	"persimmonstep/internal/trial/psscenario"
	"persimmonstep/internal/trial/psspell"
)

// problem returns a problem with one service and servers that are all as near.
func problem(servers []psbound.Server, requests []psbound.Request) *psbound.Problem {
	return &psbound.Problem{
		Services: []psbound.Service{{Servers: servers, Requests: requests}}, Span: 10 * time.Second,
		Latency:    func(int, *psbound.Server) time.Duration { return 0 },
		SameRegion: func(int, *psbound.Server) bool { return true },
	}
}

func request(ready, due, work int, weight float64) psbound.Request {
	const ms = time.Millisecond
	return psbound.Request{
		At: time.Duration(ready) * ms, Ready: time.Duration(ready) * ms, Due: time.Duration(due) * ms, End: time.Second, Entitled: true,
		Object: -1, Work: time.Duration(work) * ms, Uncached: time.Duration(work) * ms, Weight: weight,
	}
}

// bestOf returns the greatest weight in target of all orders in which requests can be given to the slot that is free first.
func bestOf(requests []psbound.Request, free []time.Duration) float64 {
	best := 0.0
	for i, r := range requests {
		rest := append(append([]psbound.Request(nil), requests[:i]...), requests[i+1:]...)
		slot := 0
		for j := range free {
			if free[j] < free[slot] {
				slot = j
			}
		}
		end := max(free[slot], r.Ready) + r.Work
		if end > r.Due {
			continue
		}
		next := append([]time.Duration(nil), free...)
		next[slot] = end
		best = max(best, r.Weight+bestOf(rest, next))
	}
	return best
}

// TestOptimumLiesBetweenBounds guards against an upper bound that a schedule exceeds, and against a schedule that serves
// more than its slots can. The optimum of small problems is found by trying all orders.
func TestOptimumLiesBetweenBounds(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	lower, optimum, upper := 0.0, 0.0, 0.0
	for range 300 {
		var requests []psbound.Request
		for range 6 {
			ready, work := random.IntN(60), 10+random.IntN(30)
			requests = append(requests, request(ready, ready+work+random.IntN(60), work, float64(1+random.IntN(3))))
		}
		slots := 1 + random.IntN(2)
		p := problem([]psbound.Server{{Slots: slots}}, requests)
		low, best, high := psbound.Lower(p).Weight, bestOf(requests, make([]time.Duration, slots)), psbound.Upper(p).Weight
		qt.Assert(t, low <= best, qt.IsTrue, qt.Commentf("%f %f %+v", low, best, requests))
		qt.Assert(t, high >= best-1e-9, qt.IsTrue, qt.Commentf("%f %f %+v", high, best, requests))
		lower, optimum, upper = lower+low, optimum+best, upper+high
	}
	// Bounds that hold but are far apart would tell nothing.
	qt.Check(t, lower > 0.9*optimum, qt.IsTrue, qt.Commentf("%f of %f", lower, optimum))
	qt.Check(t, upper < 1.25*optimum, qt.IsTrue, qt.Commentf("%f of %f", upper, optimum))
}

// TestBoundsKnowSpellsCachesAndRates guards against bounds that ignore a part of the model.
func TestBoundsKnowSpellsCachesAndRates(t *testing.T) {
	weights := func(p *psbound.Problem) []float64 { return []float64{psbound.Lower(p).Weight, psbound.Upper(p).Weight} }
	one := []psbound.Request{request(0, 100, 50, 1)}
	slow := psspell.Spells{Factor: 2.5, Changes: []time.Duration{0, time.Second}}
	qt.Check(t, weights(problem([]psbound.Server{{Slots: 1}}, one)), qt.DeepEquals, []float64{1, 1})
	// Only 40 of the 50 ms of work are done in 100 ms; the upper bound counts the part.
	slowOne := weights(problem([]psbound.Server{{Slots: 1, Spells: slow}}, one))
	qt.Check(t, slowOne[0], qt.Equals, 0.0)
	qt.Check(t, slowOne[1] > 0.75 && slowOne[1] < 0.85, qt.IsTrue, qt.Commentf("%f", slowOne[1]))

	// The first request for an object runs uncached and is late; the second one is in target on the same server.
	cached := []psbound.Request{request(0, 100, 50, 1), request(200, 300, 50, 1)}
	for i := range cached {
		cached[i].Object, cached[i].Uncached = 7, 150*time.Millisecond
	}
	qt.Check(t, weights(problem([]psbound.Server{{Slots: 1, CacheSize: 1}}, cached)), qt.DeepEquals, []float64{1, 1})

	var many []psbound.Request
	for range 500 {
		r := request(0, 5000, 1, 1)
		r.Workspace, r.Entitled = "w", len(many) < 30
		many = append(many, r)
	}
	p := problem([]psbound.Server{{Slots: 10}}, many)
	p.Workspaces = map[string]psload.Allowance{"w": {Rate: 4, Burst: 10}}
	// Two windows with 1.1 times (4 x 5 + 10) and 20 requests.
	qt.Check(t, weights(p), qt.DeepEquals, []float64{30, 106})

	far := problem([]psbound.Server{{Slots: 1}}, one)
	far.Latency = func(int, *psbound.Server) time.Duration { return 60 * time.Millisecond }
	far.SameRegion = func(int, *psbound.Server) bool { return false }
	qt.Check(t, weights(far), qt.DeepEquals, []float64{0, 0})
}

// TestBoundsOfScenarios guards against bounds of the scenario files that contradict each other.
func TestBoundsOfScenarios(t *testing.T) {
	for _, name := range []string{"calm", "busy-tenant", "uneven-four-services", "uneven-two-services"} {
		file := filepath.Join("../../../scenarios", name+".toml")
		data, err := os.ReadFile(file)
		qt.Assert(t, err, qt.IsNil)
		s, err := psscenario.Parse(file, data)
		qt.Assert(t, err, qt.IsNil)
		f := s.Firms()[0]
		p := psbound.New(f, s, f.Topology(s), psload.Draw(s.Seed, f.Streams(s), psscenario.DomainCount, s.Span.Duration))
		low, high := psbound.Lower(p), psbound.Upper(p)
		qt.Check(t, low.Weight <= high.Weight, qt.IsTrue, qt.Commentf("%s: %f > %f", file, low.Weight, high.Weight))
		qt.Check(t, low.Weight > 0.5*high.Weight, qt.IsTrue, qt.Commentf("%s: %f of %f", file, low.Weight, high.Weight))
		for i, v := range low.Priorities {
			qt.Check(t, v.InTarget <= high.Priorities[i].InTarget, qt.IsTrue, qt.Commentf("%s: priority %d", file, v.Priority))
		}
	}
}
