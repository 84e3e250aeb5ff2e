package pslease_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"persimmonstep/internal/version/psconfig"
)

// BenchmarkUpdate measures what a VM of a fleet does for leases with each of its reports, four times a second, and the size of
// the lease in a report.
func BenchmarkUpdate(b *testing.B) {
	for _, vms := range []int{9, 84} {
		b.Run(fmt.Sprint("vms=", vms), func(b *testing.B) {
			var list []psconfig.Workspace
			for i := range 20 {
				list = append(list, psconfig.Workspace{Name: fmt.Sprint("workspace-", i), Rate: 1000, Burst: 1000})
			}
			m := newModel(1, vms, list...)
			for at := time.Duration(0); at < startSpan; at += modelStep {
				for n, v := range m.vms {
					v.demands[list[n%len(list)].Name] = 20
				}
				m.step()
			}
			v := m.vms[0]
			lease, err := json.Marshal(v.book.Statement())
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				h := v.book.Update(v.fleet, true, m.now)
				v.shares.RateShares(v.fleet, h, m.index, m.now)
				v.tokens.Update(&v.snapshot)
			}
			b.ReportMetric(float64(len(lease)), "bytes")
		})
	}
}
