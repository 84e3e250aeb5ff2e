package psdirectory_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psdirectory"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// except takes all VMs for usable but some.
type except map[psdoc.Name]bool

func (e except) Usable(vm psdoc.Name) bool { return !e[vm] }

// fleet has two regions with two failure domains each and a number of VMs in each domain.
func fleet(t testing.TB, vms int) *psplan.Plan {
	t.Helper()
	var text strings.Builder
	text.WriteString("document = \"fleet\"\n[[workspaces]]\nname = \"small\"\nrate = 20\nburst = 10\n[[workspaces]]\nname = \"large\"\nrate = 6000\nburst = 1000\n")
	n := 0
	for _, r := range []string{"north", "south"} {
		fmt.Fprintf(&text, "[[regions]]\nname = %q\n", r)
		for _, d := range []string{r + "-a", r + "-b"} {
			fmt.Fprintf(&text, "[[failureDomains]]\nname = %q\nregion = %q\n", d, r)
			for i := range vms {
				n++
				fmt.Fprintf(&text, "[[vms]]\nname = \"%s-%d\"\nfailureDomain = %q\ncallers = \"10.0.0.%d:1\"\npeer = \"10.0.0.%d:2\"\noperator = \"10.0.0.%d:3\"\n", d, i, d, n, n, n)
			}
		}
	}
	d, findings := psdoc.Parse("fleet.toml", []byte(text.String()))
	p, faults := psplan.Compile(1, []*psdoc.Document{d})
	qt.Assert(t, append(findings, faults...), qt.HasLen, 0)
	return p
}

func domains(a psdirectory.Answer) []string {
	var out []string
	for _, e := range a.VMs {
		out = append(out, string(e.FailureDomain))
	}
	return out
}

func TestRankOutlivesADomainAndARegion(t *testing.T) {
	p := fleet(t, 3)
	home, _ := p.Domain("north-a")
	tests := []struct {
		name string
		down except
		want []string
	}{
		{"all usable", nil, []string{"north-a", "north-a", "north-b", "south-?"}},
		{"home domain down", except{"north-a-0": true, "north-a-1": true, "north-a-2": true}, []string{"north-b", "south-?"}},
		{"one usable at home", except{"north-a-0": true, "north-a-1": true}, []string{"north-a", "north-b", "south-?"}},
		{"other region down", except{"south-a-0": true, "south-a-1": true, "south-a-2": true, "south-b-0": true, "south-b-1": true, "south-b-2": true}, []string{"north-a", "north-a", "north-b", "north-a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := domains(psdirectory.Rank(p, home, "small", 0, tt.down))
			for i := range got {
				if strings.HasPrefix(got[i], "south") {
					got[i] = "south-?"
				}
			}
			qt.Assert(t, got, qt.DeepEquals, tt.want)
		})
	}
}

func TestCallersOfASmallWorkspaceMeetAndThoseOfALargeOneSpread(t *testing.T) {
	c := qt.New(t)
	p := fleet(t, 4)
	home, _ := p.Domain("north-a")
	firsts := func(workspace psdoc.Name) map[psdoc.Name]int {
		out := make(map[psdoc.Name]int)
		for i := range 200 {
			caller := netip.AddrFrom4([4]byte{192, 0, 2, byte(i)})
			turn := psdirectory.Turn(caller, psdirectory.Spread(p, workspace, home))
			out[psdirectory.Rank(p, home, workspace, turn, except{}).VMs[0].Name]++
		}
		return out
	}
	c.Assert(firsts("small"), qt.HasLen, 1)
	// 6,000 requests a second over 4 domains are 1,500 a domain, which want 3 VMs.
	large := firsts("large")
	c.Assert(large, qt.HasLen, 3)
	for vm, n := range large {
		c.Assert(n > 200/3/2, qt.IsTrue, qt.Commentf("%s got %d of 200", vm, n))
	}
}

func BenchmarkRank(b *testing.B) {
	p := fleet(b, 24)
	home, _ := p.Domain("north-a")
	b.ReportAllocs()
	for b.Loop() {
		psdirectory.Rank(p, home, "small", 0, except{})
	}
}
