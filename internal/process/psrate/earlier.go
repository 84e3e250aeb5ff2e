package psrate

import (
	"slices"
	"time"
)

// evenRest is the fraction of what no VM needs that is split evenly, for callers that a VM doesn't know of yet. The others follow
// the needs, as do bursts.
const evenRest = 0.65

// EarlierShare returns a VM's share of a limit as VMs of builds up to 3fc861e divide it: they lend all but FloorShare of their
// parts, in proportion to demand. ownPart is the VM's own part and borrowed the sum of the parts that it borrows. own is its
// demand and total that of all VMs that may borrow, in requests per second. Without any demand, each VM uses its own part.
func EarlierShare(ownPart, borrowed, own, total float64) float64 {
	if total <= 0 {
		return ownPart
	}
	return FloorShare*ownPart + (1-FloorShare)*(ownPart+borrowed)*own/total
}

// EarlierShareByNeed returns the share of a rate for a VM with the demand own, among VMs with the demands others, as VMs of
// the builds after 3fc861e and before leases divide it. The rate and the demands are in requests per second.
//
// While the demands fit into the rate, each VM gets what it needs and a part of the rest. Otherwise no VM gets more than a common
// bound, and those that need less get that.
func EarlierShareByNeed(rate, own float64, others []float64) float64 {
	n := float64(len(others) + 1)
	if rate <= 0 {
		return 1 / n
	}
	need := func(demand float64) float64 { return max(FloorShare/n, headroom*demand/rate) }
	sum := need(own)
	for _, d := range others {
		sum += need(d)
	}
	if sum <= 1 {
		return need(own) + (1-sum)*(evenRest/n+(1-evenRest)*need(own)/sum)
	}
	return min(need(own), commonBound(need(own), others, need))
}

// commonBound returns the bound on each need with which they add up to 1. Without it they exceed 1.
func commonBound(own float64, others []float64, need func(demand float64) float64) float64 {
	bound := 1 / float64(len(others)+1)
	for {
		// below is the sum of the needs below the bound, and above the number of the others.
		below, above := 0.0, 0
		add := func(v float64) {
			if v < bound {
				below += v
			} else {
				above++
			}
		}
		add(own)
		for _, d := range others {
			add(need(d))
		}
		if above == 0 {
			return bound
		}
		next := (1 - below) / float64(above)
		if next <= bound {
			return bound
		}
		bound = next
	}
}

// ShareHistory holds the shares that a VM has computed lately. The zero value is empty.
type ShareHistory struct {
	// lowest are the shares that can still be the lowest of a window, in ascending order.
	lowest []computedShare
}

type computedShare struct {
	share float64
	at    time.Time
}

// Record adds a share that was computed now, and returns the one that the VM may use: the lowest of a window. A share
// grows only after the window, in which the other VMs have received the demands by which it grows and have reduced theirs.
func (h *ShareHistory) Record(share float64, window time.Duration, now time.Time) float64 {
	for n := len(h.lowest); n > 0 && h.lowest[n-1].share >= share; n-- {
		h.lowest = h.lowest[:n-1]
	}
	h.lowest = append(h.lowest, computedShare{share, now})
	expired := slices.IndexFunc(h.lowest, func(c computedShare) bool { return now.Sub(c.at) <= window })
	h.lowest = slices.Delete(h.lowest, 0, expired)
	return h.lowest[0].share
}
