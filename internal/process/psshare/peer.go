package psshare

import (
	"maps"
	"slices"
	"time"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psmessage"
)

const (
	// smallSettleTime is how long demands must last in a small fleet until VMs borrow for them. All reports of a growth that VMs
	// have in common arrive in that time, so that VMs don't drop their shares because of each other's demands. A longer time
	// delays the shares of VMs to which callers move.
	smallSettleTime = 300 * time.Millisecond
	// largeSettleTime and settleDigests are the same for a large fleet, whose reports arrive in digests: a constant time and a
	// number of digest intervals. With fewer intervals (2.5 and 0.5 s), VMs of a region with fewer callers drop their shares
	// during a second of growth.
	largeSettleTime = 250 * time.Millisecond
	settleDigests   = 3
	// deliverySlack allows for the time that a report, or a digest of it, takes to arrive.
	deliverySlack = 200 * time.Millisecond
)

// settleTime returns how long demands must last until VMs borrow for them, for the numbers of parts by which VMs may go: the time
// that a lender assumes, and the longer one that a borrower waits. A lender uses a share that it has computed for a report
// interval.
func settleTime(f *psfleet.Fleet, parts []int) (lender, borrower time.Duration) {
	return settleTimeOf(slices.Min(parts)), settleTimeOf(slices.Max(parts)) + f.ReportInterval() + deliverySlack
}

func settleTimeOf(parts int) time.Duration {
	if parts < psfleet.LargeSize {
		return smallSettleTime
	}
	return largeSettleTime + settleDigests*psfleet.DigestIntervalOf(parts)
}

// peerHistory holds the latest reports of another VM.
type peerHistory struct {
	incarnation int64
	// reports are sorted by the times at which they arrived.
	reports []receivedReport
}

type receivedReport struct {
	report *psmessage.Report
	at     time.Time
}

// recordPeers records the latest reports of the other VMs.
func (s *Shares) recordPeers(f *psfleet.Fleet, now time.Time) {
	maps.DeleteFunc(s.others, func(name string, _ *peerHistory) bool {
		_, found := f.Peer(name)
		return !found
	})
	oldest := now.Add(-settleTimeOf(f.Size()))
	for _, p := range f.Peers() {
		if p.Report == nil {
			continue
		}
		h := s.others[p.Identity.VM]
		if h == nil || h.incarnation != p.Report.Incarnation {
			h = &peerHistory{incarnation: p.Report.Incarnation}
			s.others[p.Identity.VM] = h
		}
		h.record(p, oldest)
	}
}

// record adds the last report of a VM, and drops those that arrived before a time, except for the last one.
func (h *peerHistory) record(p *psfleet.Peer, oldest time.Time) {
	if n := len(h.reports); n == 0 || h.reports[n-1].report != p.Report {
		h.reports = append(h.reports, receivedReport{p.Report, p.ReceivedAt})
	}
	last := len(h.reports) - 1
	outdated := slices.IndexFunc(h.reports[:last], func(r receivedReport) bool { return !r.at.Before(oldest) })
	if outdated < 0 {
		outdated = last
	}
	h.reports = slices.Delete(h.reports, 0, outdated)
}

// Age makes the reports of the other VMs older, after the monotonic clock did not go on for some time.
func (s *Shares) Age(d time.Duration) {
	for _, h := range s.others {
		for i := range h.reports {
			h.reports[i].at = h.reports[i].at.Add(-d)
		}
	}
}

// latest returns the demand of a workspace in the last report of another VM.
func (s *Shares) latest(vm, workspace string) float64 {
	h, found := s.others[vm]
	if !found {
		return 0
	}
	return h.reports[len(h.reports)-1].report.Demands[workspace]
}

// sustained returns the demand for which another VM may borrow: the lowest one in its reports of some time, since it doesn't
// borrow for one that has not lasted longer.
func (s *Shares) sustained(vm, workspace string, span time.Duration, now time.Time) float64 {
	h, found := s.others[vm]
	if !found {
		return 0
	}
	lowest := h.reports[len(h.reports)-1].report.Demands[workspace]
	for _, r := range slices.Backward(h.reports) {
		if lowest == 0 || now.Sub(r.at) > span {
			break
		}
		lowest = min(lowest, r.report.Demands[workspace])
	}
	return lowest
}
