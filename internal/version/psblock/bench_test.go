package psblock_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"persimmonstep/internal/version/psblock"
)

var sizes = []int{10_000, 100_000, 1_000_000, fullSize}

func BenchmarkLookup(b *testing.B) {
	for _, n := range sizes {
		before := heap()
		table := psblock.Build(generate(n, 1))
		used := float64(heap() - before)
		r := rand.New(rand.NewPCG(2, 0))
		four, six := make([]netip.Addr, 1<<16), make([]netip.Addr, 1<<16)
		for i := range four {
			four[i], six[i] = drawAddress4(r), drawAddress6(r)
		}
		for _, v := range []struct {
			name      string
			addresses []netip.Addr
		}{{"IPv4", four}, {"IPv6", six}} {
			b.Run(fmt.Sprintf("%s/blocks=%d", v.name, n), func(b *testing.B) {
				b.ReportAllocs()
				b.ReportMetric(used/float64(n), "B/block")
				i := 0
				for b.Loop() {
					table.Lookup(v.addresses[i&(1<<16-1)])
					i++
				}
			})
		}
	}
}

func BenchmarkApplyDeltaOf100(b *testing.B) {
	for _, n := range sizes {
		table := psblock.Build(generate(n, 1))
		d := psblock.Delta{Put: generate(100, 3)}
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Apply(d)
			}
		})
	}
}

func BenchmarkBuild(b *testing.B) {
	for _, n := range sizes {
		blocks := generate(n, 1)
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			for b.Loop() {
				psblock.Build(blocks)
			}
			b.ReportMetric(float64(len(psblock.Build(blocks).Encode()))/float64(n), "objectB/block")
		})
	}
}
