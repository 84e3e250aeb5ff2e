package psversion_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
	"persimmonstep/internal/version/psversion"
)

// size is the size of a configuration.
type size struct {
	regions, domains, vms, servers, workspaces int
}

// sizes lead from today's size to the expected one.
var sizes = []size{
	{3, 6, 9, 40, 8},
	{3, 6, 90, 400, 800},
	{26, 90, 500, 1000, 2000},
	{26, 90, 2200, 4500, 8000},
}

func (s size) String() string {
	return fmt.Sprintf("vms=%d/servers=%d/workspaces=%d", s.vms, s.servers, s.workspaces)
}

// content writes a configuration of a size, one document for each kind.
func (s size) content() *psversion.Content {
	var network, servers, workspaces strings.Builder
	network.WriteString("document = \"network\"\n")
	for i := range s.regions {
		fmt.Fprintf(&network, "[[regions]]\nname = \"r%d\"\n", i)
	}
	for i := range s.domains {
		fmt.Fprintf(&network, "[[failureDomains]]\nname = \"d%d\"\nregion = \"r%d\"\n", i, i%s.regions)
	}
	for i := range s.vms {
		fmt.Fprintf(&network, "[[vms]]\nname = \"vm%d\"\nfailureDomain = \"d%d\"\ncallers = %q\npeer = %q\noperator = %q\n", i, i%s.domains, address(i, 1), address(i, 2), address(i, 3))
	}
	servers.WriteString("document = \"servers\"\n")
	for i := range s.servers {
		fmt.Fprintf(&servers, "[[servers]]\nname = \"s%d\"\nfailureDomain = \"d%d\"\naddress = %q\npool = \"p%d\"\nslots = 5\n", i, i%s.domains, address(i, 4), i%3)
	}
	workspaces.WriteString("document = \"workspaces\"\n")
	for i := range s.workspaces {
		fmt.Fprintf(&workspaces, "[[workspaces]]\nname = \"w%d\"\nrate = 100.0\nburst = 50.0\n[[keys]]\nid = \"k%d\"\nworkspace = \"w%d\"\ndigest = \"sha256:%064d\"\n", i, i, i, i+1)
	}
	return &psversion.Content{Version: 1, Documents: map[psdoc.Name]string{
		"network": network.String(), "servers": servers.String(), "workspaces": workspaces.String(),
	}}
}

func address(n int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), port)
}

// BenchmarkCompile is what a VM does with a new version that it read as a whole.
func BenchmarkCompile(b *testing.B) {
	for _, s := range sizes {
		c := s.content()
		bytes := 0
		for _, d := range c.Documents {
			bytes += len(d)
		}
		b.Run(s.String(), func(b *testing.B) {
			b.ReportAllocs()
			before := heap()
			var p *psplan.Plan
			for b.Loop() {
				var err error
				p, err = c.Compile()
				qt.Assert(b, err, qt.IsNil)
			}
			b.ReportMetric(float64(bytes), "documentB")
			b.ReportMetric(float64(heap()-before), "planB")
			runtime.KeepAlive(p)
		})
	}
}

// BenchmarkCompileChange compiles versions that differ in one document of some lines.
func BenchmarkCompileChange(b *testing.B) {
	for _, s := range sizes {
		c := s.content()
		b.Run(s.String(), func(b *testing.B) {
			b.ReportAllocs()
			var k psversion.Compiler
			before := heap()
			for b.Loop() {
				c.Version++
				c.Documents["drains"] = fmt.Sprintf("document = \"drains\"\n[[drains]]\nserver = \"s%d\"\n", c.Version%uint64(s.servers))
				_, err := k.Compile(c)
				qt.Assert(b, err, qt.IsNil)
			}
			b.ReportMetric(float64(heap()-before), "keptB")
			runtime.KeepAlive(&k)
		})
	}
}

func TestCompilerTakesOverEachChange(t *testing.T) {
	c := qt.New(t)
	var k psversion.Compiler
	content := sizes[0].content()
	leaving := func(name psdoc.Name) bool {
		content.Version++
		p, err := k.Compile(content)
		c.Assert(err, qt.IsNil)
		c.Assert(p.Version, qt.Equals, content.Version)
		s, found := p.Server(name)
		c.Assert(found, qt.IsTrue)
		return s.Leaving
	}
	c.Assert(leaving("s1"), qt.IsFalse)
	content.Documents["drains"] = "document = \"drains\"\n[[drains]]\nserver = \"s1\"\n"
	c.Assert(leaving("s1"), qt.IsTrue)
	// A version with faults changes nothing of what the next ones are compiled from.
	content.Documents["drains"] = "document = \"drains\"\n[[drains]]\nserver = \"nowhere\"\n"
	_, err := k.Compile(content)
	c.Assert(err, qt.ErrorMatches, `.*unknown backend server "nowhere"`)
	delete(content.Documents, "drains")
	c.Assert(leaving("s1"), qt.IsFalse)
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
