package psplan

import (
	"net/netip"

	"persimmonstep/internal/version/psblock"
)

// Nearest returns the failure domain of the longest client block that holds the address.
func (p *Plan) Nearest(a netip.Addr) (*Domain, bool) {
	s, found := p.blocks.Lookup(a)
	if !found {
		return nil, false
	}
	return p.Domains[s], true
}

// compileBlocks makes the table of the client blocks.
func compileBlocks(p *Plan) psblock.Table {
	sites := make(map[*Domain]psblock.Site, len(p.Domains))
	for i, d := range p.Domains {
		sites[d] = psblock.Site(i)
	}
	blocks := make([]psblock.Block, len(p.Blocks))
	for i, b := range p.Blocks {
		blocks[i] = psblock.Block{Prefix: b.Prefix, Site: sites[b.Domain]}
	}
	return *psblock.Build(blocks)
}
