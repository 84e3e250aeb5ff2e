package psvm

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psmetric"
	"persimmonstep/internal/process/psplatform"
)

// fleetSize holds the number of VMs of the plan in force. The guard needs it before there
// is a follower, which itself reads through the guard.
type fleetSize struct {
	atomic.Int64
}

// newGuard makes the guard of the platform's client.
func newGuard(i do.Injector, o Options, l *lifecycle) *psplatform.Guard {
	r := do.MustInvoke[*psmetric.Metrics](i).Registry
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "persimmonstep", Name: "platform_calls_total", Help: "Calls to the platform by kind and end.",
	}, []string{"call", "end"})
	duration := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "persimmonstep", Name: "platform_call_seconds", Help: "Time of calls to the platform.",
		Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
	}, []string{"call"})
	outage := prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "persimmonstep", Name: "platform_outage", Help: "1 while the platform is taken to be down.",
	})
	r.MustRegister(calls, duration, outage)
	size := do.MustInvoke[*fleetSize](i)
	g := psplatform.NewGuard(psplatform.GuardOptions{
		Platform: do.MustInvoke[*psplatform.Client](i),
		Fleet:    func() int { return int(size.Load()) },
		Observe: func(c psplatform.Call, e psplatform.End, took time.Duration) {
			calls.WithLabelValues(string(c), string(e)).Inc()
			if e != psplatform.EndNotTried {
				duration.WithLabelValues(string(c)).Observe(took.Seconds())
			}
		},
		Switched: func(open bool) {
			if open {
				outage.Set(1)
				psevent.PlatformDown.Log(o.Logger)
				return
			}
			outage.Set(0)
			psevent.PlatformBack.Log(o.Logger)
		},
		Now: time.Now,
	})
	l.task(g.Run)
	return g
}
