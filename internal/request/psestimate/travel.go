package psestimate

import (
	"maps"
	"sync"
	"time"
)

// travelDrift is the weight of a longer time than the shortest one seen. Queues on the way make
// single times longer, but a path may also change for good.
const travelDrift = 0.02

// Travels holds the times to servers and back, by failure domain. They follow the shortest times
// that were seen. The zero value is empty.
type Travels struct {
	mutex   sync.Mutex
	domains map[string]time.Duration
}

// Observe takes in a time there and back, such as that of opening a connection.
func (t *Travels) Observe(domain string, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.domains == nil {
		t.domains = make(map[string]time.Duration)
	}
	old, found := t.domains[domain]
	if found && took > old {
		took = old + scale(took-old, travelDrift)
	}
	t.domains[domain] = took
}

// All returns the times there and back of the failure domains of which one was seen.
func (t *Travels) All() map[string]time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return maps.Clone(t.domains)
}
