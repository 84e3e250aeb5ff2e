package psserver

const (
	// lowHitRate and highHitRate bound the hit rates at which the retention stays unchanged.
	lowRecall  = 0.65
	highRecall = 0.85
	// retentionDecrease multiplies the retention at each miss below lowHitRate, and retentionIncrease is added
	// to it at each hit above highHitRate.
	keepShrink = 0.96
	keepGrowth = 0.004
	// minRetention is the lower bound of the retention.
	minKeep = 0.15
)

// Retention estimates which fraction of the objects that are assigned to a server fits into its cache. It
// decreases multiplicatively while the server evicts objects before they are requested again, and increases
// additively while it holds them. The zero value is a server that holds all.
type Keep struct {
	missing float64
}

// Fraction returns the estimated fraction in 0..1.
func (r *Keep) Part() float64 { return 1 - r.missing }

// Record updates the estimate with one request, of which held tells whether the server had the object in its
// cache, and with the server's current hit rate.
func (r *Keep) Note(held bool, hitRate float64) {
	fraction := r.Part()
	switch {
	case !held && hitRate < lowRecall:
		fraction = max(minKeep, fraction*keepShrink)
	case held && hitRate > highRecall:
		fraction = min(1, fraction+keepGrowth)
	}
	r.missing = 1 - fraction
}
