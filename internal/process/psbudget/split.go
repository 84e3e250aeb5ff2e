package psbudget

import (
	"cmp"
	"math"
	"slices"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
	"persimmonstep/internal/version/psrendezvous"
)

// MaxSplit is the number of VMs up to which a budget is split over all VMs. A larger fleet
// splits it over its failure domains, and one VM of each domain holds the domain's part.
const MaxSplit = 16

// Share is the base share of one VM in a budget.
type Share struct {
	// VM holds the share.
	VM *psplan.VM
	// Part is the share, from 0 to 1.
	Part float64
}

// Split returns the base shares of a budget in a plan. They follow from the plan and the
// budget's key and burst alone, and add up to 1. A burst that is too small for a whole token
// in each part is held by as many VMs as it has whole tokens.
func Split(p *psplan.Plan, key psdoc.Name, burst float64) []Share {
	places := holders(p, key)
	if n := int(math.Max(1, math.Min(burst, float64(len(places))))); n < len(places) {
		slices.SortFunc(places, func(a, b Share) int {
			return cmp.Compare(psrendezvous.Score(key, b.VM.Name), psrendezvous.Score(key, a.VM.Name))
		})
		places = places[:n]
		for i := range places {
			places[i].Part = 1
		}
	}
	sum := 0.0
	for _, s := range places {
		sum += s.Part
	}
	for i := range places {
		places[i].Part /= sum
	}
	return places
}

// holders lists the VMs that can hold a part, with their weights.
func holders(p *psplan.Plan, key psdoc.Name) []Share {
	if len(p.VMs) <= MaxSplit {
		out := make([]Share, 0, len(p.VMs))
		for _, v := range p.VMs {
			if v.Weight > 0 {
				out = append(out, Share{VM: v, Part: v.Weight})
			}
		}
		return out
	}
	at := make(map[*psplan.Domain]int)
	var out []Share
	for _, v := range p.VMs {
		i, found := at[v.Domain]
		switch {
		case v.Weight <= 0:
		case !found:
			at[v.Domain] = len(out)
			out = append(out, Share{VM: v, Part: v.Weight})
		default:
			out[i].Part += v.Weight
			if psrendezvous.Score(key, v.Name) > psrendezvous.Score(key, out[i].VM.Name) {
				out[i].VM = v
			}
		}
	}
	return out
}

// shareOf finds a VM's part.
func shareOf(shares []Share, vm psdoc.Name) float64 {
	for _, s := range shares {
		if s.VM.Name == vm {
			return s.Part
		}
	}
	return 0
}
