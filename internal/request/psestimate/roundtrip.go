package psestimate

import (
	"maps"
	"sync"
	"time"
)

// increaseWeight is the weight of a round trip that took longer than the estimate. Queues on the network
// path lengthen single round trips, but a path may also become longer permanently.
const increaseWeight = 0.02

// RoundTrips holds the estimated network round-trip times to servers, by failure domain. The estimates
// follow the shortest measured times. The zero value is empty.
type RoundTrips struct {
	mutex   sync.Mutex
	domains map[string]time.Duration
}

// Observe adds a measured round-trip time, such as that of opening a connection.
func (r *RoundTrips) Observe(domain string, measured time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.domains == nil {
		r.domains = make(map[string]time.Duration)
	}
	old, found := r.domains[domain]
	if found && measured > old {
		measured = old + scale(measured-old, increaseWeight)
	}
	r.domains[domain] = measured
}

// All returns the round-trip times of all failure domains for which one was measured.
func (r *RoundTrips) All() map[string]time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.domains)
}
