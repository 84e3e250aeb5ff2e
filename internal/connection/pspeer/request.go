package pspeer

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// A request waits for its response for timeoutFactor times the mean round-trip time of the VM, but at least for
	// minRequestTimeout and at most for maxRequestTimeout. If the VM hasn't responded before, it is maxRequestTimeout.
	minRequestTimeout = 70 * time.Millisecond
	maxRequestTimeout = 250 * time.Millisecond
	timeoutFactor     = 3
	// roundTripWeight is the weight of the latest response in the mean round-trip time.
	roundTripWeight = 0.2
	// maxCachedResponses is the number of responses that are kept for retries of requests.
	maxCachedResponses = 512
)

// roundTrips holds the mean round-trip times of requests to other VMs. The zero value is empty.
type roundTrips struct {
	mutex sync.Mutex
	means map[netip.AddrPort]time.Duration
}

// observe adds a measured round-trip time to the mean, which is an exponential moving average.
func (r *roundTrips) observe(vm netip.AddrPort, took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.means == nil {
		r.means = make(map[netip.AddrPort]time.Duration)
	}
	if old, found := r.means[vm]; found {
		took = old + time.Duration(roundTripWeight*float64(took-old))
	}
	r.means[vm] = took
}

// timeout returns how long a request to a VM waits for its response.
func (r *roundTrips) timeout(vm netip.AddrPort) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	mean, found := r.means[vm]
	if !found {
		return maxRequestTimeout
	}
	return min(maxRequestTimeout, max(minRequestTimeout, timeoutFactor*mean))
}

// requestKey identifies a request of another VM.
type requestKey struct {
	from netip.AddrPort
	id   uint64
}

// responseCache holds the latest responses, which makes requests idempotent: a request that is sent again, because its
// response was late or lost, takes no second token. The zero value is empty.
type responseCache struct {
	responses map[requestKey][]byte
	order     [maxCachedResponses]requestKey
	next      int
}

func (c *responseCache) get(k requestKey) ([]byte, bool) {
	data, found := c.responses[k]
	return data, found
}

func (c *responseCache) put(k requestKey, data []byte) {
	if c.responses == nil {
		c.responses = make(map[requestKey][]byte)
	}
	delete(c.responses, c.order[c.next])
	c.order[c.next] = k
	c.next = (c.next + 1) % maxCachedResponses
	c.responses[k] = data
}
