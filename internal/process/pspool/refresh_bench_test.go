package pspool_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"persimmonstep/internal/process/pspool"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// BenchmarkRefresh is the look that a VM takes ten times a second, at the expected size.
func BenchmarkRefresh(b *testing.B) {
	const servers, workspaces, domains = 4500, 8000, 90
	var text strings.Builder
	text.WriteString("document = \"large\"\nregions = [{name = \"r\"}]\n")
	for i := range domains {
		fmt.Fprintf(&text, "[[failureDomains]]\nname = \"d%d\"\nregion = \"r\"\n", i)
		fmt.Fprintf(&text, "[[vms]]\nname = \"vm-%d\"\nfailureDomain = \"d%d\"\ncallers = \"10.0.0.%d:1\"\npeer = \"10.0.0.%d:2\"\noperator = \"10.0.0.%d:3\"\n", i, i, i, i, i)
	}
	for i := range servers {
		fmt.Fprintf(&text, "[[servers]]\nname = \"s%d\"\nfailureDomain = \"d%d\"\naddress = \"10.1.%d.%d:1\"\npool = \"p\"\nslots = 5\n", i, i%domains, i/250, i%250)
	}
	for i := range workspaces {
		fmt.Fprintf(&text, "[[workspaces]]\nname = \"w%d\"\nrate = 100.0\nburst = 50.0\n", i)
	}
	d, findings := psdoc.Parse("large.toml", []byte(text.String()))
	p, faults := psplan.Compile(1, []*psdoc.Document{d})
	if len(findings)+len(faults) > 0 {
		b.Fatal(append(findings, faults...))
	}
	dispatcher := pspool.NewDispatcher(pspool.Config{
		Self: "vm-0", Plans: fixed{p}, Health: healthy{}, Fence: &fence{whole: true}, Shifts: shiftAll{}, Now: time.Now,
	})
	dispatcher.Refresh()
	b.ReportAllocs()
	for b.Loop() {
		dispatcher.Refresh()
	}
}
