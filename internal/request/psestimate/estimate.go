// Package psestimate estimates how long the requests of each route run on a backend server.
//
// A server that has recently handled an object runs its requests faster, so each route has one
// estimate for servers that have the object cached and one for servers that haven't. The package also
// estimates the sizes of responses, the network round-trip times to failure domains, and how long the
// callers that retry have already waited.
package psestimate

import (
	"sync"
	"time"
)

const (
	// initialUncachedTargets and initialCachedTargets are the estimates before the first response, in target
	// latencies.
	initialUncachedTargets = 1.3
	initialCachedTargets   = 0.38
	// responseWeight is the weight of one response in the moving averages.
	responseWeight = 0.05
	// maxRunTargets bounds the run time that one response may contribute, in target latencies.
	maxRunTargets = 5
)

// Runs are the estimated run times of a route.
type Runs struct {
	// Cached is the run time on a server that has the object cached, Uncached that on one that hasn't.
	Cached   time.Duration `json:"held"`
	Uncached time.Duration `json:"missing"`
}

// Estimates holds the estimates of all routes and services. The zero value is empty.
type Estimates struct {
	mutex    sync.Mutex
	routes   map[string]*Runs
	services map[string]time.Duration
	// responseBytes are the mean sizes of responses by route.
	responseBytes map[string]float64
}

// Runs returns the estimated run times of a route with a target latency.
func (e *Estimates) Runs(route string, target time.Duration) Runs {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return *e.route(route, target)
}

func (e *Estimates) route(route string, target time.Duration) *Runs {
	if e.routes == nil {
		e.routes = make(map[string]*Runs)
		e.services = make(map[string]time.Duration)
	}
	r, found := e.routes[route]
	if !found {
		r = &Runs{Cached: scale(target, initialCachedTargets), Uncached: scale(target, initialUncachedTargets)}
		e.routes[route] = r
	}
	return r
}

// MeanRun returns the estimated run time of a service's requests of any route, or a fallback before the
// first response.
func (e *Estimates) MeanRun(service string, fallback time.Duration) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if d, found := e.services[service]; found {
		return d
	}
	return fallback
}

// ResponseBytes returns the mean size of a route's responses; 0 before the first.
func (e *Estimates) ResponseBytes(route string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return int(e.responseBytes[route])
}

// ObserveResponse adds the size of a response to the estimate of its route.
func (e *Estimates) ObserveResponse(route string, bytes int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.responseBytes == nil {
		e.responseBytes = make(map[string]float64)
	}
	mean, found := e.responseBytes[route]
	if !found {
		mean = float64(bytes)
	}
	e.responseBytes[route] = mean*(1-responseWeight) + float64(bytes)*responseWeight
}

// Observation is a run that did not wait in the server's queue.
type Observation struct {
	Route, Service string
	Target         time.Duration
	// Run is the run time, without the network round-trip time.
	Run time.Duration
}

// Hit reports whether a run time is nearer to that of a cache hit than to that of a miss.
func (r Runs) Hit(run time.Duration) bool { return run < (r.Cached+r.Uncached)/2 }

// Observe adds a run to the estimates of its route and service.
func (e *Estimates) Observe(o Observation) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	run := min(o.Run, maxRunTargets*o.Target)
	r := e.route(o.Route, o.Target)
	if r.Hit(run) {
		r.Cached = movingAverage(r.Cached, run)
	} else {
		r.Uncached = movingAverage(r.Uncached, run)
	}
	if d, found := e.services[o.Service]; found {
		run = movingAverage(d, run)
	}
	e.services[o.Service] = run
}

// movingAverage returns an exponential moving average after one more value.
func movingAverage(old, value time.Duration) time.Duration {
	return scale(old, 1-responseWeight) + scale(value, responseWeight)
}

func scale(d time.Duration, x float64) time.Duration {
	return time.Duration(float64(d) * x)
}
