package psvm

import "github.com/prometheus/client_golang/prometheus"

// claimMetrics counts the group commits of claims.
type claimMetrics struct {
	commits *prometheus.CounterVec
	claims  prometheus.Counter
}

func newClaimMetrics(r prometheus.Registerer) *claimMetrics {
	m := &claimMetrics{
		commits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "persimmonstep", Name: "claim_commits_total", Help: "Group commits of claims by how they ended.",
		}, []string{"end"}),
		claims: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "persimmonstep", Name: "claim_writes_total", Help: "Claim rows in group commits that were done.",
		}),
	}
	r.MustRegister(m.commits, m.claims)
	return m
}

// observe counts one group commit.
func (m *claimMetrics) observe(batch int, err error) {
	if err == nil {
		m.commits.WithLabelValues("done").Inc()
		m.claims.Add(float64(batch))
		return
	}
	m.commits.WithLabelValues("failed").Inc()
}
