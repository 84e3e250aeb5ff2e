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
	// firstMissing and firstHeld are the estimates before the first answer, in target latencies.
	firstMissing = 1.3
	firstHeld    = 0.38
	// weight is the weight of one answer.
	weight = 0.05
	// maxTargets bounds what one answer may say, in target latencies.
	maxTargets = 5
)

// Runs are the estimated run times of a route.
type Runs struct {
	// Held is the run time on a server that holds the object, Missing on one that doesn't.
	Held    time.Duration `json:"held"`
	Missing time.Duration `json:"missing"`
}

// Estimates holds the estimates of all routes and services. The zero value is empty.
type Estimates struct {
	mutex    sync.Mutex
	routes   map[string]*Runs
	services map[string]time.Duration
	// answers are the mean sizes of a route's answers, in bytes.
	answers map[string]float64
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
		r = &Runs{Held: scale(target, firstHeld), Missing: scale(target, firstMissing)}
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

// AnswerBytes returns the mean size of a route's answers; 0 before the first.
func (e *Estimates) AnswerBytes(route string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return int(e.answers[route])
}

// Answered takes in the size of an answer, in bytes.
func (e *Estimates) Answered(route string, bytes int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.answers == nil {
		e.answers = make(map[string]float64)
	}
	mean, found := e.answers[route]
	if !found {
		mean = float64(bytes)
	}
	e.answers[route] = mean*(1-weight) + float64(bytes)*weight
}

// Observed is a run that did not wait in the server's queue.
type Observed struct {
	Route, Service string
	Target         time.Duration
	// Took is the run time, without the way there and back.
	Took time.Duration
}

// Warm reports whether a run time is nearer to that of a server that holds the object.
func (r Runs) Warm(took time.Duration) bool { return took < (r.Held+r.Missing)/2 }

// Observe takes in a run.
func (e *Estimates) Observe(o Observed) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	took := min(o.Took, maxTargets*o.Target)
	r := e.route(o.Route, o.Target)
	if r.Warm(took) {
		r.Held = blend(r.Held, took)
	} else {
		r.Missing = blend(r.Missing, took)
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
