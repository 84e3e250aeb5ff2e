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
	// averageLoadWeight is the weight of one report in the moving average of the load.
	averageLoadWeight = 0.15
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
	l.average = average + averageLoadWeight*(others-average)
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
