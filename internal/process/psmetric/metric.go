// Package psmetric counts what a VM does, for Prometheus.
package psmetric

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"persimmonstep/internal/version/psdoc"
)

const namespace = "persimmonstep"

// Metrics holds the metrics of one VM in a registry of their own.
type Metrics struct {
	// Registry holds all metrics of the VM.
	Registry *prometheus.Registry

	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

// New returns the metrics of a VM.
func New() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests by route, workspace and status.",
		}, []string{"route", "workspace", "status"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_duration_seconds", Help: "Time from a request's first step to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"route"}),
	}
	m.Registry.MustRegister(m.requests, m.duration)
	return m
}

// Answered counts an answered or refused request.
func (m *Metrics) Answered(route, workspace psdoc.Name, status int, took time.Duration) {
	m.requests.WithLabelValues(string(route), string(workspace), strconv.Itoa(status)).Inc()
	m.duration.WithLabelValues(string(route)).Observe(took.Seconds())
}
