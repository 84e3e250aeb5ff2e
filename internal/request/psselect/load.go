package psselect

import (
	"time"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/request/psdecay"
)

const (
	// freshTimeConstant is the time constant with which load reports lose their weight in the mean load of all servers, and
	// staleTimeConstant that with which the mean load supersedes the report of a server that is older than minStaleAge.
	freshTimeConstant = 800 * time.Millisecond
	staleTimeConstant = 400 * time.Millisecond
	minStaleAge       = 100 * time.Millisecond
	// fullQueue is the mean queue from which on the mean load supersedes old reports completely, in requests per slot.
	fullQueue = 0.25
	// minReports is the least number of recent reports from which a mean is taken, and idleServers the number of idle servers
	// that are assumed in addition, so that few reports don't indicate a shortage.
	minReports  = 2.0
	idleServers = 1.0
)

// perSlot is a mean load in requests per slot.
type perSlot float64

// meanLoad returns the mean load of a service's servers by their recent reports. Each server counts once, so that those to which
// this VM sends most requests don't determine the mean.
func meanLoad(options []Option) perSlot {
	sum, weights := 0.0, 0.0
	for i := range options {
		v := &options[i].View
		if weight := psdecay.Factor(v.LoadAge, freshTimeConstant); weight > 0 && !v.Cold {
			sum += weight * v.ReportedLoad / float64(max(1, v.Entry.Slots))
			weights += weight
		}
	}
	if weights < minReports {
		return 0
	}
	return perSlot(sum / (weights + idleServers))
}

// estimate returns the expected number of requests at a server. In a large fleet most servers have sent this VM no report for a
// second or more. While the others have queues on average, such a server is assumed to have one too. Otherwise each VM would
// find servers that seem to have none, and all would go on sending until all responses are late.
func (m perSlot) estimate(v *psserver.View) float64 {
	if m <= 1 {
		return v.Load
	}
	stale := 1 - psdecay.Factor(v.LoadAge-minStaleAge, staleTimeConstant)
	stale *= min(1, float64(m-1)/fullQueue)
	return v.Load + stale*max(0, float64(m)*float64(v.Entry.Slots)-v.Load)
}
