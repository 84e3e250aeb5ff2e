package psplan_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// domainOf has one failure domain with a number of VMs and of servers in one pool.
func domainOf(t *testing.T, vms, servers int) *psplan.Plan {
	t.Helper()
	var text strings.Builder
	text.WriteString("document = \"d\"\n[[regions]]\nname = \"r\"\n[[failureDomains]]\nname = \"f\"\nregion = \"r\"\n")
	for i := range vms {
		fmt.Fprintf(&text, "[[vms]]\nname = \"vm-%d\"\nfailureDomain = \"f\"\ncallers = \"10.0.0.%d:1\"\npeer = \"10.0.0.%d:2\"\noperator = \"10.0.0.%d:3\"\n", i, i, i, i)
	}
	for i := range servers {
		fmt.Fprintf(&text, "[[servers]]\nname = \"server-%d\"\nfailureDomain = \"f\"\naddress = \"10.0.1.%d:1\"\npool = \"p\"\nslots = 5\n", i, i)
	}
	d, findings := psdoc.Parse("d.toml", []byte(text.String()))
	p, faults := psplan.Compile(1, []*psdoc.Document{d})
	qt.Assert(t, append(findings, faults...), qt.HasLen, 0)
	return p
}

func TestServersAreSpreadOverTheVMsOfTheirDomain(t *testing.T) {
	for _, tt := range []struct{ vms, servers, most int }{{2, 2, 1}, {2, 5, 3}, {3, 16, 6}, {24, 50, 3}, {1, 7, 7}} {
		t.Run(fmt.Sprintf("%d VMs %d servers", tt.vms, tt.servers), func(t *testing.T) {
			counts := make(map[psdoc.Name]int)
			for _, s := range domainOf(t, tt.vms, tt.servers).Servers {
				counts[s.Owner.Name]++
			}
			for n, v := range counts {
				qt.Check(t, v <= tt.most, qt.IsTrue, qt.Commentf("%s owns %d", n, v))
			}
		})
	}
}

func TestDomainWithoutVMsHasNoOwners(t *testing.T) {
	for _, s := range domainOf(t, 0, 3).Servers {
		qt.Check(t, s.Owner, qt.IsNil)
	}
}

func TestAnotherVMMovesFewServers(t *testing.T) {
	c := qt.New(t)
	before, after := domainOf(t, 8, 64), domainOf(t, 9, 64)
	moved := 0
	for i, s := range before.Servers {
		if after.Servers[i].Owner.Name != s.Owner.Name {
			moved++
		}
	}
	// The new VM must get a ninth, which is 7 servers; twice that leaves most in place.
	c.Assert(moved <= 2*8, qt.IsTrue, qt.Commentf("%d of 64 moved", moved))
	c.Assert(moved > 0, qt.IsTrue)
}
