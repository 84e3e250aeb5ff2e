package psvm_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psbackend"
	"persimmonstep/internal/process/psdev"
	"persimmonstep/internal/request/psretry"
)

// effect is what a steady load of lookups met in one span after another.
type effect struct {
	sent, failed int
	spans        []span
	latency      *hdrhistogram.Histogram
	// codes counts failures by status and code.
	codes map[string]int
}

// span is a part of the time.
type span struct {
	sent, failed int
}

const (
	spanTime    = 200 * time.Millisecond
	serviceTime = 10 * time.Millisecond
	// histogramMax is the longest recorded latency in microseconds.
	histogramMax = 60_000_000
)

// steady sends lookups at a rate through all VMs. Latency counts from the time at which a
// request was due, so that a stall is not hidden by the requests that it keeps back.
func (f *fleet) steady(ctx context.Context, perSecond int, d time.Duration) *effect {
	e := &effect{codes: make(map[string]int), latency: hdrhistogram.New(1, histogramMax, 3), spans: make([]span, int(d/spanTime)+1)}
	var mutex sync.Mutex
	var running sync.WaitGroup
	began := time.Now()
	count := int(float64(perSecond) * d.Seconds())
	for n := range count {
		due := began.Add(time.Duration(n) * time.Second / time.Duration(perSecond))
		time.Sleep(time.Until(due))
		running.Go(func() {
			r := f.send(ctx, n%len(f.Ready.Callers), "GET", fmt.Sprintf("/prices/%d", n), nil)
			mutex.Lock()
			defer mutex.Unlock()
			s := &e.spans[int(due.Sub(began)/spanTime)]
			s.sent++
			e.sent++
			if r.status != 200 || r.broken {
				s.failed++
				e.failed++
				e.codes[fmt.Sprint(r.status, " ", r.code, " ", r.detail)]++
			}
			_ = e.latency.RecordValue(time.Since(due).Microseconds())
		})
	}
	running.Wait()
	return e
}

// settled returns how long after an instant the last span with more failures than a share began to be over.
func (e *effect) settled(after time.Duration, share float64) time.Duration {
	last := time.Duration(0)
	for i, s := range e.spans {
		end := time.Duration(i+1) * spanTime
		if end > after && s.sent > 0 && float64(s.failed) > share*float64(s.sent) {
			last = end - after
		}
	}
	return last
}

func (e *effect) p99() time.Duration {
	return time.Duration(e.latency.ValueAtQuantile(99)) * time.Microsecond
}

func startSteadyFleet(tb testing.TB) *fleet {
	tb.Helper()
	topology := psdev.Example()
	for i := range topology.Workspaces {
		topology.Workspaces[i].Rate, topology.Workspaces[i].Burst = 20000, 20000
	}
	f := startTopology(tb, topology)
	f.calmServers()
	return f
}

func (f *fleet) calmServers() {
	for _, s := range f.Servers {
		s.Set(psbackend.Behaviour{ServiceTime: serviceTime})
	}
}

// failHalf lets every other price server fail.
func (f *fleet) failHalf(k psbackend.FaultKind) []*psbackend.Server {
	servers := f.pool("prices", "")
	for i, s := range servers {
		if i%2 == 0 {
			s.Set(psbackend.Behaviour{ServiceTime: serviceTime, Faults: []psbackend.Fault{{Kind: k}}})
		}
		s.ResetStats()
	}
	return servers
}

// extraLoad is the part of the runs that retries added.
func extraLoad(servers []*psbackend.Server, sent int) float64 {
	runs := 0
	for _, s := range servers {
		runs += s.Stats().Runs
	}
	return float64(runs-sent) / float64(sent)
}

var failing = []psbackend.FaultKind{psbackend.FaultFail, psbackend.FaultCut, psbackend.FaultHalfLength}

// TestRetriesAddAtMostATenth lets half of the servers fail.
func TestRetriesAddAtMostATenth(t *testing.T) {
	for _, k := range failing {
		t.Run(string(k), func(t *testing.T) {
			t.Parallel()
			f := startSteadyFleet(t)
			servers := f.failHalf(k)
			e := f.steady(t.Context(), 150, 2*time.Second)
			extra := extraLoad(servers, e.sent)
			floor := float64(psretry.Floor*len(f.Ready.Callers)) / float64(e.sent)
			t.Logf("%d lookups, %d failed %v, %.1f %% more runs, of which the floor allows %.1f", e.sent, e.failed, e.codes, 100*extra, 100*floor)
			qt.Assert(t, extra <= psretry.Fraction+floor, qt.IsTrue)
		})
	}
}

// BenchmarkHalfFails measures the added load and the errors while half of the servers fail.
func BenchmarkHalfFails(b *testing.B) {
	for _, k := range append(failing, psbackend.FaultHang) {
		b.Run(string(k), func(b *testing.B) {
			for b.Loop() {
				f := startSteadyFleet(b)
				servers := f.failHalf(k)
				e := f.steady(b.Context(), 500, 10*time.Second)
				b.ReportMetric(100*extraLoad(servers, e.sent), "%extra")
				b.ReportMetric(100*float64(e.failed)/float64(e.sent), "%failed")
				b.ReportMetric(e.settled(0, 0.01).Seconds(), "settled-s")
			}
		})
	}
}

// BenchmarkSlowServer measures the 99th percentile with one server at ten times its time.
func BenchmarkSlowServer(b *testing.B) {
	for _, factor := range []int{1, 10} {
		b.Run(fmt.Sprint(factor, "x"), func(b *testing.B) {
			for b.Loop() {
				f := startSteadyFleet(b)
				f.steady(b.Context(), 500, 3*time.Second)
				f.pool("prices", "north-a")[0].Set(psbackend.Behaviour{ServiceTime: time.Duration(factor) * serviceTime})
				e := f.steady(b.Context(), 500, 10*time.Second)
				b.ReportMetric(float64(e.p99().Microseconds())/1000, "p99-ms")
				b.ReportMetric(100*float64(e.failed)/float64(e.sent), "%failed")
			}
		})
	}
}

// BenchmarkRegion measures the errors while the servers of one of two regions die and return.
func BenchmarkRegion(b *testing.B) {
	for b.Loop() {
		f := startSteadyFleet(b)
		const died, returned, end = 2 * time.Second, 8 * time.Second, 24 * time.Second
		go func() {
			time.Sleep(died)
			for _, s := range f.pool("prices", "south") {
				s.Crash(returned - died)
			}
		}()
		e := f.steady(b.Context(), 500, end)
		out := func(from, to time.Duration) (sent, failed int) {
			for i, s := range e.spans {
				if at := time.Duration(i) * spanTime; at >= from && at < to {
					sent, failed = sent+s.sent, failed+s.failed
				}
			}
			return sent, failed
		}
		sent, failed := out(died, returned)
		b.ReportMetric(100*float64(failed)/float64(sent), "%failedAfterDeath")
		sent, failed = out(returned, end)
		b.ReportMetric(100*float64(failed)/float64(sent), "%failedAfterReturn")
		b.ReportMetric(e.settled(returned, 0.01).Seconds(), "settledAfterReturn-s")
		high := 0
		for _, s := range f.pool("prices", "south") {
			high = max(high, s.Stats().HighWater)
		}
		b.ReportMetric(float64(high), "highWater")
		b.Logf("spans %v", e.spans)
	}
}
