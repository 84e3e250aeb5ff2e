package psproxy

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"persimmonstep/internal/process/psevent"
)

const namespace = "persimmonstep"

// Metrics counts what a gate does.
type Metrics struct {
	requests *prometheus.CounterVec
	tries    *prometheus.CounterVec
	duration *prometheus.HistogramVec
	// waits are the expected times in servers' queues, and loadAges the ages of the load
	// reports by which servers were chosen.
	waits    prometheus.Histogram
	loadAges prometheus.Histogram
	tokens   *prometheus.CounterVec
}

// NewMetrics registers the metrics of a gate.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "steered_requests_total", Help: "Requests by kind, status and reason.",
		}, []string{"kind", "status", "reason"}),
		tries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "steered_tries_total", Help: "Requests to backend servers by how they ended.",
		}, []string{"ending"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "steered_request_duration_seconds", Help: "Time from a request's arrival to its outcome.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 10),
		}, []string{"kind"}),
		waits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "steered_expected_wait_seconds", Help: "Expected time in the chosen server's queue.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 10),
		}),
		loadAges: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "steered_load_age_seconds", Help: "Age of the load report of the chosen server.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "steered_tokens_total", Help: "Tokens of workspaces by what came of them: granted, over or unasked.",
		}, []string{"verdict"}),
	}
	r.MustRegister(m.requests, m.tries, m.duration, m.waits, m.loadAges, m.tokens)
	return m
}

// ended counts a call and its tries.
func (m *Metrics) ended(c *call, e psevent.Event, status int, reason string, took time.Duration) {
	kind := "unmatched"
	if c.route != nil {
		kind = c.route.Kind.String()
	}
	if e.Number == psevent.RequestLeft.Number {
		reason = "callerLeft"
	}
	m.requests.WithLabelValues(kind, strconv.Itoa(status), reason).Inc()
	m.duration.WithLabelValues(kind).Observe(took.Seconds())
	for _, t := range c.tries {
		m.tries.WithLabelValues(string(t.ending)).Inc()
		m.waits.Observe(t.choice.Wait.Seconds())
		m.loadAges.Observe(t.view.LoadAge.Seconds())
	}
}
