package psrate

import (
	"slices"
	"time"
)

// DemandHistory holds the demands of one VM that it has reported to the others. The zero value is empty.
type DemandHistory struct {
	// reported are the latest demands, the newest one last.
	reported []reportedDemand
}

type reportedDemand struct {
	at time.Time
	// rate is in requests per second.
	rate float64
}

// maxReports is the number of reports that are kept.
const maxReports = 64

// Record adds the demand that the VM reports now.
func (d *DemandHistory) Record(rate float64, now time.Time) {
	if len(d.reported) == maxReports {
		d.reported = slices.Delete(d.reported, 0, 1)
	}
	d.reported = append(d.reported, reportedDemand{now, rate})
}

// Propagated returns the demand on which the VM may count: the lowest one that another VM may know, if it knows a report that
// is not older than window. It is 0 if such a report may be missing here.
func (d *DemandHistory) Propagated(window time.Duration, now time.Time) float64 {
	if len(d.reported) == 0 || now.Sub(d.reported[0].at) < window {
		return 0
	}
	lowest := d.reported[len(d.reported)-1].rate
	for _, r := range slices.Backward(d.reported) {
		if now.Sub(r.at) > window {
			break
		}
		lowest = min(lowest, r.rate)
	}
	return lowest
}
