package psserve

import (
	"github.com/prometheus/client_golang/prometheus"

	"persimmonstep/internal/connection/psbudget"
)

const namespace = "persimmonstep"

// Metrics are the Prometheus metrics of all servers of a process. A nil value records nothing.
type Metrics struct {
	events *prometheus.CounterVec
}

// NewMetrics returns the metrics, with those of the budget, after registering them.
func NewMetrics(r prometheus.Registerer, b *psbudget.Budget) *Metrics {
	m := &Metrics{prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "steered_connections_total",
		Help: "Connections by listener and event: accepted, refused, closed by reason (idle, descriptors, memory, shutdown), " +
			"heads refused by reason (head:REASON), and requests that were begun beside earlier ones (pipelined).",
	}, []string{"listener", "event"})}
	r.MustRegister(m.events, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "steered_held_bytes", Help: "Bytes that are held for callers.",
	}, func() float64 { return float64(b.Usage().Used) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "steered_held_limit_bytes", Help: "Bytes that may be held for callers.",
	}, func() float64 { return float64(b.Usage().Total) }), prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "steered_held_refused_total", Help: "Amounts of memory for callers that were not granted.",
	}, func() float64 { return float64(b.Usage().Refused) }))
	return m
}

func (m *Metrics) count(listener, event string) {
	if m != nil {
		m.events.WithLabelValues(listener, event).Inc()
	}
}
