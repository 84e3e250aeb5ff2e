package psblock

import (
	"bytes"
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"
)

// magic begins the object form of a block set.
const magic = "psblock1"

// walk calls f for each block in the order of the object form: IPv4 before IPv6, and in
// each family the root, the wide page and then the other pages.
func (t *Table) walk(f func(Block)) {
	t.four.walk(wideBits4, func(high, low uint32, bits int, s Site) {
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], high|low>>wideBits4)
		f(Block{Prefix: netip.PrefixFrom(netip.AddrFrom4(a), bits), Site: s})
	})
	t.six.walk(0, func(high, low uint32, bits int, s Site) {
		var a [16]byte
		binary.BigEndian.PutUint32(a[:], high)
		binary.BigEndian.PutUint32(a[4:], low)
		f(Block{Prefix: netip.PrefixFrom(netip.AddrFrom16(a), bits), Site: s})
	})
}

// walk calls g for each block; keys of pages are shifted left to make the high address.
func (f *family) walk(shift int, g func(high, low uint32, bits int, s Site)) {
	if f.hasRoot {
		g(0, 0, 0, f.root)
	}
	for _, e := range f.wide {
		g(e.address(), 0, e.length(), e.site())
	}
	for i, s := range f.slots {
		for _, e := range s.page {
			g(f.keys[i]<<shift, e.address(), pageBits-shift+e.length(), e.site())
		}
	}
}

// Blocks lists all blocks of a table.
func (t *Table) Blocks() []Block {
	out := make([]Block, 0, t.blocks)
	t.walk(func(b Block) { out = append(out, b) })
	return out
}

// Encode writes the table in its object form: a magic, then for each block the distance of
// its address from that of the block before, its length and its site. Distances are small
// in a sorted set, so that a block takes about 5 bytes.
func (t *Table) Encode() []byte {
	out := []byte(magic)
	out = binary.AppendUvarint(out, uint64(t.blocks))
	var last uint64
	t.walk(func(b Block) {
		key := addressKey(b.Prefix.Addr())
		out = binary.AppendVarint(out, int64(key-last))
		out = append(out, familyBits(b.Prefix))
		out = binary.AppendUvarint(out, uint64(b.Site))
		last = key
	})
	return out
}

// sixMark marks the length of an IPv6 block.
const sixMark = 0x80

func familyBits(p netip.Prefix) byte {
	if p.Addr().Is6() {
		return byte(p.Bits()) | sixMark
	}
	return byte(p.Bits())
}

// addressKey is the IPv4 address or the first half of the IPv6 address.
func addressKey(a netip.Addr) uint64 {
	if a.Is4() {
		b := a.As4()
		return uint64(binary.BigEndian.Uint32(b[:]))
	}
	b := a.As16()
	return binary.BigEndian.Uint64(b[:])
}

// Decode reads the object form.
func Decode(data []byte) (*Table, error) {
	rest, found := bytes.CutPrefix(data, []byte(magic))
	if !found {
		return nil, errors.New("not a block set")
	}
	r := bytes.NewReader(rest)
	count, err := binary.ReadUvarint(r)
	if err != nil || count > uint64(len(rest)) {
		return nil, errors.New("the number of blocks is damaged")
	}
	blocks := make([]Block, 0, count)
	var last uint64
	for range count {
		b, key, err := decodeBlock(r, last)
		if err != nil {
			return nil, errors.Wrapf(err, "block %d", len(blocks))
		}
		blocks = append(blocks, b)
		last = key
	}
	if r.Len() > 0 {
		return nil, errors.Errorf("%d bytes follow the last block", r.Len())
	}
	return Build(blocks), nil
}

func decodeBlock(r *bytes.Reader, last uint64) (Block, uint64, error) {
	distance, err := binary.ReadVarint(r)
	if err != nil {
		return Block{}, 0, errors.Wrap(err, "address")
	}
	length, err := r.ReadByte()
	if err != nil {
		return Block{}, 0, errors.Wrap(err, "length")
	}
	site, err := binary.ReadUvarint(r)
	if err != nil || site > uint64(^Site(0)) {
		return Block{}, 0, errors.New("the site is damaged")
	}
	key := last + uint64(distance)
	p, err := decodePrefix(key, length)
	return Block{Prefix: p, Site: Site(site)}, key, err
}

func decodePrefix(key uint64, length byte) (netip.Prefix, error) {
	var a netip.Addr
	if length&sixMark == 0 {
		if key > uint64(^uint32(0)) {
			return netip.Prefix{}, errors.New("the IPv4 address is damaged")
		}
		var b [4]byte
		binary.BigEndian.PutUint32(b[:], uint32(key))
		a = netip.AddrFrom4(b)
	} else {
		var b [16]byte
		binary.BigEndian.PutUint64(b[:], key)
		a = netip.AddrFrom16(b)
	}
	p := netip.PrefixFrom(a, int(length&^sixMark))
	if err := Check(p); err != nil {
		return netip.Prefix{}, err
	}
	if p != p.Masked() {
		return netip.Prefix{}, errors.Errorf("block %s has bits behind its length", p)
	}
	return p, nil
}
