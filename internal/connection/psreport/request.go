package psreport

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// A request waits for its response for timeoutFactor times the mean round-trip time of the VM, but at least for
	// minRequestTimeout and at most for maxRequestTimeout. A VM that hasn't responded yet gets maxRequestTimeout.
	minAskTimeout   = 70 * time.Millisecond
	firstAskTimeout = 250 * time.Millisecond
	askFactor       = 3
	// roundTripWeight is the weight of the latest response in the mean round-trip time.
	delayWeight = 0.2
	// maxCachedResponses is the number of responses that are kept for requests that are sent again.
	keptAnswers = 512
)

// roundTrips holds the mean round-trip times of requests to other VMs. The zero value is empty.
type delays struct {
	mutex sync.Mutex
	usual map[netip.AddrPort]time.Duration
}

// observe adds a measured round-trip time to the mean, which is an exponential moving average.
func (r *delays) observe(vm netip.AddrPort, took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.usual == nil {
		r.usual = make(map[netip.AddrPort]time.Duration)
	}
	if old, found := r.usual[vm]; found {
		took = old + time.Duration(delayWeight*float64(took-old))
	}
	r.usual[vm] = took
}

// timeout returns how long a request to a VM waits for its response.
func (r *delays) timeout(vm netip.AddrPort) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	mean, found := r.usual[vm]
	if !found {
		return firstAskTimeout
	}
	return min(firstAskTimeout, max(minAskTimeout, askFactor*mean))
}

// requestKey identifies a request of another VM.
type question struct {
	from netip.AddrPort
	id   uint64
}

// responseCache holds the latest responses, which makes requests idempotent: a request that is sent again, because its
// response was late or lost, takes no second token. The zero value is empty.
type answers struct {
	given map[question][]byte
	order [keptAnswers]question
	next  int
}

func (c *answers) get(k question) ([]byte, bool) {
	data, found := c.given[k]
	return data, found
}

func (c *answers) put(k question, data []byte) {
	if c.given == nil {
		c.given = make(map[question][]byte)
	}
	delete(c.given, c.order[c.next])
	c.order[c.next] = k
	c.next = (c.next + 1) % keptAnswers
	c.given[k] = data
}
