package psusage

import (
	"maps"
	"slices"
	"time"
)

const (
	// peerRetention is how long a report of another VM counts. Those of other failure domains are up to 9 s old in the largest
	// fleets, where digests take two intervals of 4 s.
	peerRetention = 10 * time.Second
	// peerCleanInterval is the time between two searches for outdated reports.
	peerCleanInterval = time.Second
	// busyRatio is the ratio to the usual amount from which on a VM reports a workspace as busy.
	busyRatio = 1.9
	// minPeerFraction is the fraction of the other VMs that must find a workspace busy before its requests are marked, and
	// fullPeerFraction the one from which on all are. One VM is left out of the count, because chance may mislead it. The
	// fractions are low, because few VMs of a large fleet get enough requests to find a workspace busy, but the VMs of one
	// failure domain of six, to which the callers of a workspace have moved, mark few of its requests elsewhere.
	minPeerFraction  = 0.15
	fullPeerFraction = 0.25
	// peerRequests is the number of requests that a VM expects of a workspace, from which on its own observation outweighs the
	// reports of others.
	peerRequests = 4.0
	// maxBusy is the number of workspaces in a report. It bounds the size of reports and the memory for them.
	maxBusy = 32
)

// peerReport is what another VM reported.
type peerReport struct {
	busy []string
	at   time.Time
}

// Busy returns the workspaces that this VM by itself finds busy, for its report to the other VMs.
func (u *Usage) Busy(now time.Time) []string {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.expirePeers(now)
	u.total.decay(now)
	var list []string
	for name, w := range u.workspaces {
		w.decay(now)
		if ratio, _ := u.ratio(w, now); ratio >= busyRatio {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list[:min(len(list), maxBusy)]
}

// RecordPeer records which workspaces another VM finds busy. now is when its report was received, by this VM or by the one that
// forwarded it.
func (u *Usage) RecordPeer(vm string, busy []string, now time.Time) {
	busy = slices.Clone(busy[:min(len(busy), maxBusy)])
	slices.Sort(busy)
	busy = slices.Compact(busy)
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.peers == nil {
		u.peers = make(map[string]peerReport)
	}
	u.addPeers(u.peers[vm].busy, -1)
	u.addPeers(busy, 1)
	u.peers[vm] = peerReport{busy, now}
}

// expirePeers removes outdated reports, also while no new ones arrive.
func (u *Usage) expirePeers(now time.Time) {
	if now.Sub(u.peersCleanedAt) < peerCleanInterval {
		return
	}
	u.peersCleanedAt = now
	maps.DeleteFunc(u.peers, func(_ string, p peerReport) bool {
		outdated := now.Sub(p.at) > peerRetention
		if outdated {
			u.addPeers(p.busy, -1)
		}
		return outdated
	})
}

// addPeers adds to the number of VMs that find workspaces busy.
func (u *Usage) addPeers(busy []string, n int) {
	for _, name := range busy {
		if w, found := u.workspaces[name]; found {
			w.peers += n
		}
	}
}

// peersOf returns the number of VMs that find a workspace busy.
func (u *Usage) peersOf(name string) int {
	n := 0
	for _, p := range u.peers {
		if slices.Contains(p.busy, name) {
			n++
		}
	}
	return n
}

// beyondByPeers returns the fraction of a workspace's requests that is marked because of what other VMs report.
func (u *Usage) beyondByPeers(w *workspace) float64 {
	if w.peers <= 1 {
		return 0
	}
	fraction := float64(w.peers-1) / float64(len(u.peers))
	return clamp((fraction - minPeerFraction) / (fullPeerFraction - minPeerFraction))
}
