package psplacement

import "time"

const (
	// minSpareWaitTargets and maxSpareWaitTargets are the mean waits between which the use of spare servers ends, in target
	// latencies. A run without the cached object occupies a slot several times as long, so it takes slots from others
	// once most servers have queues.
	minSpareWaitTargets = 0.15
	maxSpareWaitTargets = 0.25
	// maxSpareUtilization is the fraction of its slots that a spare server may use, as reports of its load are late.
	maxSpareUtilization = 0.75
	// maxSpareDistance is how much longer the round trip to a spare server may take. Requests don't move to a more distant
	// region.
	maxSpareDistance = 5 * time.Millisecond
	// maxSpareFailureRate is the failure rate from which on a server is not spare.
	maxSpareFailureRate = 0.1
)

// spare returns the server with free capacity that answers a request soonest which would be late only because of the queue of
// the best server, or the best server if there is none. The object then is cached on a further server, so that its next
// requests can be divided between both. The cost of evicting another object doesn't count, because only servers that can
// cache more objects are spare.
func spare(list []Candidate, ranks *rankings, best Choice, meanWait time.Duration, r Request) Choice {
	if best.Wait == 0 || best.ExpectedLatency() <= r.Target {
		return best
	}
	wait := float64(meanWait) / float64(max(1, r.Target))
	usable := maxSpareUtilization * min(1, (maxSpareWaitTargets-wait)/(maxSpareWaitTargets-minSpareWaitTargets))
	found, least := best, time.Duration(-1)
	for i := range list {
		if !isSpare(&list[i], usable, best) {
			continue
		}
		c, _ := evaluate(&list[i], ranks.rank(&list[i]), r)
		cost := c.Run + c.RoundTrip/roundTripDivisor + list[i].TransferCost + time.Duration(c.Rank)*rankCost
		if c.Wait == 0 && c.ExpectedLatency() < best.ExpectedLatency() && (least < 0 || cost < least) {
			found, least = c, cost
			found.Index = i
		}
	}
	return found
}

// isSpare reports whether a server has free capacity for requests of other servers, in slots and cache, if it uses a part of
// its slots.
func isSpare(c *Candidate, usable float64, best Choice) bool {
	switch {
	case c.Cold || c.Outlier || c.FailureRate > maxSpareFailureRate || c.SilentFor > 0 && c.Load > float64(c.Slots):
		return false
	case c.CacheableFraction < 1 || c.TokenTime > 0 || c.RoundTrip > best.RoundTrip+maxSpareDistance:
		return false
	}
	return c.Load+1 <= usable*float64(c.Slots)
}
