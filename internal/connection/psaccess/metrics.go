package psaccess

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"persimmonstep/internal/connection/psforward"
	"persimmonstep/internal/connection/pspool"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/pstoken"
)

const namespace = "persimmonstep"

// Metrics are the Prometheus metrics of a proxy.
type Metrics struct {
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	duration *prometheus.HistogramVec
	// expectedWaits are the queueing delays that were expected at the selected servers, and loadAges the ages of the
	// load reports by which these were selected.
	expectedWaits prometheus.Histogram
	loadAges      prometheus.Histogram
	tokens        *prometheus.CounterVec
	serverTokens  *prometheus.CounterVec
	forwarded     *prometheus.CounterVec
	// shortage counts the requests that were rejected for lack of slots.
	shortage *prometheus.CounterVec
	// beyondUsual counts the requests beyond the usual amount of their workspace.
	beyondUsual prometheus.Counter
}

// NewMetrics returns the metrics of a proxy after registering them.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "steered_requests_total", Help: "Requests by kind, status and reason.",
		}, []string{"kind", "status", "reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "steered_tries_total", Help: "Requests to backend servers by how they ended.",
		}, []string{"ending"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "steered_request_duration_seconds", Help: "Time from a request's arrival to its outcome.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 10),
		}, []string{"kind"}),
		expectedWaits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "steered_expected_wait_seconds", Help: "Expected time in the chosen server's queue.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 10),
		}),
		loadAges: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "steered_load_age_seconds", Help: "Age of the load report of the chosen server.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "steered_tokens_total", Help: "Tokens of workspaces by what came of them: granted, ahead (held before the request), over or unasked.",
		}, []string{"verdict"}),
		serverTokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "steered_server_tokens_total",
			Help: "Tokens of servers' limits by what came of them: granted, over, deferred (not requested) or unasked.",
		}, []string{"verdict"}),
	}
	m.forwarded = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "steered_forwarded_total",
		Help: "Requests sent through other VMs by how that ended: served, rejected, failed, unsent or left.",
	}, []string{"ending"})
	m.shortage = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "steered_shortage_total", Help: "Requests rejected for lack of slots, by priority and reason.",
	}, []string{"priority", "reason"})
	m.beyondUsual = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "steered_beyond_usual_total",
		Help: "Requests beyond the usual amount of their workspace, which yield to others of their priority when slots are short.",
	})
	r.MustRegister(m.shortage, m.beyondUsual, m.requests, m.attempts, m.duration, m.expectedWaits, m.loadAges, m.tokens, m.serverTokens, m.forwarded)
	return m
}

// RegisterConnections registers the metrics of the connections to backend servers.
func RegisterConnections(r prometheus.Registerer, usage func() pspool.Usage) {
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "server_connections", Help: "Open connections to backend servers.",
		}, func() float64 { return float64(usage().Open) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "server_connections_evicted_total",
			Help: "Idle connections to backend servers that were closed because the VM had too many.",
		}, func() float64 { return float64(usage().Evicted) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "server_connections_refused_total",
			Help: "Connections to backend servers that were not opened because all of the VM's connections were in use.",
		}, func() float64 { return float64(usage().Refused) }),
	)
}

// observe records an ended request and its attempts.
func (m *Metrics) observe(r Record) {
	kind, reason := "unmatched", r.Reason
	if r.Route != nil {
		kind = r.Route.Kind.String()
	}
	if r.Event.Number == psevent.RequestCanceled.Number {
		reason = "callerLeft"
	}
	m.requests.WithLabelValues(kind, strconv.Itoa(r.Status), reason).Inc()
	if r.Basis != nil {
		m.shortage.WithLabelValues(strconv.Itoa(r.Basis.Priority), r.Reason).Inc()
	}
	m.duration.WithLabelValues(kind).Observe(r.Took.Seconds())
	for _, a := range r.Attempts {
		m.attempts.WithLabelValues(string(a.Result)).Inc()
		m.expectedWaits.Observe(a.Choice.Wait.Seconds())
		m.loadAges.Observe(a.View.LoadAge.Seconds())
	}
}

// CountBeyondUsual counts a request beyond the usual amount of its workspace.
func (m *Metrics) CountBeyondUsual() { m.beyondUsual.Inc() }

// ObserveToken records what came of a token of a workspace.
func (m *Metrics) ObserveToken(v pstoken.Verdict) { m.tokens.WithLabelValues(label(v)).Inc() }

// ObserveServerToken records what came of a token of a server's limit.
func (m *Metrics) ObserveServerToken(v pstoken.Verdict) {
	m.serverTokens.WithLabelValues(label(v)).Inc()
}

// label returns the label of a verdict.
func label(v pstoken.Verdict) string {
	switch v := v.(type) {
	case pstoken.Granted:
		if v.Ahead {
			return "ahead"
		}
		return "granted"
	case pstoken.OverLimit:
		return "over"
	case pstoken.Deferred:
		return "deferred"
	}
	return "unasked"
}

// ObserveForwarded records how sending a request through another VM ended.
func (m *Metrics) ObserveForwarded(r psforward.Reply) {
	ending := "unsent"
	switch r.(type) {
	case psforward.Served:
		ending = "served"
	case psforward.Rejected:
		ending = "rejected"
	case psforward.Failed:
		ending = "failed"
	case psforward.Canceled:
		ending = "left"
	}
	m.forwarded.WithLabelValues(ending).Inc()
}
