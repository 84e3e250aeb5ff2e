package psserver

import (
	"time"

	"persimmonstep/internal/request/psdecay"
)

const (
	// minLoadTimeConstant is the least time constant with which a reported load decays, and
	// loadTimeConstantRuns the usual one, in mean run times. By then most of the reported requests have left
	// the server.
	minLoadTimeConstant  = 100 * time.Millisecond
	loadTimeConstantRuns = 2.0
	// averageLoadWeight is the least weight of one report in the moving average of the load. A report that follows the one
	// before it after averageLoadSpan would have all weight, but never more than maxAverageLoadWeight.
	averageLoadWeight    = 0.15
	maxAverageLoadWeight = 0.6
	averageLoadSpan      = 2 * time.Second
	// averageLoadTimeConstant is the time constant with which the average decays without reports.
	averageLoadTimeConstant = 5 * time.Second
)

// load estimates the number of other VMs' requests at a server from the load that responses report. Between
// responses the estimate moves from the latest report to the moving average, because other VMs keep sending
// requests that replace the finished ones.
type load struct {
	// latest is the load of the latest report, and average the moving average of the reports.
	latest, average float64
	waiting         int
	at              time.Time
	// meanRun is the mean run time of the service's requests.
	meanRun time.Duration
}

func (l *load) record(others float64, waiting int, now time.Time) {
	average := l.averageAt(now)
	weight := averageLoadWeight
	if !l.at.IsZero() {
		weight = max(weight, min(maxAverageLoadWeight, float64(now.Sub(l.at))/float64(averageLoadSpan)))
	}
	l.average = average + weight*(others-average)
	l.latest, l.waiting, l.at = others, waiting, now
}

// estimate returns the expected number of other VMs' requests at the server.
func (l *load) estimate(now time.Time) float64 {
	if l.at.IsZero() {
		return 0
	}
	timeConstant := max(minLoadTimeConstant, time.Duration(loadTimeConstantRuns*float64(l.meanRun)))
	average := l.averageAt(now)
	return average + (l.latest-average)*psdecay.Factor(now.Sub(l.at), timeConstant)
}

func (l *load) averageAt(now time.Time) float64 {
	if l.at.IsZero() {
		return 0
	}
	return l.average * psdecay.Factor(now.Sub(l.at), averageLoadTimeConstant)
}
