package psblock_test

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"persimmonstep/internal/version/psblock"
)

// oracle looks up by trying every block.
type oracle map[netip.Prefix]psblock.Site

func (o oracle) lookup(a netip.Addr) (psblock.Site, bool) {
	best := -1
	var site psblock.Site
	for p, s := range o {
		if p.Contains(a) && p.Bits() > best {
			best, site = p.Bits(), s
		}
	}
	return site, best >= 0
}

// address draws addresses that share long prefixes, so that blocks nest.
func address(six bool) *rapid.Generator[netip.Addr] {
	return rapid.Custom(func(t *rapid.T) netip.Addr {
		b := rapid.SliceOfN(rapid.SampledFrom([]byte{0, 1, 127, 128, 255}), 16, 16).Draw(t, "bytes")
		if six {
			return netip.AddrFrom16([16]byte(append([]byte{0x20, 0x01}, b[:14]...)))
		}
		return netip.AddrFrom4([4]byte(b[:4]))
	})
}

func prefix() *rapid.Generator[netip.Prefix] {
	return rapid.Custom(func(t *rapid.T) netip.Prefix {
		six := rapid.Bool().Draw(t, "six")
		longest := 32
		if six {
			longest = psblock.MaxBits6
		}
		return netip.PrefixFrom(address(six).Draw(t, "address"), rapid.IntRange(0, longest).Draw(t, "bits")).Masked()
	})
}

func TestLookupEqualsOracleAfterDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := make(oracle)
		table := &psblock.Table{}
		for range rapid.IntRange(1, 4).Draw(t, "deltas") {
			var d psblock.Delta
			for _, p := range rapid.SliceOfN(prefix(), 0, 5).Draw(t, "remove") {
				d.Remove = append(d.Remove, p)
				delete(o, p)
			}
			for _, p := range rapid.SliceOfN(prefix(), 0, 30).Draw(t, "put") {
				s := psblock.Site(rapid.IntRange(0, 5000).Draw(t, "site"))
				d.Put = append(d.Put, psblock.Block{Prefix: p, Site: s})
				o[p] = s
			}
			table = table.Apply(d)
		}
		if table.Len() != len(o) {
			t.Fatalf("%d blocks, not %d", table.Len(), len(o))
		}
		copied, err := psblock.Decode(table.Encode())
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			a := address(rapid.Bool().Draw(t, "six")).Draw(t, "address")
			want, wantFound := o.lookup(a)
			for _, v := range []*psblock.Table{table, copied} {
				if got, found := v.Lookup(a); got != want || found != wantFound {
					t.Fatalf("%s: %d %v, not %d %v", a, got, found, want, wantFound)
				}
			}
		}
	})
}

func TestApplyLeavesTheOldTable(t *testing.T) {
	c := qt.New(t)
	p := netip.MustParsePrefix("10.1.2.0/24")
	a := netip.MustParseAddr("10.1.2.3")
	old := psblock.Build([]psblock.Block{{Prefix: p, Site: 1}, {Prefix: netip.MustParsePrefix("10.0.0.0/8"), Site: 9}})
	changed := old.Apply(psblock.Delta{Put: []psblock.Block{{Prefix: p, Site: 2}}})
	removed := old.Apply(psblock.Delta{Remove: []netip.Prefix{p}})
	for _, v := range []struct {
		table *psblock.Table
		site  psblock.Site
	}{{old, 1}, {changed, 2}, {removed, 9}} {
		got, found := v.table.Lookup(a)
		c.Check(found, qt.IsTrue)
		c.Check(got, qt.Equals, v.site)
	}
}

func TestCheckRefuses(t *testing.T) {
	for _, p := range []string{"2001:db8::/65", "::ffff:10.0.0.0/104"} {
		qt.Check(t, psblock.Check(netip.MustParsePrefix(p)), qt.IsNotNil)
	}
	qt.Check(t, psblock.Check(netip.Prefix{}), qt.IsNotNil)
}

func FuzzDecode(f *testing.F) {
	f.Add(psblock.Build(generate(20, 1)).Encode())
	f.Add([]byte("psblock1\x01\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		table, err := psblock.Decode(data)
		if err != nil {
			return
		}
		again, err := psblock.Decode(table.Encode())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again.Blocks(), qt.CmpEquals(cmp.Comparer(func(a, b netip.Prefix) bool { return a == b })), table.Blocks())
	})
}

// TestTableAtFullSize holds the targets for memory at 4.2 million blocks to 4,500 sites.
func TestTableAtFullSize(t *testing.T) {
	if testing.Short() || raceEnabled {
		t.Skip("builds 4.2 million blocks; runs without the race detector")
	}
	const maxBytes = 40_000_000
	blocks := generate(fullSize, 1)
	before := heap()
	table := psblock.Build(blocks)
	used := heap() - before
	t.Logf("%d blocks take %.1f MB", table.Len(), float64(used)/1e6)
	qt.Assert(t, table.Len(), qt.Equals, fullSize)
	qt.Assert(t, used <= maxBytes, qt.IsTrue, qt.Commentf("%d bytes", used))
	runtime.KeepAlive(blocks)
}

const fullSize = 4_200_000

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// generate makes different blocks, four fifths of them IPv4, with the lengths that networks
// announce most.
func generate(count int, seed uint64) []psblock.Block {
	const sites = 4500
	r := rand.New(rand.NewPCG(seed, 0))
	seen := make(map[netip.Prefix]bool, count)
	out := make([]psblock.Block, 0, count)
	for len(out) < count {
		p := drawPrefix(r)
		if seen[p] {
			continue
		}
		seen[p] = true
		out = append(out, psblock.Block{Prefix: p, Site: psblock.Site(r.IntN(sites))})
	}
	return out
}

func drawPrefix(r *rand.Rand) netip.Prefix {
	if r.IntN(5) > 0 {
		bits := []int{24, 24, 24, 24, 23, 22, 20, 16, 25, 26}[r.IntN(10)]
		return netip.PrefixFrom(drawAddress4(r), bits).Masked()
	}
	bits := []int{48, 48, 48, 44, 40, 36, 32, 29, 56, 64}[r.IntN(10)]
	return netip.PrefixFrom(drawAddress6(r), bits).Masked()
}

func drawAddress4(r *rand.Rand) netip.Addr {
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], r.Uint32())
	return netip.AddrFrom4(a)
}

// drawAddress6 takes one of some ten thousand /32 allocations.
func drawAddress6(r *rand.Rand) netip.Addr {
	const allocations = 20000
	var a [16]byte
	binary.BigEndian.PutUint32(a[:], 0x20010000+uint32(r.IntN(allocations))*8)
	binary.BigEndian.PutUint32(a[4:], r.Uint32())
	return netip.AddrFrom16(a)
}
