package pslink_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"persimmonstep/internal/request/pslink"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	// linkBytes is the capacity of the test's link in bytes per second.
	linkBytes = 1_000_000
	text      = `document = "fleet"
regions = [{name = "north"}, {name = "south"}, {name = "west"}]
failureDomains = [{name = "north-a", region = "north"}, {name = "south-a", region = "south"}, {name = "west-a", region = "west"}]
vms = [
  {name = "vm-0", failureDomain = "north-a", callers = "10.0.0.1:1", peer = "10.0.0.1:2", operator = "10.0.0.1:3"},
  {name = "vm-1", failureDomain = "north-a", callers = "10.0.0.2:1", peer = "10.0.0.2:2", operator = "10.0.0.2:3", weight = 2.0},
  {name = "vm-2", failureDomain = "south-a", callers = "10.0.0.3:1", peer = "10.0.0.3:2", operator = "10.0.0.3:3"},
]
links = [{between = ["north", "south"], bitsPerSecond = 8e6}]
`
)

type fixed struct{ plan *psplan.Plan }

func (f fixed) Plan() *psplan.Plan { return f.plan }

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// failer is what rapid and testing have in common.
type failer interface {
	Fatalf(format string, args ...any)
}

func plan(t failer) *psplan.Plan {
	d, findings := psdoc.Parse("fleet.toml", []byte(text))
	p, faults := psplan.Compile(1, []*psdoc.Document{d})
	if len(findings)+len(faults) > 0 {
		t.Fatalf("%v", append(findings, faults...))
	}
	return p
}

func TestBytesOverALinkStayWithinItsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := plan(t)
		c := &clock{now: time.Unix(1000, 0)}
		meters := make(map[psdoc.Name]*pslink.Meter)
		far := make(map[psdoc.Name]*psplan.Region)
		for _, v := range p.VMs {
			meters[v.Name] = pslink.NewMeter(v.Name, fixed{p}, c.Now)
			far[v.Name] = p.Regions[0]
			if v.Domain.Region.Name == "north" {
				far[v.Name] = p.Regions[1]
			}
			meters[v.Name].MayCross(far[v.Name])
		}
		began, moved := c.now, int64(0)
		// What is under way when a part is empty is at most one request at each VM.
		const largest = 20_000
		for range 200 {
			v := p.VMs[rapid.IntRange(0, 2).Draw(t, "vm")].Name
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			if meters[v].MayCross(far[v]) {
				n := int64(rapid.IntRange(1, largest).Draw(t, "bytes"))
				meters[v].Charge(far[v], n)
				moved += n
			}
			limit := linkBytes*c.now.Sub(began).Seconds() + 3*largest
			if float64(moved) > limit {
				t.Fatalf("%d bytes after %s", moved, c.now.Sub(began))
			}
		}
	})
}

func TestDebtIsPaidBeforeMoreCrosses(t *testing.T) {
	c := qt.New(t)
	p := plan(t)
	k := &clock{now: time.Unix(1000, 0)}
	m := pslink.NewMeter("vm-0", fixed{p}, k.Now)
	south, west := p.Regions[1], p.Regions[2]
	c.Assert(m.MayCross(west), qt.IsTrue, qt.Commentf("a region without a link is not bounded"))
	c.Assert(m.MayCross(south), qt.IsFalse, qt.Commentf("a part starts empty"))
	k.now = k.now.Add(time.Second)
	c.Assert(m.MayCross(south), qt.IsTrue)
	// A quarter of the weight gives 250,000 bytes a second, of which a quarter is saved up.
	m.Charge(south, 100_000)
	c.Assert(m.MayCross(south), qt.IsFalse)
	k.now = k.now.Add(100 * time.Millisecond)
	c.Assert(m.MayCross(south), qt.IsFalse, qt.Commentf("a debt of 37,500 bytes takes 150 ms"))
	k.now = k.now.Add(60 * time.Millisecond)
	c.Assert(m.MayCross(south), qt.IsTrue)
}
