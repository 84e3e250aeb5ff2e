package psfleet

import (
	"time"

	"persimmonstep/internal/process/psmessage"
)

const (
	// maxPeers bounds the VMs that are known by reports only, nearly twice the largest planned fleet (2,200 VMs). What a VM
	// publishes in the store isn't bounded here.
	maxPeers = 4096
	// maxReportBytes bounds what the latest reports of all VMs take in memory, in bytes. Those of 2,200 VMs take 1.3 MB.
	maxReportBytes = 16 << 20
	// roomInterval is how long no silent VM is searched for after a search has found none.
	roomInterval = time.Second
)

// makeRoom reports whether a report may be kept. The bounds guard against reports that name ever new VMs. To make room, VMs that
// weren't heard recently are forgotten, the one that is silent longest first, except those that were published as owners of a
// part of the fleet's limits.
func (f *Fleet) makeRoom(r *psmessage.Report, now time.Time) bool {
	for {
		p, found := f.peers[r.VM]
		added := r.Size()
		if found {
			added -= p.reportBytes
		}
		if (found || len(f.peers) < maxPeers) && (added <= 0 || f.reportBytes+added <= maxReportBytes) {
			return true
		}
		if !f.forgetSilent(now) {
			return false
		}
	}
}

// forgetSilent removes the VM that is silent longest, unless it was heard recently. It returns false if there is none.
func (f *Fleet) forgetSilent(now time.Time) bool {
	if now.Before(f.fullUntil) {
		return false
	}
	var longest *Peer
	for _, p := range f.peers {
		if !p.publishedOwner && (longest == nil || p.Silence(now) > longest.Silence(now)) {
			longest = p
		}
	}
	if longest == nil || f.Recent(longest, now) {
		f.fullUntil = now.Add(roomInterval)
		return false
	}
	f.remove(longest)
	return true
}

// remove removes a VM.
func (f *Fleet) remove(p *Peer) {
	delete(f.peers, p.Identity.VM)
	f.reportBytes -= p.reportBytes
	f.changed()
}
