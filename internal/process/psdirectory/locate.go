package psdirectory

import (
	"net/netip"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// BlockLocator places callers by the plan's client blocks. A caller that no block holds
// belongs to the failure domain of the VM that it asked.
type BlockLocator struct {
	// Self is the VM's own name.
	Self psdoc.Name
}

// Locate finds the failure domain of the longest block that holds the caller.
func (l BlockLocator) Locate(p *psplan.Plan, caller netip.Addr) *psplan.Domain {
	if d, found := p.Nearest(caller); found {
		return d
	}
	if v, found := p.VM(l.Self); found {
		return v.Domain
	}
	return nil
}

// Home finds the region in which a caller's requests run without being shifted.
func (l BlockLocator) Home(p *psplan.Plan, caller netip.Addr) *psplan.Region {
	if d := l.Locate(p, caller); d != nil {
		return d.Region
	}
	return nil
}
