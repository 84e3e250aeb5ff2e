// Package psmetric counts what a VM does, for Prometheus.
package psmetric

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/version/psdoc"
)

const namespace = "persimmonstep"

// Metrics holds the metrics of one VM in a registry of their own.
type Metrics struct {
	// Registry holds all metrics of the VM.
	Registry *prometheus.Registry

	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
	refusals *prometheus.CounterVec
	broken   *prometheus.CounterVec
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
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "refusals_total", Help: "Refused requests by code and by whether they ran.",
		}, []string{"code", "ran"}),
		broken: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "broken_answers_total", Help: "Answers that broke off after the caller saw a part of them.",
		}, []string{"route"}),
	}
	m.Registry.MustRegister(m.requests, m.duration, m.refusals, m.broken)
	return m
}

// Answered counts an answered or refused request.
func (m *Metrics) Answered(route, workspace psdoc.Name, status int, took time.Duration) {
	m.requests.WithLabelValues(string(route), string(workspace), strconv.Itoa(status)).Inc()
	m.duration.WithLabelValues(string(route)).Observe(took.Seconds())
}

// Refused counts a refusal by its code and by whether the request ran.
func (m *Metrics) Refused(code string, ran psproblem.Ran) {
	m.refusals.WithLabelValues(code, string(ran)).Inc()
}

// BrokenOff counts an answer that broke off after the caller saw a part of it.
func (m *Metrics) BrokenOff(route psdoc.Name) {
	m.broken.WithLabelValues(string(route)).Inc()
}
