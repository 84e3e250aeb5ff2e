package psblock

import "math/bits"

// entry packs one block of a page: 32 bits of address, the length in its page (1 to 32), the
// distance back to the nearest enclosing block of the page, and the site.
// Entries sort by address and then by length.
type entry uint64

const (
	// lineEntries is the number of entries in one cache line.
	lineEntries   = 8
	pageBits      = 32
	addressShift  = 32
	lengthShift   = 26
	lengthMask    = 1<<6 - 1
	distanceShift = 16
	distanceMask  = 1<<10 - 1
	// farDistance marks an enclosing block that stands too far back to be given.
	farDistance = distanceMask
	// identityMask covers address and length.
	identityMask = ^entry(1<<lengthShift - 1)
)

func newEntry(address uint32, length int, s Site) entry {
	return entry(address)<<addressShift | entry(length)<<lengthShift | entry(s)
}

func (e entry) address() uint32 { return uint32(e >> addressShift) }
func (e entry) length() int     { return int(e>>lengthShift) & lengthMask }
func (e entry) distance() int   { return int(e>>distanceShift) & distanceMask }
func (e entry) site() Site      { return Site(e) }
func (e entry) identity() entry { return e & identityMask }

func (e entry) withDistance(n int) entry {
	return e&^(distanceMask<<distanceShift) | entry(min(n, farDistance))<<distanceShift
}

// contains reports whether the block holds the address.
func (e entry) contains(address uint32) bool {
	return bits.LeadingZeros32(address^e.address()) >= e.length()
}

// page is a sorted array of entries.
type page []entry

// lookup returns the site of the longest block that holds the address.
//
// Every block that holds the address also holds the start of the last block that begins at
// or before it, so only that block and those around it need to be tried.
func (p page) lookup(address uint32) (Site, bool) {
	n := p.after(entry(address)<<addressShift | (1<<addressShift - 1))
	for n > 0 {
		e := p[n-1]
		if e.contains(address) {
			return e.site(), true
		}
		switch e.distance() {
		case 0:
			return 0, false
		case farDistance:
			n = p[:n-1].enclosing(e)
		default:
			n -= e.distance()
		}
	}
	return 0, false
}

// enclosing returns the number of entries up to the nearest block around e, which it holds
// itself, or 0 if there is none.
func (p page) enclosing(e entry) int {
	for length := e.length() - 1; length > 0; length-- {
		masked := e.address() & (^uint32(0) << (pageBits - length))
		n := p.after(newEntry(masked, length, 0) | (1<<lengthShift - 1))
		if n > 0 && p[n-1].identity() == newEntry(masked, length, 0) {
			return n
		}
	}
	return 0
}

// after returns the number of entries that are not greater than the limit.
//
// It looks first where the limit would stand if the entries were spread evenly, and widens
// the range from there, because most pages are close to that and each step away costs a
// cache miss.
func (p page) after(limit entry) int {
	guess, _ := bits.Mul64(uint64(limit), uint64(len(p)))
	from, to := p.around(int(guess), limit)
	return from + p[from:to].search(limit)
}

// around returns a range that holds the place of the limit.
func (p page) around(guess int, limit entry) (from, to int) {
	from = guess &^ (lineEntries - 1)
	to = min(from+lineEntries, len(p))
	for width := lineEntries; from > 0 && p[from] > limit; width *= 2 {
		to = from
		from = max(0, from-width)
	}
	for width := lineEntries; to < len(p) && p[to-1] <= limit; width *= 2 {
		from = to
		to = min(len(p), to+width)
	}
	return from, to
}

// search returns the number of entries that are not greater than the limit. It has no
// branch that depends on the content, because no predictor could guess it.
func (p page) search(limit entry) int {
	n, base := len(p), 0
	for n > 0 {
		half := (n + 1) / 2
		_, greater := bits.Sub64(uint64(limit), uint64(p[base+half-1]), 0)
		base += half & (int(greater) - 1)
		n -= half
	}
	return base
}

// link sets the distances of all entries of a sorted page.
func (p page) link() {
	var open [pageBits + 1]int
	depth := 0
	for i, e := range p {
		for depth > 0 && !p[open[depth-1]].contains(e.address()) {
			depth--
		}
		distance := 0
		if depth > 0 {
			distance = i - open[depth-1]
		}
		p[i] = e.withDistance(distance)
		open[depth] = i
		depth++
	}
}
