package pshealth

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts what happens to backend servers.
type Metrics struct {
	phases *prometheus.CounterVec
	probes *prometheus.CounterVec
}

// NewMetrics returns metrics that are entered in a registry.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		phases: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "persimmonstep", Name: "server_phase_changes_total", Help: "Changes of backend servers to a phase.",
		}, []string{"phase"}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "persimmonstep", Name: "server_probes_total", Help: "Probes of backend servers by result.",
		}, []string{"result"}),
	}
	r.MustRegister(m.phases, m.probes)
	return m
}

func (m *Metrics) phase(v phase) {
	name := "warm"
	switch v.(type) {
	case ramping:
		name = "ramping"
	case ejected:
		name = "ejected"
	case down:
		name = "down"
	}
	m.phases.WithLabelValues(name).Inc()
}

func (m *Metrics) probed(v result) {
	name := "well"
	switch {
	case !v.reached:
		name = "unreachable"
	case !v.answered:
		name = "noAnswer"
	case v.draining:
		name = "leaving"
	case !v.well:
		name = "unwell"
	}
	m.probes.WithLabelValues(name).Inc()
}
