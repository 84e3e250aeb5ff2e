package pshealth

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"persimmonstep/internal/request/psgate"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// bench is a tracker with a fake clock and one pool.
type bench struct {
	*Tracker
	now     time.Time
	servers []*psplan.Server
	plan    *psplan.Plan
}

func (b *bench) Plan() *psplan.Plan { return b.plan }

func newBench(servers int) *bench {
	b := &bench{now: time.Unix(1000, 0)}
	domain := &psplan.Domain{Name: "d", Region: &psplan.Region{Name: "r"}}
	domain.VMs = []*psplan.VM{{Name: "vm", Domain: domain}}
	b.plan = &psplan.Plan{Version: 1, VMs: domain.VMs}
	for i := range servers {
		b.plan.Servers = append(b.plan.Servers, &psplan.Server{Name: psdoc.Name(fmt.Sprintf("s%d", i)), Domain: domain, Pool: "p"})
	}
	b.servers = b.plan.Servers
	b.Tracker = New(Options{
		Self: "vm", Plans: b, Now: func() time.Time { return b.now }, Logger: hclog.NewNullLogger(),
		Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	b.Step()
	return b
}

func (b *bench) pass(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(stepInterval)
		b.Step()
	}
}

func (b *bench) end(server int, n int, o psgate.Observation) {
	o.Server = b.servers[server]
	if o.Duration == 0 {
		o.Duration = 10 * time.Millisecond
	}
	for range n {
		b.Begin(o.Server)
		b.Observe(o)
	}
}

func (b *bench) isExcluded(server int) bool { return b.Excluded(b.servers[server]) }

var (
	isGood     = psgate.Observation{Status: http.StatusOK}
	isError    = psgate.Observation{Status: http.StatusInternalServerError}
	isLost     = psgate.Observation{Err: errors.New("EOF")}
	isShed     = psgate.Observation{Status: 503, Header: http.Header{headerNotRun: {"true"}}}
	isRefused  = psgate.Observation{Err: &net.OpError{Op: "dial", Err: errors.New("refused")}}
	isNoAnswer = psgate.Observation{Duration: time.Second, Err: &net.OpError{Op: "dial", Err: context.DeadlineExceeded}}
	isLeft     = psgate.Observation{Err: context.Canceled}
	isLate     = psgate.Observation{Err: context.DeadlineExceeded, Duration: time.Second}
	isHurried  = psgate.Observation{Err: context.DeadlineExceeded, Duration: time.Millisecond}
	isDrain    = psgate.Observation{Status: http.StatusOK, Header: http.Header{headerDraining: {"true"}}}
	isLoaded   = psgate.Observation{Status: http.StatusOK, Header: http.Header{headerLoad: {"2"}}}
)

// Each row lets one server of four end requests in one way while the others are well.
func TestOneServer(t *testing.T) {
	tests := []struct {
		name     string
		end      psgate.Observation
		count    int
		excluded bool
		narrowed bool
	}{
		{"good", isGood, 50, false, false},
		{"a few errors", isError, 4, false, false},
		{"errors in a row", isError, 5, true, true},
		{"lost connections", isLost, 5, true, true},
		{"timeouts", isLate, 5, true, true},
		{"no time left", isHurried, 50, false, false},
		{"callers that leave", isLeft, 50, false, false},
		{"one refused connection", isRefused, 1, true, true},
		{"one connection that times out", isNoAnswer, 1, false, false},
		{"connections that time out", isNoAnswer, 2, true, true},
		{"shed", isShed, 5, false, true},
		{"leaving", isDrain, 1, true, false},
		{"reports too much load", isLoaded, 1, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(4)
			for i := 1; i < 4; i++ {
				b.end(i, 20, isGood)
			}
			b.end(0, tt.count, tt.end)
			excludedAtOnce := b.isExcluded(0)
			b.now = b.now.Add(time.Millisecond)
			b.Step()
			c.Assert(excludedAtOnce, qt.Equals, tt.excluded)
			c.Assert(b.Weight(b.servers[0]) < 1, qt.Equals, tt.narrowed)
			c.Assert(b.isExcluded(1), qt.IsFalse)
		})
	}
}

func TestEjectionReturnsOnARamp(t *testing.T) {
	c := qt.New(t)
	b := newBench(4)
	b.end(0, 5, isError)
	c.Assert(b.isExcluded(0), qt.IsTrue)
	b.pass(ejectionTime + probeInterval)
	c.Assert(b.isExcluded(0), qt.IsTrue, qt.Commentf("no probe went well yet"))
	b.probed(b.servers[0], result{reached: true, answered: true, well: true})
	c.Assert(b.isExcluded(0), qt.IsFalse)
	c.Assert(b.Weight(b.servers[0]), qt.Equals, rampFloor)
	b.pass(RampSpan / 2)
	w := b.Weight(b.servers[0])
	c.Assert(w > 0.4 && w < 0.7, qt.IsTrue, qt.Commentf("weight %v", w))
	b.pass(RampSpan)
	c.Assert(b.Weight(b.servers[0]), qt.Equals, 1.0)
}

func TestRelapseOnTheRampEjectsSooner(t *testing.T) {
	c := qt.New(t)
	b := newBench(4)
	b.end(0, 5, isError)
	b.pass(ejectionTime)
	b.probed(b.servers[0], result{reached: true, answered: true, well: true})
	b.end(0, failuresInRamp, isError)
	c.Assert(b.isExcluded(0), qt.IsTrue)
	b.pass(ejectionTime)
	b.probed(b.servers[0], result{reached: true, answered: true, well: true})
	c.Assert(b.isExcluded(0), qt.IsTrue, qt.Commentf("the second ejection is longer"))
}

func TestHungServerIsEjected(t *testing.T) {
	c := qt.New(t)
	b := newBench(4)
	for i := range 4 {
		b.end(i, 5, isGood)
	}
	b.Begin(b.servers[0])
	b.pass(stallFloor / 2)
	c.Assert(b.Latency(b.servers[0]) >= stallFloor/2, qt.IsTrue, qt.Commentf("silence counts as latency"))
	b.pass(stallFloor)
	c.Assert(b.isExcluded(0), qt.IsTrue)
}

func TestOwnPauseIsNotHeldAgainstServers(t *testing.T) {
	c := qt.New(t)
	b := newBench(4)
	b.Begin(b.servers[0])
	b.now = b.now.Add(5 * stallFloor)
	b.Step()
	c.Assert(b.isExcluded(0), qt.IsFalse)
	b.pass(2 * stallFloor)
	c.Assert(b.isExcluded(0), qt.IsTrue, qt.Commentf("silence while this VM runs"))
}

func TestPartialFailureRate(t *testing.T) {
	c := qt.New(t)
	b := newBench(4)
	for range 20 {
		for i := range 4 {
			b.end(i, 3, isGood)
		}
		b.end(0, 1, isError)
	}
	c.Assert(b.isExcluded(0), qt.IsTrue, qt.Commentf("a quarter fails, and none elsewhere"))
}

func TestTruncatedAnswersEject(t *testing.T) {
	c := qt.New(t)
	b := newBench(4)
	for range failuresInARow {
		b.end(0, 1, isGood)
		b.Observe(psgate.Observation{Server: b.servers[0], Truncated: true, Err: errors.New("broke off")})
	}
	c.Assert(b.isExcluded(0), qt.IsTrue)
}

func TestFailuresEverywhereEjectNobody(t *testing.T) {
	c := qt.New(t)
	b := newBench(4)
	for range 30 {
		for i := range 4 {
			b.end(i, 1, isError)
		}
	}
	for i := range 4 {
		c.Assert(b.isExcluded(i), qt.IsFalse)
	}
}

func TestSlowServerIsNarrowedAndTriedAgain(t *testing.T) {
	c := qt.New(t)
	b := newBench(4)
	for i := 1; i < 4; i++ {
		b.end(i, 20, isGood)
	}
	b.end(0, 20, psgate.Observation{Status: 200, Duration: 100 * time.Millisecond})
	b.Step()
	c.Assert(b.Weight(b.servers[0]) < 0.5, qt.IsTrue)
	c.Assert(b.isExcluded(0), qt.IsFalse)
	before := b.Latency(b.servers[0])
	b.pass(latencyHalfLife)
	c.Assert(b.Latency(b.servers[0]) < before*2/3, qt.IsTrue)
}

func TestHealthPathOnlyNarrowsWhatWorks(t *testing.T) {
	c := qt.New(t)
	b := newBench(4)
	unwell := result{reached: true, answered: true}
	b.end(0, 1, isGood)
	b.probed(b.servers[0], unwell)
	c.Assert(b.isExcluded(0), qt.IsFalse)
	c.Assert(b.Weight(b.servers[0]), qt.Equals, hintWeight)
	b.pass(hintSpan)
	c.Assert(b.Weight(b.servers[0]), qt.Equals, 1.0, qt.Commentf("the report is stale"))
	b.pass(hintSpan)
	b.probed(b.servers[0], unwell)
	c.Assert(b.isExcluded(0), qt.IsTrue, qt.Commentf("nothing else says that it works"))
}

func TestNewServerBeginsOnARamp(t *testing.T) {
	c := qt.New(t)
	b := newBench(2)
	next := *b.plan
	next.Version = 2
	fresh := &psplan.Server{Name: "fresh", Domain: b.servers[0].Domain, Pool: "p"}
	next.Servers = append(next.Servers[:2:2], fresh)
	b.plan = &next
	b.Step()
	c.Assert(b.Weight(fresh), qt.Equals, rampFloor)
	c.Assert(b.Weight(b.servers[0]), qt.Equals, 1.0)
}

func TestLeavingByEachSource(t *testing.T) {
	tests := []struct {
		name string
		say  func(b *bench)
	}{
		{"platform list", func(b *bench) { b.HearList([]psdoc.Name{"s0"}) }},
		{"own answer", func(b *bench) { b.end(0, 1, isDrain) }},
		{"health path", func(b *bench) { b.probed(b.servers[0], result{reached: true, answered: true, draining: true}) }},
		{"another VM", func(b *bench) {
			other := newBench(4)
			other.end(0, 1, isDrain)
			b.Consume("other", other.Produce())
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(4)
			tt.say(b)
			c.Assert(b.isExcluded(0), qt.IsTrue)
			c.Assert(b.isExcluded(1), qt.IsFalse)
			b.probed(b.servers[0], result{reached: true, answered: true, well: true})
			b.pass(heardSpan + stepInterval)
			c.Assert(b.isExcluded(0), qt.IsFalse, qt.Commentf("nobody says so any more"))
			c.Assert(b.Weight(b.servers[0]) < 1, qt.IsTrue, qt.Commentf("it has restarted"))
		})
	}
}

// Whatever is observed, at most the set part of a pool is ejected, and some server that is
// not leaving gets work.
func TestNeverTakesOutAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(rapid.IntRange(1, 6).Draw(t, "servers"))
		ends := []psgate.Observation{isGood, isError, isLost, isShed, isRefused, isLeft, isLate}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(b.servers)-1).Draw(t, "server")
			b.end(i, rapid.IntRange(1, 8).Draw(t, "count"), rapid.SampledFrom(ends).Draw(t, "end"))
			b.pass(time.Duration(rapid.IntRange(0, 3).Draw(t, "wait")) * stepInterval)
			out, usable := 0, 0
			for i, s := range b.servers {
				if b.record(s).isEjected() {
					out++
				}
				if !b.isExcluded(i) {
					usable++
				}
			}
			if usable == 0 || out > int(maxEjectedShare*float64(len(b.servers))) {
				t.Fatalf("%d of %d ejected, %d usable", out, len(b.servers), usable)
			}
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	v := newBench(44)
	b.ReportAllocs()
	for b.Loop() {
		v.end(3, 1, isGood)
	}
}
