package psselect_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/request/psadmission"
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

// TestQuestionForTokenCountsAgainstDeadline guards against sending a request that can't be answered in time, because a
// token of the distant server's limit must be requested first.
func TestQuestionForTokenCountsAgainstDeadline(t *testing.T) {
	route := &psconfig.Route{Name: "boards", TargetLatency: 200 * time.Millisecond, Affinity: true}
	r := psselect.Request{
		Route: route, MeanRun: 50 * time.Millisecond, Remaining: 160 * time.Millisecond, ArrivedAt: time.Unix(1000, 0),
		Runs: psestimate.Runs{Cached: 50 * time.Millisecond, Uncached: 50 * time.Millisecond},
	}
	for _, needsToken := range []bool{false, true} {
		view := psserver.New(psserver.Entry{ID: "i-1", Slots: 4, FailureDomain: "south-a"}, "south", r.ArrivedAt).View(r.ArrivedAt)
		options := []psselect.Option{{View: view, Region: "south", RoundTrip: 70 * time.Millisecond, NeedsToken: needsToken}}
		_, rejected := psselect.Admit(psselect.Choose(options, r), r).(psadmission.Rejected)
		qt.Check(t, rejected, qt.Equals, needsToken)
	}
}
