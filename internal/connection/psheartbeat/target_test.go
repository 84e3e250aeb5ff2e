package psheartbeat

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// largePlan has the given number of domains and VMs in each.
func largePlan(domains, vms int) *psplan.Plan {
	var documents []*psdoc.Document
	d := &psdoc.Document{Document: "network", Regions: []psdoc.Region{{Name: "r"}}}
	n := 0
	for i := range domains {
		name := psdoc.Name(fmt.Sprintf("d%d", i))
		d.FailureDomains = append(d.FailureDomains, psdoc.FailureDomain{Name: name, Region: "r"})
		for j := range vms {
			v := psdoc.VM{Name: psdoc.Name(fmt.Sprintf("d%d-%d", i, j)), FailureDomain: name}
			v.Callers, v.Peer, v.Operator = address(n), address(n+1), address(n+2)
			n += 3
			d.VMs = append(d.VMs, v)
		}
	}
	p, findings := psplan.Compile(1, append(documents, d))
	if len(findings) > 0 {
		panic(findings)
	}
	return p
}

func TestTargetsOfALargeFleet(t *testing.T) {
	c := qt.New(t)
	const domains, vms = 90, 24
	p := largePlan(domains, vms)
	// reached counts the VMs of domain d0 that the VMs of d1 prefer.
	reached := make(map[psdoc.Name]bool)
	for i, v := range p.VMs {
		if i%50 != 0 && v.Domain.Name != "d1" {
			continue
		}
		x := newTargets(p, v.Name)
		c.Assert(x.near, qt.HasLen, vms-1)
		c.Assert(x.far, qt.HasLen, domains-1)
		beats := float64(len(x.near)+len(x.far)) / x.interval().Seconds()
		c.Assert(beats <= maxBeatsPerSecond, qt.IsTrue)
		if v.Domain.Name == "d1" {
			reached[x.far[0][0].Name] = true
		}
	}
	c.Assert(len(reached) >= vms/3, qt.IsTrue, qt.Commentf("%d", len(reached)))
	c.Assert(newTargets(largePlan(6, 2), "d0-0").interval() < time.Second, qt.IsTrue)
}

func TestDueSkipsTheHeardAndTriesOthers(t *testing.T) {
	c := qt.New(t)
	p := largePlan(2, 3)
	h := &Heart{
		self: "d0-0", plans: fixed{p},
		heard: make(map[psdoc.Name]time.Time), sent: make(map[psdoc.Name]time.Time), pending: make(map[psdoc.Name]bool),
	}
	c.Assert(h.due(), qt.HasLen, 3)
	c.Assert(h.due(), qt.HasLen, 0)
	// All answered, so none is due before the interval has passed, unless there are news.
	clear(h.pending)
	now := time.Now()
	for n := range h.sent {
		h.heard[n], h.sent[n] = now, now
	}
	c.Assert(h.due(), qt.HasLen, 0)
	h.urgent = true
	c.Assert(h.due(), qt.HasLen, 3)
	// Nobody is heard of for long: each VM of the other domain is tried in turn.
	tried := make(map[psdoc.Name]bool)
	for range 3 {
		clear(h.pending)
		for n := range h.sent {
			h.heard[n] = now.Add(-time.Hour)
			h.sent[n] = h.sent[n].Add(-time.Minute)
		}
		for _, v := range h.due() {
			if v.Domain.Name == "d1" {
				tried[v.Name] = true
			}
		}
	}
	c.Assert(tried, qt.HasLen, 3)
}

type fixed struct{ plan *psplan.Plan }

func (f fixed) Plan() *psplan.Plan { return f.plan }

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(n >> 8), byte(n)}), 1000)
}
