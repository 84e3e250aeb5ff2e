package psdirectory

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
	"persimmonstep/internal/version/psrendezvous"
)

const (
	// maxVMs bounds the VMs of one answer.
	maxVMs = 4
	// maxFromDomain bounds those of the caller's failure domain, so that an answer outlives
	// the domain.
	maxFromDomain = 2
	// vmRate is the rate of one workspace that one VM takes well, in requests per second.
	vmRate = 500
)

// Rank makes the answer for a caller near a failure domain, which may be nil. The turn
// spreads the callers of a large workspace over the VMs of the domain.
//
// The answer names VMs of the caller's failure domain, then of other domains of its region,
// and last one of another region, which callers reach only after the others failed them.
func Rank(p *psplan.Plan, home *psplan.Domain, workspace psdoc.Name, turn uint64, m Members) Answer {
	r := &ranking{members: m, workspace: workspace}
	if home == nil {
		r.take(p.VMs, maxVMs)
		return answerOf(p, r.out)
	}
	r.takeTurn(home.VMs, maxFromDomain, turn, Spread(p, workspace, home))
	for _, d := range r.order(home, home.Region.Domains) {
		r.take(d.VMs, 1)
	}
	r.out = r.out[:min(len(r.out), maxVMs-1)]
	r.takeElsewhere(p, home)
	r.take(home.VMs, maxVMs)
	return answerOf(p, r.out)
}

// Spread returns the number of VMs of a failure domain over which the callers of a
// workspace are spread: few, so that its requests meet there and its rate needs few loans.
func Spread(p *psplan.Plan, workspace psdoc.Name, home *psplan.Domain) int {
	w, found := p.Workspace(workspace)
	if !found || home == nil || len(home.VMs) == 0 || len(p.Domains) == 0 {
		return 1
	}
	need := math.Ceil(w.Rate / float64(len(p.Domains)) / vmRate)
	return int(min(max(need, 1), float64(len(home.VMs))))
}

// Turn returns the turn of a caller among its workspace's callers.
func Turn(caller netip.Addr, spread int) uint64 {
	if spread <= 1 {
		return 0
	}
	a := caller.As16()
	return xxhash.Sum64(a[:]) % uint64(spread)
}

// ranking collects the VMs of an answer.
type ranking struct {
	members   Members
	workspace psdoc.Name
	out       []*psplan.VM
}

// take adds at most n usable VMs that are not in yet, those with affinity first.
func (r *ranking) take(vms []*psplan.VM, n int) {
	r.takeTurn(vms, n, 0, 1)
}

// takeTurn adds VMs as take does, after turning the first few of them.
func (r *ranking) takeTurn(vms []*psplan.VM, n int, turn uint64, spread int) {
	usable := make([]ranked, 0, len(vms))
	for _, v := range vms {
		if r.members.Usable(v.Name) && !slices.Contains(r.out, v) {
			usable = append(usable, ranked{v, psrendezvous.Score(r.workspace, v.Name)})
		}
	}
	slices.SortFunc(usable, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.affinity, a.affinity), cmp.Compare(a.vm.Name, b.vm.Name))
	})
	rotate(usable[:min(spread, len(usable))], turn)
	for _, v := range usable {
		if n == 0 || len(r.out) >= maxVMs {
			return
		}
		r.out = append(r.out, v.vm)
		n--
	}
}

// ranked is a VM with its affinity to the workspace.
type ranked struct {
	vm       *psplan.VM
	affinity uint64
}

// rotate moves the element at the turn to the front.
func rotate(vms []ranked, turn uint64) {
	if len(vms) == 0 {
		return
	}
	k := int(turn % uint64(len(vms)))
	turned := slices.Concat(vms[k:], vms[:k])
	copy(vms, turned)
}

// order lists the other failure domains of a region, those with affinity first.
func (r *ranking) order(home *psplan.Domain, domains []*psplan.Domain) []*psplan.Domain {
	out := slices.DeleteFunc(slices.Clone(domains), func(d *psplan.Domain) bool { return d == home })
	slices.SortFunc(out, func(a, b *psplan.Domain) int {
		return cmp.Compare(psrendezvous.Score(r.workspace, b.Name), psrendezvous.Score(r.workspace, a.Name))
	})
	return out
}

// takeElsewhere adds one VM of another region.
func (r *ranking) takeElsewhere(p *psplan.Plan, home *psplan.Domain) {
	regions := slices.Clone(p.Regions)
	slices.SortFunc(regions, func(a, b *psplan.Region) int {
		return cmp.Compare(psrendezvous.Score(home.Region.Name, b.Name), psrendezvous.Score(home.Region.Name, a.Name))
	})
	for _, g := range regions {
		if g == home.Region {
			continue
		}
		for _, d := range r.order(home, g.Domains) {
			before := len(r.out)
			r.take(d.VMs, 1)
			if len(r.out) > before {
				return
			}
		}
	}
}
