package psplan_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

func TestNearestTakesTheLongestBlock(t *testing.T) {
	c := qt.New(t)
	d, findings := psdoc.Parse("blocks.toml", []byte(`
document = "network"
regions = [{name = "north"}, {name = "south"}]
failureDomains = [{name = "north-a", region = "north"}, {name = "south-a", region = "south"}]
clientBlocks = [
  {prefix = "10.0.0.0/8", failureDomain = "north-a"},
  {prefix = "10.9.0.0/17", failureDomain = "south-a"},
  {prefix = "2001:db8::/32", failureDomain = "south-a"},
]
`))
	c.Assert(findings, qt.HasLen, 0)
	p, findings := psplan.Compile(1, []*psdoc.Document{d})
	c.Assert(findings, qt.HasLen, 0)
	tests := []struct {
		address string
		domain  psdoc.Name
	}{
		{"10.1.1.1", "north-a"},
		{"10.9.1.1", "south-a"},
		{"10.9.128.1", "north-a"},
		{"2001:db8:1::1", "south-a"},
		{"192.0.2.1", ""},
	}
	for _, tt := range tests {
		got, found := p.Nearest(netip.MustParseAddr(tt.address))
		c.Check(found, qt.Equals, tt.domain != "")
		if found {
			c.Check(got.Name, qt.Equals, tt.domain)
		}
	}
}

func TestTooLongBlockIsAFinding(t *testing.T) {
	d, findings := psdoc.Parse("blocks.toml", []byte(`
document = "network"
regions = [{name = "north"}]
failureDomains = [{name = "north-a", region = "north"}]
clientBlocks = [{prefix = "2001:db8::/96", failureDomain = "north-a"}]
`))
	qt.Assert(t, findings, qt.HasLen, 0)
	_, findings = psplan.Compile(1, []*psdoc.Document{d})
	qt.Assert(t, findings, qt.HasLen, 1)
	qt.Assert(t, findings[0].Message, qt.Contains, "longer than /64")
}
