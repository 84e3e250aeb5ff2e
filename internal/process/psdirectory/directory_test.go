package psdirectory

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// fixedPlan is a plan that never changes by itself.
type fixedPlan struct{ plan *psplan.Plan }

func (f *fixedPlan) Plan() *psplan.Plan { return f.plan }

// downList names the VMs that callers cannot use.
type downList map[psdoc.Name]bool

func (l downList) Usable(vm psdoc.Name) bool { return !l[vm] }

// network makes a plan of several regions with three failure domains each.
func network(tb testing.TB, version uint64, regions, vmsPerDomain, workspaces int) *psplan.Plan {
	tb.Helper()
	d := &psdoc.Document{Document: "network"}
	for r := range regions {
		region := psdoc.Name(fmt.Sprintf("r%d", r))
		d.Regions = append(d.Regions, psdoc.Region{Name: region})
		for f := range 3 {
			domain := psdoc.Name(fmt.Sprintf("%s-%d", region, f))
			d.FailureDomains = append(d.FailureDomains, psdoc.FailureDomain{Name: domain, Region: region})
			d.ClientBlocks = append(d.ClientBlocks, psdoc.ClientBlock{
				Prefix:        netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(r), byte(f), 0}), 24),
				FailureDomain: domain,
			})
			for v := range vmsPerDomain {
				d.VMs = append(d.VMs, testVM(domain, len(d.VMs), v))
			}
		}
	}
	for w := range workspaces {
		d.Workspaces = append(d.Workspaces, psdoc.Workspace{Name: psdoc.Name(fmt.Sprintf("w%d", w)), Rate: 100, Burst: 10})
	}
	p, findings := psplan.Compile(version, []*psdoc.Document{d})
	qt.Assert(tb, findings, qt.HasLen, 0)
	return p
}

func testVM(domain psdoc.Name, n, v int) psdoc.VM {
	address := func(port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 16, byte(n >> 8), byte(n)}), port)
	}
	return psdoc.VM{Name: psdoc.Name(fmt.Sprintf("%s-%d", domain, v)), FailureDomain: domain, Callers: address(80), Peer: address(81), Operator: address(82)}
}

func ask(t *testing.T, d *Directory, now time.Time) Answer {
	t.Helper()
	body, err := d.answer(netip.MustParseAddr("10.1.0.7"), "w1", now)
	qt.Assert(t, err, qt.IsNil)
	var a Answer
	qt.Assert(t, json.Unmarshal(body, &a), qt.IsNil)
	return a
}

func TestAnswersFollowPlanAndMembers(t *testing.T) {
	c := qt.New(t)
	plans, down := &fixedPlan{plan: network(t, 1, 2, 3, 4)}, make(downList)
	d := &Directory{Plans: plans, Members: down, Locator: BlockLocator{}, Logger: hclog.NewNullLogger()}
	now := time.Unix(1000, 0)
	first := ask(t, d, now)
	c.Assert(first.VMs[0].FailureDomain, qt.Equals, psdoc.Name("r1-0"))

	down[first.VMs[0].Name] = true
	c.Assert(ask(t, d, now.Add(refreshInterval)).VMs[0].Name, qt.Not(qt.Equals), first.VMs[0].Name)

	plans.plan = network(t, 2, 2, 3, 4)
	c.Assert(ask(t, d, now.Add(refreshInterval)).Version, qt.Equals, uint64(2))
}

func TestMadeUpWorkspacesDoNotFillTheCache(t *testing.T) {
	d := &Directory{Plans: &fixedPlan{plan: network(t, 1, 1, 1, 1)}, Members: downList{}, Locator: BlockLocator{}, Logger: hclog.NewNullLogger()}
	for i := range 100 {
		_, err := d.answer(netip.MustParseAddr("10.0.0.1"), psdoc.Name(fmt.Sprintf("made-up-%d", i)), time.Unix(0, 0))
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, d.cache.answers, qt.HasLen, 1)
}

// BenchmarkAnswer is one look-up at a handler, without the server around it.
func BenchmarkAnswer(b *testing.B) {
	for _, vms := range []int{1, 8, 25} {
		d := &Directory{Plans: &fixedPlan{plan: network(b, 1, 26, vms, 8000)}, Members: downList{}, Locator: BlockLocator{}, Logger: hclog.NewNullLogger()}
		r := httptest.NewRequest("GET", "/.well-known/persimmonstep/vms?workspace=w7", nil)
		r.RemoteAddr = "10.3.1.9:4000"
		b.Run(fmt.Sprintf("cached/vms=%d", 78*vms), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				d.ServeHTTP(httptest.NewRecorder(), r)
			}
		})
		b.Run(fmt.Sprintf("ranked/vms=%d", 78*vms), func(b *testing.B) {
			p := d.Plans.Plan()
			home := d.Locator.Locate(p, netip.MustParseAddr("10.3.1.9"))
			for b.Loop() {
				Rank(p, home, "w7", 0, d.Members)
			}
		})
	}
}
