// Package psestimate learns how long the requests of each route run on a backend server.
//
// A server that handled an object lately runs its requests faster, so each route has one
// estimate for servers that hold the object and one for servers that don't.
package psestimate

import (
	"sync"
	"time"
)

const (
	// firstCold and firstWarm are the estimates before the first answer, in target latencies.
	firstCold = 1.2
	firstWarm = 0.36
	// weight is the weight of one answer.
	weight = 0.05
	// maxTargets bounds what one answer may say, in target latencies.
	maxTargets = 5
)

// Runs are the estimated run times of a route.
type Runs struct {
	Warm, Cold time.Duration
}

// Estimates holds the estimates of all routes and services. The zero value is empty.
type Estimates struct {
	mutex    sync.Mutex
	routes   map[string]*Runs
	services map[string]time.Duration
}

// Runs returns the estimates of a route with a target latency.
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
		r = &Runs{Warm: scale(target, firstWarm), Cold: scale(target, firstCold)}
		e.routes[route] = r
	}
	return r
}

// Mean returns the estimated run time of a service's requests of any route.
func (e *Estimates) Mean(service string, otherwise time.Duration) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if d, found := e.services[service]; found {
		return d
	}
	return otherwise
}

// Observed is a run that did not wait in the server's queue.
type Observed struct {
	Route, Service string
	Target         time.Duration
	// Warm says that the server was expected to hold the object.
	Warm bool
	Took time.Duration
}

// Observe takes in a run.
func (e *Estimates) Observe(o Observed) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	took := min(o.Took, maxTargets*o.Target)
	r := e.route(o.Route, o.Target)
	if o.Warm {
		r.Warm = blend(r.Warm, took)
	} else {
		r.Cold = blend(r.Cold, took)
	}
	if d, found := e.services[o.Service]; found {
		took = blend(d, took)
	}
	e.services[o.Service] = took
}

func blend(old, value time.Duration) time.Duration {
	return scale(old, 1-weight) + scale(value, weight)
}

func scale(d time.Duration, x float64) time.Duration {
	return time.Duration(float64(d) * x)
}
