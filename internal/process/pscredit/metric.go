package pscredit

import (
	"github.com/prometheus/client_golang/prometheus"

	"persimmonstep/internal/process/pspool"
)

const namespace = "persimmonstep"

// RegisterMetrics shows the slots and the loans of a VM in a registry.
func RegisterMetrics(r prometheus.Registerer, b *Bank, d *pspool.Dispatcher) {
	counter := func(name, help string, value func(Calls) uint64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help},
			func() float64 { return float64(value(b.Calls())) })
	}
	gauge := func(name, help string, value func(pspool.Usage) int) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help},
			func() float64 { return float64(value(d.Usage())) })
	}
	r.MustRegister(
		counter("slot_borrow_calls_total", "Questions to other VMs for slots.", func(c Calls) uint64 { return c.Borrow }),
		counter("slot_settle_calls_total", "Renewals and returns of borrowed slots.", func(c Calls) uint64 { return c.Settle }),
		counter("slots_borrowed_total", "Slots that other VMs lent.", func(c Calls) uint64 { return c.Slots }),
		gauge("slots_running", "Slots in use.", func(u pspool.Usage) int { return u.Running }),
		gauge("slots_waiting", "Requests that wait for a slot.", func(u pspool.Usage) int { return u.Waiting }),
		gauge("slots_base", "Slots that belong to this VM now.", func(u pspool.Usage) int { return u.Base }),
		gauge("slots_lent", "Slots that are lent to other VMs.", func(u pspool.Usage) int { return u.Lent }),
	)
}
