package pslease

import (
	"slices"
	"time"

	"persimmonstep/internal/process/psmessage"
)

// Holding is what a VM may use of each of the fleet's limits.
type Holding struct {
	// Parts is the number of equal parts into which each limit is divided.
	Parts int
	// DecisiveParts are the numbers of parts by which VMs may decide at present how a limit is shared. After a change they differ
	// for some time.
	DecisiveParts []int
	// Split is how rates are split among the VMs of a group.
	Split Split
	// LeaseTime is how long after the last report that a VM has of this one it may use what this one lent it.
	LeaseTime time.Duration
	// Groups are the groups whose parts the VM may use. The first one is that of the VM's own part.
	Groups []Group
	// Since is when the VM's own group last changed.
	Since time.Time
}

// Split is how the VMs of a group split a rate.
type Split int

const (
	// SplitByNeed is the split of VMs that all know leases.
	SplitByNeed Split = iota
	// SplitAsEarlier is the split of earlier builds, while there is a VM of one.
	SplitAsEarlier
	// SplitByBoth is the lower share of these two, while another VM knows one of an earlier build.
	SplitByBoth
)

// Group is a set of VMs, and those of their parts that the VM may use together with the others of the set.
type Group struct {
	// Members are the VMs of the group. The first one is this VM.
	Members []psmessage.Identity
	// Before are the members of each group since the last one that had settled. It is nil if these aren't known.
	Before [][]psmessage.Identity
	// Settled states that all members know of the last change.
	Settled bool
	// Own is this VM's own part, as a fraction of each limit. Delegated is the sum of the parts of the other members that lend
	// theirs to this VM, and Lenders are their names.
	Own, Delegated float64
	Lenders        []string
	// Leased states that other VMs may use what an earlier process of this VM lent them, although they don't borrow from this one.
	Leased bool
	// Window is the greatest age of the reports of this VM on which another member may rely.
	Window time.Duration
}

// Part returns the VM's own part, as a fraction of each limit.
func (h Holding) Part() float64 {
	if len(h.Groups) == 0 {
		return 0
	}
	return h.Groups[0].Own
}

// Members returns the VMs that may borrow this VM's part, the VM itself first.
func (h Holding) Members() []psmessage.Identity {
	if len(h.Groups) == 0 {
		return nil
	}
	return h.Groups[0].Members
}

// Fraction returns the fraction of a limit that this VM administers, where each group leaves its parts to one or some of its
// members. weight returns which fraction of a group's parts falls to this VM, the first of the members. After a change of the
// group, the lowest of the weights in it and in the former groups counts until all members know of the change.
func (h Holding) Fraction(weight func(members []psmessage.Identity) float64) float64 {
	sum := 0.0
	for _, g := range h.Groups {
		w := weight(g.Members)
		switch {
		case g.Settled:
		case g.Before == nil:
			w = 0
		default:
			for _, members := range g.Before {
				w = min(w, weight(members))
			}
		}
		sum += w * (g.Own + g.Delegated)
	}
	return sum
}

// Settled reports whether all members of the groups know of these.
func (h Holding) Settled() bool {
	return len(h.Groups) > 0 && !slices.ContainsFunc(h.Groups, func(g Group) bool { return !g.Settled })
}

// Total returns the sum of the parts that the VM's groups use.
func (h Holding) Total() float64 {
	sum := 0.0
	for _, g := range h.Groups {
		sum += g.Own + g.Delegated
	}
	return sum
}
