package pslease_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/pslease"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psrate"
	"persimmonstep/internal/process/pssnapshot"
)

// earlierBuild is a build before leases.
type earlierBuild int

const (
	// sharesByDemand is 1b2acdd, and sharesByNeed 78dc289.
	sharesByDemand earlierBuild = iota
	sharesByNeed
)

var earlierBuilds = map[string]earlierBuild{"shares by demand": sharesByDemand, "shares by need": sharesByNeed}

// earlierShare computes the shares of a VM of an earlier build.
type earlierShare struct {
	build    earlierBuild
	demands  map[string]*psrate.DemandHistory
	computed map[string]*psrate.ShareHistory
	// stable are the shares at the last time when all VMs were live.
	stable map[string]float64
}

// startEarlier starts a VM of an earlier build.
func (v *modelVM) startEarlier() {
	v.identity.Features = psmessage.CurrentFeatures &^ psmessage.Leases
	v.earlierShare = earlierShare{build: v.earlierShare.build, demands: map[string]*psrate.DemandHistory{}, computed: map[string]*psrate.ShareHistory{}}
	for _, w := range workspaces {
		v.earlierShare.demands[w.Name], v.earlierShare.computed[w.Name] = &psrate.DemandHistory{}, &psrate.ShareHistory{}
	}
}

// shares returns the shares of a VM that has reported demands.
func (e *earlierShare) shares(f *psfleet.Fleet, demands map[string]float64, now time.Time) map[string]float64 {
	if e.build == sharesByDemand {
		return e.sharesByDemand(f, demands, now)
	}
	peers := lo.Filter(f.Peers(), func(p *psfleet.Peer, _ int) bool { return f.Recent(p, now) })
	allLive := lo.EveryBy(peers, func(p *psfleet.Peer) bool { return f.Live(p, now) })
	shares := map[string]float64{}
	for _, w := range workspaces {
		own := demands[w.Name]
		others := lo.Map(peers, func(p *psfleet.Peer, _ int) float64 {
			if p.Report == nil {
				return own
			}
			return p.Report.Demands[w.Name]
		})
		shares[w.Name] = e.computed[w.Name].Record(psrate.EarlierShareByNeed(w.Rate, own, others), f.PropagationTime()+f.ReportInterval(), now)
		if limit, found := e.stable[w.Name]; !allLive && found {
			shares[w.Name] = min(shares[w.Name], limit)
		}
	}
	if allLive {
		e.stable = shares
	}
	return shares
}

// sharesByDemand returns the shares in proportion to demand.
func (e *earlierShare) sharesByDemand(f *psfleet.Fleet, demands map[string]float64, now time.Time) map[string]float64 {
	shares, sharers := map[string]float64{}, f.RecentVMs(now)
	window := time.Duration(math.Ceil(float64(f.PropagationTime())/float64(f.ReportInterval()))) * f.ReportInterval()
	for name, d := range e.demands {
		d.Record(demands[name], now)
		own := d.Propagated(window, now)
		total, n := own, float64(len(sharers))
		for _, i := range sharers[1:] {
			if p, _ := f.Peer(i.VM); p.Report == nil {
				total += own
			} else {
				total += p.Report.Demands[name]
			}
		}
		shares[name] = 1 / n
		if total > 0 {
			shares[name] = psrate.FloorShare/n + (1-psrate.FloorShare)*own/total
		}
	}
	return shares
}

// reportEarlier publishes the snapshot of such a VM and sends its report.
func (m *model) reportEarlier(v *modelVM) {
	v.sequence++
	demands := make(map[string]float64, len(v.demands))
	for name, d := range v.demands {
		demands[name] = d
	}
	v.lastReport = psmessage.Report{Identity: v.identity, Sequence: v.sequence, Demands: demands}
	sharers, size := v.fleet.RecentVMs(m.now), v.fleet.Size()
	shares := v.earlierShare.shares(v.fleet, demands, m.now)
	v.snapshot = pssnapshot.Snapshot{Index: m.index, RateShares: shares, Holding: pslease.Holding{
		Parts: size, DecisiveParts: []int{size},
		Groups: []pslease.Group{{Members: sharers, Settled: true, Own: float64(len(sharers)) / float64(size)}},
	}}
	v.tokens.Update(&v.snapshot)
	m.sendReport(v)
}

// TestUpgradeExceedsLimit guards against VMs of this build and of the one before it that together grant more than a rate, while
// the VMs are upgraded one after the other.
func TestUpgradeExceedsLimit(t *testing.T) {
	t.Parallel()
	const (
		downTime = time.Second
		pause    = 5 * time.Second
	)
	for name, build := range earlierBuilds {
		for _, vms := range []int{2, 3, 9, 26} {
			t.Run(fmt.Sprintf("%s/vms=%d", name, vms), func(t *testing.T) {
				t.Parallel()
				m, grants := newModel(*modelSeed, 0, workspaces...), newGrants(workspaces)
				for range vms {
					m.addEarlier(build)
				}
				play := func(d time.Duration, changes int) {
					for range d / modelStep {
						m.step()
						if m.random.IntN(100) < changes {
							m.changeDemand()
						}
						grants.take(m)
						grants.check(t, m)
					}
				}
				// The build before leases grants too much while its VMs find each other. Its shares add up to more than 1 while reports
				// arrive, so that only the grants are checked.
				for range startSpan / modelStep {
					m.step()
				}
				for n, v := range m.vms {
					v.running, v.startsAt, v.earlier = false, m.now.Add(downTime), false
					v.identity.Features = psmessage.CurrentFeatures
					m.note("%s is upgraded", v.identity.VM)
					play(downTime+pause, 10)
					if n == vms/4 {
						// A share by one rule is larger at VMs with more demand, by the other one at those with less.
						for i, v := range m.vms {
							v.demands[workspaces[0].Name] = workspaces[0].Rate * lo.Ternary(i <= n, 100.0, 1)
						}
						play(3*pause, 0)
					}
				}
				play(startSpan, 0)
				m.checkUse(t)
			})
		}
	}
}
