// Package psoutlier detects outliers: servers that are slow and not just busy.
//
// It answers this failure pattern: one of a service's servers runs several times slower than the
// others, and requests that are sent there before its responses show this are answered late. A server
// becomes suspect when a request there stays unanswered for longer than its queue and a run without
// the cached object account for. Under overload this holds for many servers at once, and none of them
// is at fault. So servers are compared with the others of their service: only a few can be outliers.
//
// The package does no I/O and reads no clock.
package psoutlier

const (
	// suspectLag is the lag above which a server is suspect. It exceeds 1 because run times differ between
	// requests.
	suspectLag = 1.4
	// maxOutlierFraction is the fraction of a service's servers that can be outliers; one always can be.
	maxOutlierFraction = 1.0 / 8
	// minServers is the least number of servers that can be compared.
	minServers = 3
)

// Find reports which servers are outliers, or returns nil if none is. A lag is the latency of a response,
// or the age of a request that is still unanswered, as a multiple of the longest latency that the
// server's queue and a run without the cached object account for.
func Find(lags []float64) []bool {
	suspects := 0
	for _, v := range lags {
		if v > suspectLag {
			suspects++
		}
	}
	if suspects == 0 || len(lags) < minServers || suspects > max(1, int(maxOutlierFraction*float64(len(lags)))) {
		return nil
	}
	found := make([]bool, len(lags))
	for i, v := range lags {
		found[i] = v > suspectLag
	}
	return found
}
