package psbudget

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"persimmonstep/internal/process/psfence"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// testPlan makes a plan with VMs spread evenly over failure domains.
func testPlan(version uint64, vms, domains int, workspaces ...psdoc.Workspace) *psplan.Plan {
	d := &psdoc.Document{Document: "test", Regions: []psdoc.Region{{Name: "r"}}, Workspaces: workspaces}
	for i := range domains {
		d.FailureDomains = append(d.FailureDomains, psdoc.FailureDomain{Name: psdoc.Name(fmt.Sprintf("d%d", i)), Region: "r"})
	}
	for i := range vms {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i+1))
		d.VMs = append(d.VMs, psdoc.VM{
			Name: psdoc.Name(fmt.Sprintf("vm%d", i)), FailureDomain: d.FailureDomains[i%domains].Name,
			Callers: address, Peer: address, Operator: address,
		})
	}
	p, findings := psplan.Compile(version, []*psdoc.Document{d})
	if len(findings) > 0 {
		panic(findings)
	}
	return p
}

func TestSplit(t *testing.T) {
	tests := []struct {
		name         string
		vms, domains int
		burst        float64
		holders      int
	}{
		{"all VMs of a small fleet", 9, 6, 10, 9},
		{"a burst below the number of VMs", 9, 6, 4, 4},
		{"a burst below one request", 9, 6, 0.5, 1},
		{"one VM of each domain of a large fleet", 2200, 90, 500, 90},
		{"a small burst in a large fleet", 2200, 90, 10, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			shares := Split(testPlan(1, tt.vms, tt.domains), "w", tt.burst)
			c.Assert(shares, qt.HasLen, tt.holders)
			sum := 0.0
			for _, s := range shares {
				sum += s.Part
				c.Assert(tt.burst < 1 || s.Part*tt.burst > minFill, qt.IsTrue)
			}
			c.Assert(math.Abs(sum-1) < dust, qt.IsTrue)
		})
	}
}

// shown is a fence that shows what a test sets.
type shown struct {
	view    *psfence.View
	changed func()
}

func (s *shown) View() *psfence.View { return s.view }
func (s *shown) Refresh()            {}
func (s *shown) OnChange(f func())   { s.changed = f }

func (s *shown) show(v psfence.View) {
	s.view = &v
	s.changed()
}

func newTestBook(now *time.Time) (*Book, *shown) {
	s := &shown{view: &psfence.View{Plan: psplan.Empty()}}
	b := NewBook(Options{Self: "vm0", Shares: s, Logger: hclog.NewNullLogger(), Now: func() time.Time { return *now }, Metrics: NewMetrics(prometheus.NewRegistry())})
	return b, s
}

// limit returns the rate that the VM may spend now.
func limit(b *Book) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	a := b.account("w")
	a.fill(b.now())
	return a.limit.Rate
}

func TestShareThroughLayoutChanges(t *testing.T) {
	c := qt.New(t)
	now := epoch
	b, s := newTestBook(&now)
	w := psdoc.Workspace{Name: "w", Rate: 100, Burst: 100}
	four, five, two := testPlan(1, 4, 1, w), testPlan(2, 5, 1, w), testPlan(3, 2, 1, w)
	held := psfence.Span{Since: epoch, Until: epoch.Add(time.Hour)}

	s.show(psfence.View{Plan: four, Layout: 4, Held: held})
	c.Assert(limit(b), qt.Equals, 0.0, qt.Commentf("a new process must wait"))
	c.Assert(b.Ready(), qt.IsFalse)
	s.show(psfence.View{Plan: four, Layout: 4, Held: held, Settled: true})
	c.Assert(limit(b), qt.Equals, 25.0)
	s.show(psfence.View{Plan: five, Layout: 5, Held: held})
	c.Assert(limit(b), qt.Equals, 20.0, qt.Commentf("a smaller share counts at once"))
	s.show(psfence.View{Plan: two, Layout: 2, Held: held})
	c.Assert(limit(b), qt.Equals, 20.0, qt.Commentf("a larger share waits for all"))
	s.show(psfence.View{Plan: two, Layout: 2, Held: held, Settled: true})
	c.Assert(limit(b), qt.Equals, 50.0)
	s.show(psfence.View{Plan: two, Layout: 2, Held: held, Settled: true, Adopted: []psfence.Adoption{{VM: "vm1"}}})
	c.Assert(limit(b), qt.Equals, 75.0)
	now = held.Until
	c.Assert(limit(b), qt.Equals, 50.0, qt.Commentf("the revocable part needs the fence"))
}

func TestRestartFillsSlowly(t *testing.T) {
	c := qt.New(t)
	now := epoch
	b, s := newTestBook(&now)
	p := testPlan(1, 1, 1, psdoc.Workspace{Name: "w", Rate: 100, Burst: 50})
	w, _ := p.Workspace("w")
	held := psfence.Span{Since: epoch, Until: epoch.Add(time.Hour)}
	s.show(psfence.View{Plan: p, Layout: 1, Held: held, Settled: true})
	c.Assert(b.Spend(t.Context(), p, w), qt.ErrorMatches, "overRate.*")
	c.Assert(b.Ready(), qt.IsFalse)
	now = now.Add(time.Second)
	c.Assert(b.Ready(), qt.IsTrue)
	c.Assert(b.Spend(t.Context(), p, w), qt.IsNil)

	first, f := newTestBook(&now)
	f.show(psfence.View{Plan: p, Layout: 1, Held: held, Settled: true, Original: true})
	c.Assert(first.Ready(), qt.IsTrue, qt.Commentf("the first process of all starts with full buckets"))
	for range 50 {
		c.Assert(first.Spend(t.Context(), p, w), qt.IsNil)
	}
	c.Assert(first.Spend(t.Context(), p, w), qt.IsNotNil)
}

func BenchmarkSpend(b *testing.B) {
	k, s := newTestBook(&[]time.Time{epoch}[0])
	k.now = time.Now
	p := testPlan(1, 9, 6, psdoc.Workspace{Name: "w", Rate: 1e12, Burst: 1e12})
	w, _ := p.Workspace("w")
	s.show(psfence.View{Plan: p, Layout: 1, Settled: true, Original: true})
	b.ReportAllocs()
	for b.Loop() {
		if k.Spend(b.Context(), p, w) != nil {
			b.Fatal("refused")
		}
	}
}
