// Package psblock finds the site of a client address by longest prefix match.
//
// A table maps address blocks to sites. It is cut into pages, each a sorted array of
// 8-byte entries: an IPv4 page holds the blocks longer than /16 below one /16, an IPv6
// page those longer than /32 below one /32, and one more page of each family holds the
// shorter blocks. An entry knows where the nearest block around it stands, and the index
// knows the site of the shorter block around each page, so that a look-up is one binary
// search in one page.
//
// Tables are immutable. [Table.Apply] makes a new table that shares all pages which a delta
// leaves alone, so that a small delta costs little and never holds up a look-up.
package psblock

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/pkg/errors"
)

const (
	// MaxBits6 is the length of the longest IPv6 block.
	MaxBits6 = 64
	// wideBits4 and wideBits6 are the lengths of the longest blocks in the wide pages.
	wideBits4 = 16
	wideBits6 = 32
	// allPages4 is the number of /16 blocks of IPv4.
	allPages4 = 1 << wideBits4
	// densePages4 is the number of IPv4 pages from which on the index lists every page.
	densePages4 = allPages4 / 64
)

// Site identifies a site by its index in the caller's list of sites.
type Site uint16

// Block assigns an address block to a site.
type Block struct {
	// Prefix is the address block.
	Prefix netip.Prefix
	// Site is its site.
	Site Site
}

// Table is an immutable set of blocks. Its zero value is empty.
type Table struct {
	four, six family
	blocks    int
}

// family holds the blocks of one address family.
type family struct {
	// root is the block of length 0.
	root    Site
	hasRoot bool
	// wide holds the blocks that span several pages.
	wide page
	// keys lists the leading bits of the pages in order, and slots the pages themselves.
	keys  []uint32
	slots []slot
	// index finds pages by key; it is nil where the position is the key itself.
	index hashIndex
}

// slot is one page of the index.
type slot struct {
	page page
	// outer is the site of the longest block around the whole page.
	outer    Site
	hasOuter bool
}

// Len returns the number of blocks.
func (t *Table) Len() int {
	return t.blocks
}

// Lookup returns the site of the longest block that holds the address.
func (t *Table) Lookup(a netip.Addr) (Site, bool) {
	a = a.Unmap()
	switch {
	case a.Is4():
		b := a.As4()
		v := binary.BigEndian.Uint32(b[:])
		return t.four.lookup(v, v>>wideBits4, v<<wideBits4)
	case a.Is6():
		b := a.As16()
		high := binary.BigEndian.Uint32(b[:])
		return t.six.lookup(high, high, binary.BigEndian.Uint32(b[4:]))
	}
	return 0, false
}

// lookup searches the page with the key for low; without a page it searches for high.
func (f *family) lookup(high, key, low uint32) (Site, bool) {
	n := int(key)
	if !f.dense() {
		n = f.index.find(f.keys, key)
		if n < 0 {
			return f.lookupWide(high)
		}
	}
	v := &f.slots[n]
	if s, found := v.page.lookup(low); found {
		return s, true
	}
	return v.outer, v.hasOuter
}

func (f *family) lookupWide(high uint32) (Site, bool) {
	if s, found := f.wide.lookup(high); found {
		return s, true
	}
	return f.root, f.hasRoot
}

// find returns the position of a page, or where it would be.
func (f *family) find(key uint32) (int, bool) {
	return slices.BinarySearch(f.keys, key)
}

// dense reports whether the index lists every IPv4 page.
func (f *family) dense() bool {
	return len(f.keys) == allPages4 && f.keys[allPages4-1] == allPages4-1
}

// Check returns an error if a table cannot hold the prefix.
func Check(p netip.Prefix) error {
	switch {
	case !p.IsValid():
		return errors.New("the block is not valid")
	case p.Addr().Is4In6():
		return errors.Errorf("block %s must be written as an IPv4 block", p)
	case p.Addr().Is6() && p.Bits() > MaxBits6:
		return errors.Errorf("block %s is longer than /%d", p, MaxBits6)
	}
	return nil
}
