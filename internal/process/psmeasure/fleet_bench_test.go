package psmeasure_test

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psdev"
	"persimmonstep/internal/version/psdoc"
)

const (
	// settleSpan lets a fleet come to rest before it is measured.
	settleSpan = 5 * time.Second
	idleSpan   = 8 * time.Second
)

// fleet is a topology without load: failure domains with equally many VMs.
func fleet(domains, vmsPerDomain, workspaces int) psdev.Topology {
	t := psdev.Example()
	t.Regions, t.Domains, t.VMs, t.Servers, t.Workspaces = nil, nil, nil, nil, nil
	for d := range domains {
		region := psdoc.Name(fmt.Sprintf("r%d", d/2))
		if d%2 == 0 {
			t.Regions = append(t.Regions, psdoc.Region{Name: region})
		}
		domain := psdoc.Name(fmt.Sprintf("d%d", d))
		t.Domains = append(t.Domains, psdoc.FailureDomain{Name: domain, Region: region})
		for v := range vmsPerDomain {
			t.VMs = append(t.VMs, psdev.TopologyVM{Name: psdoc.Name(fmt.Sprintf("vm-%d-%d", d, v)), Region: region, Domain: domain})
		}
	}
	for i, pool := range []psdoc.Name{"prices", "orders", "photos"} {
		t.Servers = append(t.Servers, psdev.TopologyServer{Name: psdoc.Name(fmt.Sprintf("s%d", i)), Domain: "d0", Pool: pool, Slots: 4})
	}
	for w := range workspaces {
		t.Workspaces = append(t.Workspaces, psdoc.Workspace{Name: psdoc.Name(fmt.Sprintf("w%d", w)), Rate: 100, Burst: 50})
	}
	return t
}

// BenchmarkIdleFleet is the cost of control of each VM while no request comes. The processor
// time includes the platform stand-in's.
//
//	go test -run xxx -bench IdleFleet -benchtime 1x ./internal/process/psmeasure
func BenchmarkIdleFleet(b *testing.B) {
	for _, v := range []struct{ domains, vms, workspaces int }{
		{1, 2, 8},
		{1, 8, 8},
		{1, 24, 8},
		{2, 4, 8},
		{8, 4, 8},
		{16, 4, 8},
		{2, 4, 800},
		{2, 4, 8000},
	} {
		name := fmt.Sprintf("domains=%d/vmsPerDomain=%d/workspaces=%d", v.domains, v.vms, v.workspaces)
		b.Run(name, func(b *testing.B) {
			before := heap()
			s, stop, err := psdev.New(b.Context(), fleet(v.domains, v.vms, v.workspaces), hclog.NewNullLogger())
			qt.Assert(b, err, qt.IsNil)
			defer stop()
			time.Sleep(settleSpan)
			for b.Loop() {
				report(b, s, float64(v.domains*v.vms))
			}
			b.ReportMetric(float64(heap()-before)/float64(v.domains*v.vms)/1e6, "heapMB/VM")
		})
	}
}

// report measures a span of idling, for each VM and second.
func report(b *testing.B, s *psdev.System, vms float64) {
	bytes, reads, commits, cpu := s.Peers.Bytes(), s.Platform.Store.Reads(), s.Platform.Store.Commits(), processorTime()
	time.Sleep(idleSpan)
	each := vms * idleSpan.Seconds()
	b.ReportMetric(float64(s.Peers.Bytes()-bytes)/each, "peerB/s/VM")
	b.ReportMetric(float64(s.Platform.Store.Reads()-reads)/each, "reads/s/VM")
	b.ReportMetric(float64(s.Platform.Store.Commits()-commits)/each, "commits/s/VM")
	b.ReportMetric(100*(processorTime()-cpu).Seconds()/each, "core%/VM")
	b.ReportMetric(0, "ns/op")
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
