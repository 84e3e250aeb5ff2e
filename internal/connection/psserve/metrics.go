package psserve

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the Prometheus metrics of all servers of a process. A nil value records nothing.
type Metrics struct {
	events *prometheus.CounterVec
}

// NewMetrics returns the metrics after registering them.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "persimmonstep", Name: "steered_connections_total",
		Help: "Connections by listener and event: accepted, refused, closed by reason (idle, descriptors, memory, shutdown), " +
			"heads refused by reason (head:REASON), and requests that were begun beside earlier ones (pipelined).",
	}, []string{"listener", "event"})}
	r.MustRegister(m.events)
	return m
}

func (m *Metrics) count(listener, event string) {
	if m != nil {
		m.events.WithLabelValues(listener, event).Inc()
	}
}
