package psbudget_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psbudget"
	"persimmonstep/internal/process/psdev"
	"persimmonstep/internal/process/psmeasure"
	"persimmonstep/internal/process/psstandin"
	"persimmonstep/internal/request/psgate"
	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/version/psdoc"
)

const (
	vms   = 9
	rate  = 100.0
	burst = 20.0
)

// nine is a topology of nine VMs in three regions with two failure domains each.
func nine() psdev.Topology {
	t := psdev.Topology{
		Workspaces: []psdoc.Workspace{{Name: "franchise", Rate: rate, Burst: burst}, {Name: "trickle", Rate: 20, Burst: 10}},
		Routes:     []psdoc.Route{{Name: "prices", Prefix: "/prices/", Kind: psdoc.KindLookup, Pool: "prices", WhenCutOff: psdoc.CutOffServe}},
	}
	for i := range vms {
		region := psdoc.Name(fmt.Sprintf("r%d", i%3))
		domain := psdoc.Name(fmt.Sprintf("%s-d%d", region, i%2))
		if i < 3 {
			t.Regions = append(t.Regions, psdoc.Region{Name: region})
		}
		if i < 6 {
			t.Domains = append(t.Domains, psdoc.FailureDomain{Name: domain, Region: region})
			t.Servers = append(t.Servers, psdev.TopologyServer{Name: "prices-" + domain, Domain: domain, Pool: "prices", Slots: 64})
		}
		t.VMs = append(t.VMs, psdev.TopologyVM{Name: psdoc.Name(fmt.Sprintf("vm%d", i)), Region: region, Domain: domain})
	}
	return t
}

// load spends the rate of one workspace at the limiters of real VMs, which reach each other
// over sockets. It leaves out what comes after the limiter, above all the slots of backend
// servers, which a busy machine may not hand out in time.
type load struct {
	system    *psdev.System
	gates     []*psgate.Gate
	workspace int
	admitted  atomic.Int64
	refused   atomic.Int64
	other     atomic.Int64
	// last is how the last other request ended.
	last atomic.Value
	// wrongful counts the refused requests that one bucket for the whole fleet would admit.
	wrongful atomic.Int64
}

// run sends requests at a steady pace, each to the VM that pick names, and waits for all.
func (l *load) run(perSecond float64, span time.Duration, pick func(n int) int) time.Duration {
	var sending sync.WaitGroup
	w := l.system.Ready.Workspaces[l.workspace]
	began := time.Now()
	reference := psbudget.Bucket{Rate: w.Rate, Burst: w.Burst}
	reference.Spend(0, began.Add(-time.Hour))
	for n := range int(perSecond * span.Seconds()) {
		time.Sleep(time.Until(began.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))))
		entitled := reference.Spend(1, time.Now())
		sending.Go(func() {
			if refused := l.send(pick(n)); refused && entitled {
				l.wrongful.Add(1)
			}
		})
	}
	sending.Wait()
	return time.Since(began)
}

// send spends one request at a VM and reports whether it was refused for its rate.
func (l *load) send(vm int) bool {
	g := l.gates[vm]
	p := g.Plans.Plan()
	w, found := p.Workspace(l.system.Ready.Workspaces[l.workspace].Name)
	if !found {
		panic("the workspace is not in the configuration")
	}
	err := g.Limiter.Spend(context.Background(), p, w)
	var problem *psproblem.Problem
	switch {
	case err == nil:
		l.admitted.Add(1)
	case errors.As(err, &problem) && problem.Status == http.StatusTooManyRequests:
		l.refused.Add(1)
		return true
	default:
		l.other.Add(1)
		l.last.Store(err.Error())
	}
	return false
}

func one(int) int { return 2 }

func startNine(t testing.TB, adjust func(*psgate.Gate)) (*psdev.System, func(workspace int) *load) {
	t.Helper()
	topology := nine()
	gates := make([]*psgate.Gate, vms)
	topology.Adjust = func(g *psgate.Gate) {
		if adjust != nil {
			adjust(g)
		}
		gates[slices.IndexFunc(topology.VMs, func(v psdev.TopologyVM) bool { return v.Name == g.Self })] = g
	}
	s, stop, err := psdev.New(context.Background(), topology, hclog.NewNullLogger())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(stop)
	return s, func(workspace int) *load {
		return &load{system: s, gates: gates, workspace: workspace}
	}
}

func TestBoundOverSockets(t *testing.T) {
	s, newLoad := startNine(t, nil)
	tests := []struct {
		name  string
		fault func()
		pick  func(n int) int
	}{
		{"through one VM", func() {}, one},
		{"through all VMs", func() {}, func(n int) int { return n % vms }},
		{"hopping", func() {}, func(n int) int { return n / 20 % vms }},
		{"table off", func() { s.Platform.Faults.Set(psstandin.Fault{Path: "/", Kind: psstandin.FaultRefuse}) }, one},
		{"a VM cut off", func() { s.Peers.Cut("vm4") }, func(n int) int { return lo.Ternary(n%2 == 0, 4, 2) }},
	}
	// All phases together are one window too.
	began, total := time.Now(), int64(0)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.fault()
			l := newLoad(0)
			span := l.run(5*rate, 600*time.Millisecond, tt.pick)
			admitted := l.admitted.Load()
			total += admitted
			t.Logf("%d admitted, %d refused, %d other in %v", admitted, l.refused.Load(), l.other.Load(), span)
			qt.Check(t, float64(admitted) <= rate*span.Seconds()+burst, qt.IsTrue)
			qt.Check(t, float64(total) <= rate*time.Since(began).Seconds()+burst, qt.IsTrue)
			qt.Check(t, l.other.Load(), qt.Equals, int64(0), qt.Commentf("%v", l.last.Load()))
		})
	}
}

// fault is what goes wrong with a system.
type fault struct {
	name  string
	apply func(s *psdev.System)
}

func faults() []fault {
	return []fault{
		{"calm", func(*psdev.System) {}},
		{"tableOff", func(s *psdev.System) {
			s.Platform.Faults.Set(psstandin.Fault{Path: "/", Kind: psstandin.FaultRefuse})
		}},
		{"vmDead", func(s *psdev.System) {
			s.Platform.Faults.Set()
			s.Kill(7)
		}},
	}
}

// inRate sends 90 % of the rate of both workspaces to one VM.
func inRate(newLoad func(workspace int) *load, span time.Duration) []*load {
	loads := []*load{newLoad(0), newLoad(1)}
	var running sync.WaitGroup
	for _, l := range loads {
		running.Go(func() { l.run(0.9*l.system.Ready.Workspaces[l.workspace].Rate, span, one) })
	}
	running.Wait()
	return loads
}

// BenchmarkInRate measures wrongful refusals and loan messages with 90 % of the rate of each
// workspace at one VM of nine.
func BenchmarkInRate(b *testing.B) {
	policies := []struct {
		name   string
		adjust func(*psgate.Gate)
	}{{"loans", nil}, {"staticSplit", psmeasure.Baseline().Adjust}}
	for _, p := range policies {
		for _, f := range faults() {
			b.Run(p.name+"/"+f.name, func(b *testing.B) {
				s, newLoad := startNine(b, p.adjust)
				f.apply(s)
				for b.Loop() {
					began := time.Now()
					for _, l := range inRate(newLoad, 20*time.Second) {
						sent := l.admitted.Load() + l.refused.Load() + l.other.Load()
						name := string(s.Ready.Workspaces[l.workspace].Name)
						b.ReportMetric(100*float64(l.wrongful.Load())/float64(sent), name+"%")
					}
					b.ReportMetric(calls(b, s)/time.Since(began).Seconds(), "calls/s")
				}
			})
		}
	}
}

// calls adds up the calls about loans of all VMs that answer.
func calls(t testing.TB, s *psdev.System) float64 {
	token, err := os.ReadFile(s.Ready.OperatorTokenFile)
	qt.Assert(t, err, qt.IsNil)
	sum := 0.0
	for _, o := range s.Ready.Operators {
		r, err := http.NewRequest(http.MethodGet, "http://"+o.String()+"/metrics", nil)
		qt.Assert(t, err, qt.IsNil)
		r.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
		a, err := http.DefaultClient.Do(r)
		if err != nil {
			continue
		}
		text, err := io.ReadAll(a.Body)
		_ = a.Body.Close()
		qt.Assert(t, err, qt.IsNil)
		for line := range strings.Lines(string(text)) {
			var n float64
			if _, value, found := strings.Cut(line, "} "); found && strings.HasPrefix(line, "persimmonstep_budget_calls_total") {
				_, err := fmt.Sscan(value, &n)
				qt.Assert(t, err, qt.IsNil)
				sum += n
			}
		}
	}
	return sum
}
