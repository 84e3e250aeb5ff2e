package pslease_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"persimmonstep/internal/process/pslease"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psrate"
	"persimmonstep/internal/process/pssnapshot"
)

// earlierShare computes the shares of a VM of the build before leases (1b2acdd).
type earlierShare struct {
	demands map[string]*psrate.DemandHistory
}

// startEarlier starts a VM of that build.
func (v *modelVM) startEarlier() {
	v.identity.Features = psmessage.CurrentFeatures &^ psmessage.Leases
	v.earlierShare = earlierShare{map[string]*psrate.DemandHistory{}}
	for _, w := range workspaces {
		v.earlierShare.demands[w.Name] = &psrate.DemandHistory{}
	}
}

// reportEarlier publishes the snapshot of such a VM and sends its report.
func (m *model) reportEarlier(v *modelVM) {
	v.sequence++
	demands := make(map[string]float64, len(v.demands))
	for name, d := range v.demands {
		demands[name] = d
	}
	v.lastReport = psmessage.Report{Identity: v.identity, Sequence: v.sequence, Demands: demands}
	shares := map[string]float64{}
	sharers, size := v.fleet.RecentVMs(m.now), v.fleet.Size()
	window := time.Duration(math.Ceil(float64(v.fleet.PropagationTime())/float64(v.fleet.ReportInterval()))) * v.fleet.ReportInterval()
	for name, d := range v.earlierShare.demands {
		d.Record(demands[name], m.now)
		own := d.Propagated(window, m.now)
		total, n := own, float64(len(sharers))
		for _, i := range sharers[1:] {
			if p, _ := v.fleet.Peer(i.VM); p.Report == nil {
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
	v.snapshot = pssnapshot.Snapshot{Index: m.index, RateShares: shares, Holding: pslease.Holding{
		Parts: size, DecisiveParts: []int{size},
		Groups: []pslease.Group{{Members: sharers, Settled: true, Own: float64(len(sharers)) / float64(size)}},
	}}
	v.tokens.Update(&v.snapshot)
	m.sendReport(v)
}

// TestUpgradeExceedsLimit guards against VMs of this build and of the one before it that together grant more than a rate, while the VMs
// are upgraded one after the other.
func TestUpgradeExceedsLimit(t *testing.T) {
	const (
		downTime = time.Second
		pause    = 5 * time.Second
	)
	for _, vms := range []int{2, 3, 9, 26} {
		t.Run(fmt.Sprint("vms=", vms), func(t *testing.T) {
			t.Parallel()
			m, grants := newModel(*modelSeed, 0, workspaces...), newGrants(workspaces)
			for range vms {
				m.addEarlier()
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
			for _, v := range m.vms {
				v.running, v.startsAt, v.earlier = false, m.now.Add(downTime), false
				v.identity.Features = psmessage.CurrentFeatures
				m.note("%s is upgraded", v.identity.VM)
				play(downTime+pause, 10)
			}
			play(startSpan, 0)
			m.checkUse(t)
		})
	}
}
