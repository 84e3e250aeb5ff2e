// Package psshare computes this VM's share of the limits that hold for the whole fleet: the request rates of
// workspaces, the requests to servers in their cold start, and the ownership of tokens that one VM grants
// for all.
//
// All VMs of a group, as package pslease defines it, compute the shares by the same rules from the reports that they
// exchange, so the shares add up to the parts that the group uses at most.
package psshare

import (
	"math"
	"slices"
	"time"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/pslease"
	"persimmonstep/internal/process/psrate"
	"persimmonstep/internal/version/psconfig"
)

// rateChangeTime is how long after a change of a workspace's rate other VMs may go by the former one.
const rateChangeTime = 10 * time.Second

// Shares computes this VM's shares of the workspaces' rates.
type Shares struct {
	// own are the demands that this VM reported to the others, by workspace, and others those that it received, by VM.
	own    map[string]*psrate.DemandHistory
	others map[string]*peerHistory
	rates  map[string]*rate
	// computed are the shares that were computed lately, by workspace, while there are VMs of earlier builds.
	computed map[string]*psrate.ShareHistory
}

// rate is the rate of a workspace, in requests per second, and the one before its last change.
type rate struct {
	current, former float64
	changedAt       time.Time
}

// New returns the shares of a VM that starts now.
func New() *Shares {
	return &Shares{
		own: map[string]*psrate.DemandHistory{}, others: map[string]*peerHistory{}, rates: map[string]*rate{},
		computed: map[string]*psrate.ShareHistory{},
	}
}

// Record adds the demands that this VM reports now.
func (s *Shares) Record(demands map[string]float64, now time.Time) {
	for name := range demands {
		if s.own[name] == nil {
			s.own[name] = &psrate.DemandHistory{}
		}
	}
	for name, d := range s.own {
		d.Record(demands[name], now)
	}
}

// RateShares returns this VM's share of each workspace's rate that is split. The others have one owner of their tokens; their number
// is that of most workspaces in a large fleet, where a share takes a look at the demands of all VMs.
func (s *Shares) RateShares(f *psfleet.Fleet, h pslease.Holding, x *psconfig.Index, now time.Time) map[string]float64 {
	if x == nil {
		return nil
	}
	s.recordPeers(f, now)
	list := x.Configuration.Workspaces
	shares := make(map[string]float64, len(list))
	for i := range list {
		rates := s.knownRates(&list[i], now)
		if isSplit(&list[i], h) {
			shares[list[i].Name] = s.share(f, h, &list[i], rates, x.Configuration.Version, now)
		}
	}
	return shares
}

// isSplit reports whether the rate of a workspace is split by any of the numbers of parts by which VMs may go.
func isSplit(w *psconfig.Workspace, h pslease.Holding) bool {
	limit := psrate.Limit{Rate: w.Rate, Burst: w.Burst}
	return slices.ContainsFunc(h.DecisiveParts, func(parts int) bool { return !psrate.SingleOwner(limit, parts) })
}

// share returns this VM's share of a workspace's rate.
func (s *Shares) share(f *psfleet.Fleet, h pslease.Holding, w *psconfig.Workspace, rates []float64, version int64, now time.Time) float64 {
	if w.Rate <= 0 {
		return h.Part()
	}
	switch h.Split {
	case pslease.SplitByNeed:
		return s.shareByNeed(f, h, w.Name, rates, version, now)
	case pslease.SplitAsEarlier:
		return s.earlierShare(f, h, w, now)
	}
	return min(s.shareByNeed(f, h, w.Name, rates, version, now), s.earlierShare(f, h, w, now))
}

// knownRates returns the rates of a workspace by which VMs may go now.
func (s *Shares) knownRates(w *psconfig.Workspace, now time.Time) []float64 {
	r, found := s.rates[w.Name]
	if !found {
		r = &rate{current: w.Rate}
		s.rates[w.Name] = r
	}
	if r.current != w.Rate {
		r.current, r.former, r.changedAt = w.Rate, r.current, now
	}
	if r.former > 0 && now.Sub(r.changedAt) < rateChangeTime {
		return []float64{r.current, r.former}
	}
	return []float64{r.current}
}

// shareByNeed returns this VM's share where all VMs lend what they can spare to those that need more than their own part.
func (s *Shares) shareByNeed(f *psfleet.Fleet, h pslease.Holding, workspace string, rates []float64, version int64, now time.Time) float64 {
	terms := psrate.NewTerms(rates, h.DecisiveParts)
	least, most := settleTime(f, h.DecisiveParts)
	sum, guest := 0.0, h.Part() <= 0
	for n, g := range h.Groups {
		others := 0.0
		for _, i := range g.Members[1:] {
			if demand := s.sustained(i.VM, workspace, least, now); demand > 0 {
				others += terms.OtherNeed(demand, isGuest(f, i.VM))
			}
		}
		if n == 0 && !guest {
			if g.Leased {
				others = leasedNeeds(f, g, terms, workspace, version, least, now)
			}
			sum += s.kept(h, terms, workspace, others, now)
		}
		need := terms.OwnNeed(s.ownDemand(workspace, max(g.Window, most), now), guest)
		if need <= 0 {
			continue
		}
		spares := 0.0
		for _, name := range g.Lenders {
			spares += terms.OtherSpare(s.latest(name, workspace))
		}
		sum += terms.Borrowed(spares, need, others+need) / float64(h.Parts)
	}
	return sum
}

// kept returns how much of its own part this VM may use, where the others that may borrow it have needs.
func (s *Shares) kept(h pslease.Holding, t psrate.Terms, workspace string, needs float64, now time.Time) float64 {
	own := h.Groups[0]
	if own.Leased {
		// The demands that an earlier process of this VM has reported aren't known. It may have had none.
		return own.Own * t.Kept(t.OwnSpare(0), needs)
	}
	// A VM that doesn't hear this one for longer borrows nothing of it.
	demand := s.ownDemand(workspace, min(own.Window, h.LeaseTime), now)
	return own.Own * t.Kept(t.OwnSpare(demand), needs)
}

// leasedNeeds bounds the sum of the needs for which the other members of a group may use what an earlier process of this VM has
// lent them. A VM borrows for the lowest of its demands within a time that is longer than span, so a report that is not older
// than span bounds its need. The sum is unbounded while such a report of a member is missing, or while a member goes by another
// version of the configuration.
func leasedNeeds(f *psfleet.Fleet, g pslease.Group, t psrate.Terms, workspace string, version int64, span time.Duration, now time.Time) float64 {
	needs := 0.0
	for _, i := range g.Members[1:] {
		p, found := f.Peer(i.VM)
		switch {
		case !found || p.Report == nil || p.Silence(now) >= span:
			return math.Inf(1)
		case p.Ended():
		case p.Report.Version != version:
			return math.Inf(1)
		default:
			needs += t.OtherNeed(p.Report.Demands[workspace], isGuest(f, i.VM))
		}
	}
	return needs
}

// earlierShare returns this VM's share where some VMs are of earlier builds: the lower one of the shares by the rules of these,
// as a VM doesn't know which of them others go by.
func (s *Shares) earlierShare(f *psfleet.Fleet, h pslease.Holding, w *psconfig.Workspace, now time.Time) float64 {
	byDemand, byNeed := 0.0, 0.0
	latest := s.ownDemand(w.Name, 0, now)
	for _, g := range h.Groups {
		total, others := 0.0, make([]float64, 0, len(g.Members)-1)
		for _, i := range g.Members[1:] {
			others = append(others, s.latest(i.VM, w.Name))
			total += others[len(others)-1]
		}
		own, part, borrowed := s.ownDemand(w.Name, g.Window, now), g.Own, float64(len(g.Lenders))/float64(h.Parts)
		if g.Leased {
			// Only the floor of the VM's own part can't be in use by others.
			byDemand += psrate.FloorShare * part
			byNeed += psrate.FloorShare * part
			part = 0
		}
		byDemand += psrate.EarlierShare(part, borrowed, own, own+total)
		byNeed += (part + borrowed) * psrate.EarlierShareByNeed(w.Rate, latest, others)
	}
	return min(byDemand, s.history(w.Name).Record(byNeed, f.PropagationTime()+f.ReportInterval(), now))
}

// history returns the shares of a workspace that were computed lately by the rule of an earlier build.
func (s *Shares) history(workspace string) *psrate.ShareHistory {
	h, found := s.computed[workspace]
	if !found {
		h = &psrate.ShareHistory{}
		s.computed[workspace] = h
	}
	return h
}

// ownDemand returns the lowest demand of a workspace at this VM that another one may know, by reports that are not older than
// window.
func (s *Shares) ownDemand(workspace string, window time.Duration, now time.Time) float64 {
	d, found := s.own[workspace]
	if !found {
		return 0
	}
	return d.Propagated(window, now)
}

// isGuest reports whether another VM owns no part, by its last report.
func isGuest(f *psfleet.Fleet, vm string) bool {
	p, found := f.Peer(vm)
	return found && p.Report != nil && p.Report.Lease != nil && p.Report.Lease.Guest
}

// Of returns the share of a workspace's rate: the listed one, or the VM's own part if it isn't listed.
func Of(shares map[string]float64, own float64, workspace string) float64 {
	if share, found := shares[workspace]; found {
		return share
	}
	return own
}
