// Package pscache estimates how well the objects that are sent to a backend server fit into its cache.
package pscache

const (
	// lowHitRate and highHitRate bound the hit rates at which the cacheable fraction stays unchanged.
	lowHitRate  = 0.65
	highHitRate = 0.85
	// cacheableDecrease multiplies the cacheable fraction at each miss below lowHitRate, and cacheableIncrease
	// is added to it at each hit above highHitRate.
	cacheableDecrease = 0.96
	cacheableIncrease = 0.004
	// minCacheableFraction is the lower bound of the cacheable fraction.
	minCacheableFraction = 0.15
)

// CacheableFraction estimates which fraction of the objects whose primary server this is fits into its cache. It
// decreases multiplicatively while the server evicts objects before they are requested again, and increases
// additively while it holds them. The zero value is a server that holds all.
type CacheableFraction struct {
	missing float64
}

// Value returns the estimated fraction in 0..1.
func (f *CacheableFraction) Value() float64 { return 1 - f.missing }

// Record updates the estimate with one request, of which hit states whether the server had the object in its
// cache, and with the server's current hit rate.
func (f *CacheableFraction) Record(hit bool, hitRate float64) {
	fraction := f.Value()
	switch {
	case !hit && hitRate < lowHitRate:
		fraction = max(minCacheableFraction, fraction*cacheableDecrease)
	case hit && hitRate > highHitRate:
		fraction = min(1, fraction+cacheableIncrease)
	}
	f.missing = 1 - fraction
}
