// Package psretry keeps retry budgets, which bound how many requests are sent to a second backend server.
//
// It answers this load pattern: servers reject or lose a part of the requests that they get, and each
// VM retries that part, which adds to the load. The bound holds for all VMs together: each VM applies
// the ratio to its own requests and has an equal share of the retries that are allowed in addition.
package psretry

import (
	"sync"
	"time"
)

const (
	// buckets is the number of buckets of a sliding window; a bucket expires as a whole.
	buckets = 20
	// usableFraction is the fraction of the bound that is used, because the windows of several VMs differ.
	usableFraction = 0.75
)

// Bound is a VM's share of the bound on the retries of one service.
type Bound struct {
	// Ratio is the number of retries allowed for each request in a window.
	Ratio  float64
	Window time.Duration
	// Slack is this VM's share of the retries that are allowed in each window in addition.
	Slack float64
}

// bucket counts the requests and retries of one part of a window.
type bucket struct {
	number            int64
	requests, retries float64
}

// Budgets holds the retry budgets of all services. The zero value is empty.
type Budgets struct {
	mutex    sync.Mutex
	services map[string]*[buckets]bucket
}

// AddRequest counts a request for a service.
func (b *Budgets) AddRequest(service string, window time.Duration, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.bucket(service, window, now).requests++
}

// Take counts a retry if the bound allows it, and reports whether it does.
func (b *Budgets) Take(service string, bound Bound, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	current := b.bucket(service, bound.Window, now)
	var requests, retries float64
	for _, c := range b.services[service] {
		if current.number-c.number < buckets {
			requests += c.requests
			retries += c.retries
		}
	}
	if retries+1 > usableFraction*(bound.Ratio*requests+bound.Slack) {
		return false
	}
	current.retries++
	return true
}

// bucket returns the bucket of a service that counts the present part of the window.
func (b *Budgets) bucket(service string, window time.Duration, now time.Time) *bucket {
	if b.services == nil {
		b.services = make(map[string]*[buckets]bucket)
	}
	list, found := b.services[service]
	if !found {
		list = &[buckets]bucket{}
		b.services[service] = list
	}
	number := now.UnixNano() / int64(window/buckets)
	c := &list[number%buckets]
	if c.number != number {
		*c = bucket{number: number}
	}
	return c
}
