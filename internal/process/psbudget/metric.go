package psbudget

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts what a book does.
type Metrics struct {
	admitted prometheus.Counter
	refused  prometheus.Counter
	waited   prometheus.Counter
	calls    *prometheus.CounterVec
	grants   *prometheus.CounterVec
}

// NewMetrics returns the metrics of a book, registered at a registry.
func NewMetrics(r prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "persimmonstep", Subsystem: "budget", Name: name, Help: help})
	}
	vector := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "persimmonstep", Subsystem: "budget", Name: name, Help: help}, labels)
	}
	m := &Metrics{
		admitted: counter("admitted_total", "Requests admitted by their workspace's rate."),
		refused:  counter("refused_total", "Requests refused because their workspace was over its rate."),
		waited:   counter("waited_total", "Requests that waited for tokens before they were admitted or refused."),
		calls:    vector("calls_total", "Calls to other VMs about loans, by kind and outcome.", "kind", "outcome"),
		grants:   vector("grants_total", "Requests for loans of other VMs, by outcome.", "outcome"),
	}
	r.MustRegister(m.admitted, m.refused, m.waited, m.calls, m.grants)
	return m
}

func (m *Metrics) called(kind string, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	m.calls.WithLabelValues(kind, outcome).Inc()
}

func (m *Metrics) lent(a loanAnswer) {
	outcome := "lent"
	if a.Grant.empty() {
		outcome = "nothing"
	}
	m.grants.WithLabelValues(outcome).Inc()
}
