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
func (t *RoundTrips) Observe(domain string, measured time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.domains == nil {
		t.domains = make(map[string]time.Duration)
	}
	old, found := t.domains[domain]
	if found && measured > old {
		measured = old + scale(measured-old, increaseWeight)
	}
	t.domains[domain] = measured
}

// All returns the round-trip times of all failure domains for which one was measured.
func (t *RoundTrips) All() map[string]time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return maps.Clone(t.domains)
}
