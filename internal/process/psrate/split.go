package psrate

import "slices"

// FloorShare is the fraction of its own part that a VM never lends.
const FloorShare = 0.25

const (
	// headroom is the ratio of what a VM keeps of its part to its demand, since arrivals vary.
	headroom = 1.25
	// borrowFactor is the ratio of the need of a VM to what it lacks, as room for growth where parts are unused.
	borrowFactor = 2
	// poolFraction is the sum of the needs, as a fraction of all parts, from which on lenders lend all that they can spare. Below it
	// they keep some, so that callers who are new at a VM find more than its floor.
	poolFraction = 0.5
)

// Terms are those by which VMs lend each other equal parts of a rate. For some time after a change of the rate or of the number
// of parts, VMs may go by different figures. Each then assumes the lowest for what it takes itself and the highest for what
// others may take, so that the sum stays within the rate. Needs and spares are in parts.
type Terms struct {
	// lowRate and highRate bound the rate of one part in requests per second.
	lowRate, highRate float64
	// lowPool and highPool bound the sum of the needs from which on lenders lend all that they can spare.
	lowPool, highPool float64
}

// NewTerms returns the terms for all rates in requests per second, and all numbers of parts, by which VMs may go now. Neither
// list may be empty.
func NewTerms(rates []float64, parts []int) Terms {
	least, most := float64(slices.Min(parts)), float64(slices.Max(parts))
	return Terms{
		lowRate: slices.Min(rates) / most, highRate: slices.Max(rates) / least,
		lowPool: poolFraction * least, highPool: poolFraction * most,
	}
}

// OwnNeed returns how much a VM may count on to need beside its own part. A guest owns none. The demand is in requests per
// second, as for the other methods.
func (t Terms) OwnNeed(demand float64, guest bool) float64 { return need(demand/t.highRate, guest) }

// OtherNeed returns how much another VM needs at most beside its own part.
func (t Terms) OtherNeed(demand float64, guest bool) float64 { return need(demand/t.lowRate, guest) }

// OwnSpare returns how much of its part a VM lends at most.
func (t Terms) OwnSpare(demand float64) float64 { return spare(demand / t.highRate) }

// OtherSpare returns how much of its part another VM lends at least.
func (t Terms) OtherSpare(demand float64) float64 { return spare(demand / t.lowRate) }

// Kept returns how much of its own part a VM may use that can spare some, where the others that may borrow it have needs.
func (t Terms) Kept(spare, needs float64) float64 { return 1 - spare*min(1, needs/t.lowPool) }

// Borrowed returns how much a VM with a need may use of the spares of its lenders. needs is the sum of the needs of all VMs that
// may borrow of these, its own included.
func (t Terms) Borrowed(spares, need, needs float64) float64 {
	if need <= 0 {
		return 0
	}
	return spares * need / max(needs, t.highPool)
}

// need returns the need of a VM with a demand in parts.
func need(demand float64, guest bool) float64 {
	if guest {
		return borrowFactor * headroom * demand
	}
	return borrowFactor * max(0, headroom*demand-1)
}

// spare returns how much of its part a VM with a demand in parts can lend.
func spare(demand float64) float64 { return max(0, 1-max(FloorShare, headroom*demand)) }
