package psserver

const (
	// lowHitRate and highHitRate bound the hit rates at which the retention stays unchanged.
	lowHitRate  = 0.65
	highHitRate = 0.85
	// retentionDecrease multiplies the retention at each miss below lowHitRate, and retentionIncrease is added
	// to it at each hit above highHitRate.
	cacheableDecrease = 0.96
	cacheableIncrease = 0.004
	// minRetention is the lower bound of the retention.
	minCacheableFraction = 0.15
)

// Retention estimates which fraction of the objects that are assigned to a server fits into its cache. It
// decreases multiplicatively while the server evicts objects before they are requested again, and increases
// additively while it holds them. The zero value is a server that holds all.
type CacheableFraction struct {
	missing float64
}

// Fraction returns the estimated fraction in 0..1.
func (r *CacheableFraction) Value() float64 { return 1 - r.missing }

// Record updates the estimate with one request, of which held states whether the server had the object in its
// cache, and with the server's current hit rate.
func (r *CacheableFraction) Record(held bool, hitRate float64) {
	fraction := r.Value()
	switch {
	case !held && hitRate < lowHitRate:
		fraction = max(minCacheableFraction, fraction*cacheableDecrease)
	case held && hitRate > highHitRate:
		fraction = min(1, fraction+cacheableIncrease)
	}
	r.missing = 1 - fraction
}
