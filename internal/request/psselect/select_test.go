package psselect_test

import (
	"fmt"
	"testing"
	"time"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/request/psestimate"
	"persimmonstep/internal/request/psselect"
	"persimmonstep/internal/version/psconfig"
)

// BenchmarkChoose measures the choice of a server for services of 40 to 4000 servers.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{40, 400, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			servers := make([]*psserver.Server, n)
			for i := range servers {
				servers[i] = psserver.New(psserver.Entry{ID: fmt.Sprint("server-", i), Slots: 9, FailureDomain: fmt.Sprint("domain-", i%6)}, "north", now)
			}
			route := &psconfig.Route{Name: "boards", TargetLatency: time.Second, Affinity: true}
			r := psselect.Request{
				Route: route, MeanRun: 400 * time.Millisecond, Remaining: 8 * time.Second, ArrivedAt: now,
				Runs: psestimate.Runs{Cached: 400 * time.Millisecond, Uncached: 1400 * time.Millisecond},
			}
			options := make([]psselect.Option, n)
			b.ReportAllocs()
			for b.Loop() {
				for i, s := range servers {
					options[i] = psselect.Option{View: s.View(now), ObjectSent: s.RecentObjects.Contains(7)}
				}
				psselect.Choose(options, r)
			}
		})
	}
}
