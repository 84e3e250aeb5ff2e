package psblock

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
)

// Delta changes a table.
type Delta struct {
	// Put adds blocks or gives them another site. The last one wins where a block comes twice.
	Put []Block
	// Remove takes blocks out; those that the table does not hold are left out. A block that
	// is also in Put stays.
	Remove []netip.Prefix
}

// change is what a delta does to one entry of a page.
type change struct {
	key    uint32
	entry  entry
	remove bool
}

// changes are those of one family.
type changes struct {
	wide  []change
	paged []change
}

// Build makes a table. Every prefix must pass [Check].
func Build(blocks []Block) *Table {
	return (&Table{}).Apply(Delta{Put: blocks})
}

// Apply returns the table with a delta applied. The receiver stays as it is. Every prefix
// must pass [Check].
func (t *Table) Apply(d Delta) *Table {
	next := *t
	var four, six changes
	for _, p := range d.Remove {
		next.add(&four, &six, Block{Prefix: p}, true)
	}
	for _, b := range d.Put {
		next.add(&four, &six, b, false)
	}
	next.blocks += next.four.apply(four) + next.six.apply(six)
	next.four.makeDense()
	next.four.finish(wideBits4)
	next.six.finish(0)
	return &next
}

// add sorts a change into its family, or carries it out if it concerns a root.
func (t *Table) add(four, six *changes, b Block, remove bool) {
	if err := Check(b.Prefix); err != nil {
		panic("psblock: " + err.Error())
	}
	p := b.Prefix.Masked()
	f, c, high, key, low, wideBits := &t.four, four, uint32(0), uint32(0), uint32(0), wideBits4
	if p.Addr().Is4() {
		a := p.Addr().As4()
		high = binary.BigEndian.Uint32(a[:])
		key, low = high>>wideBits4, high<<wideBits4
	} else {
		a := p.Addr().As16()
		f, c, wideBits = &t.six, six, wideBits6
		high, low = binary.BigEndian.Uint32(a[:]), binary.BigEndian.Uint32(a[4:])
		key = high
	}
	switch {
	case p.Bits() == 0:
		t.blocks += f.setRoot(b.Site, !remove)
	case p.Bits() <= wideBits:
		c.wide = append(c.wide, change{entry: newEntry(high, p.Bits(), b.Site), remove: remove})
	default:
		c.paged = append(c.paged, change{key: key, entry: newEntry(low, p.Bits()-wideBits, b.Site), remove: remove})
	}
}

// setRoot changes the block of length 0 and returns the growth of the table.
func (f *family) setRoot(s Site, present bool) int {
	growth := 0
	switch {
	case present && !f.hasRoot:
		growth = 1
	case !present && f.hasRoot:
		growth = -1
	}
	f.root, f.hasRoot = s, present
	return growth
}

// apply carries out the changes of a family and returns its growth.
func (f *family) apply(c changes) int {
	growth := 0
	if len(c.wide) > 0 {
		before := len(f.wide)
		f.wide = f.wide.merge(settle(c.wide))
		growth += len(f.wide) - before
	}
	return growth + f.applyPaged(settle(c.paged))
}

// settle sorts changes and leaves the last one for each entry.
func settle(c []change) []change {
	slices.SortStableFunc(c, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.entry.identity(), b.entry.identity()))
	})
	out := c[:0]
	for i, v := range c {
		if i+1 < len(c) && c[i+1].key == v.key && c[i+1].entry.identity() == v.entry.identity() {
			continue
		}
		out = append(out, v)
	}
	return out
}

// applyPaged copies the index and replaces the pages that settled changes touch.
func (f *family) applyPaged(c []change) int {
	groups := groupByKey(c)
	keys := make([]uint32, 0, len(f.keys)+len(groups))
	slots := make([]slot, 0, len(f.keys)+len(groups))
	growth, from := 0, 0
	for _, g := range groups {
		n, found := f.find(g[0].key)
		keys, slots = append(keys, f.keys[from:n]...), append(slots, f.slots[from:n]...)
		from = n
		var old page
		if found {
			old = f.slots[n].page
			from++
		}
		p := old.merge(g)
		growth += len(p) - len(old)
		if len(p) > 0 || found {
			keys, slots = append(keys, g[0].key), append(slots, slot{page: p})
		}
	}
	f.keys, f.slots = append(keys, f.keys[from:]...), append(slots, f.slots[from:]...)
	return growth
}

func groupByKey(c []change) [][]change {
	var out [][]change
	start := 0
	for i := range c {
		if i+1 == len(c) || c[i+1].key != c[i].key {
			out = append(out, c[start:i+1])
			start = i + 1
		}
	}
	return out
}

// merge returns the page with settled changes carried out.
func (p page) merge(c []change) page {
	out := make(page, 0, p.sizeAfter(c))
	for len(p) > 0 || len(c) > 0 {
		switch {
		case len(c) == 0 || len(p) > 0 && p[0].identity() < c[0].entry.identity():
			out = append(out, p[0])
			p = p[1:]
			continue
		case len(p) > 0 && p[0].identity() == c[0].entry.identity():
			p = p[1:]
		}
		if !c[0].remove {
			out = append(out, c[0].entry)
		}
		c = c[1:]
	}
	out.link()
	return out
}

// sizeAfter returns the length of the page after settled changes.
func (p page) sizeAfter(c []change) int {
	n := len(p)
	for _, v := range c {
		i := p.after(v.entry.identity() | (1<<lengthShift - 1))
		held := i > 0 && p[i-1].identity() == v.entry.identity()
		switch {
		case held && v.remove:
			n--
		case !held && !v.remove:
			n++
		}
	}
	return n
}

// makeDense lists every IPv4 page once there are many, so that a page is found by index.
func (f *family) makeDense() {
	if len(f.keys) < densePages4 || len(f.keys) == allPages4 {
		return
	}
	keys, slots := make([]uint32, allPages4), make([]slot, allPages4)
	for i := range keys {
		keys[i] = uint32(i)
	}
	for i, k := range f.keys {
		slots[k] = f.slots[i]
	}
	f.keys, f.slots = keys, slots
}

// finish indexes the pages and finds the block around each. The slots must not be shared.
func (f *family) finish(shift int) {
	f.index = nil
	if !f.dense() {
		f.index = newHashIndex(f.keys)
	}
	for i := range f.slots {
		s := &f.slots[i]
		s.outer, s.hasOuter = f.lookupWide(f.keys[i] << shift)
	}
}
