package psselect_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/request/psestimate"
	"persimmonstep/internal/request/psselect"
	"persimmonstep/internal/version/psconfig"
)

// uploadsNear returns the fraction of uploads whose first choice among idle servers is in the VM's failure domain, by the
// number of servers in each of six failure domains. The VM is in the first one.
func uploadsNear(servers [6]int) float64 {
	now := time.Unix(0, 0)
	var options []psselect.Option
	for domain, n := range servers {
		for i := range n {
			name := fmt.Sprint("domain-", domain)
			e := psserver.Entry{ID: fmt.Sprint("server-", domain, "-", i), Slots: 3, FailureDomain: name}
			options = append(options, psselect.Option{View: psserver.New(e, name, now).View(now)})
		}
	}
	route := &psconfig.Route{Name: "photos", Kind: psconfig.Upload, Affinity: true, TargetLatency: target}
	const objects = 2000
	near := 0
	for i := range objects {
		r := psselect.Request{
			Route: route, Object: psselect.ObjectOf(route, fmt.Sprint(i), ""), Bytes: 60 << 10, From: psselect.Place{FailureDomain: "domain-0"},
			ArrivedAt: now, MeanRun: target / 2, Runs: psestimate.Runs{Cached: target / 2, Uncached: target}, Remaining: deadline,
		}
		if options[psselect.Choose(options, r).Index].View.Entry.FailureDomain == "domain-0" {
			near++
		}
	}
	return float64(near) / objects
}

// TestUploadsLeaveFailureDomainWithFewServers guards against a small failure domain whose few servers get all uploads of its
// callers, while others are free.
func TestUploadsLeaveFailureDomainWithFewServers(t *testing.T) {
	for _, tt := range []struct {
		servers   [6]int
		low, high float64
	}{
		{[6]int{3, 3, 3, 3, 3, 3}, 1, 1},
		{[6]int{5, 4, 1, 1, 4, 5}, 1, 1},
		// Three tenths of the uploads stay, and some of the others have their first server there.
		{[6]int{1, 4, 5, 1, 4, 5}, 0.3, 0.37},
		{[6]int{0, 4, 5, 2, 4, 5}, 0, 0},
	} {
		f := uploadsNear(tt.servers)
		qt.Check(t, f >= tt.low && f <= tt.high, qt.IsTrue, qt.Commentf("%v: %.3f near", tt.servers, f))
	}
}
