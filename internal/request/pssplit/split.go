// Package pssplit splits the requests of a route between services by weight.
//
// Each request goes to the service with the fewest requests for its weight. The shares of services thus
// follow the weights closely after a few dozen requests, also when the weights have just changed.
package pssplit

import (
	"slices"
	"sync"

	"persimmonstep/internal/version/psconfig"
)

// halvingCount is the sum of a route's counts above which all of them are halved, so that older requests
// count for less.
const halvingCount = 400

// Splitter holds the split of each route. The zero value is empty.
type Splitter struct {
	mutex  sync.Mutex
	routes map[string]*split
}

// split counts the requests that each service of a route got.
type split struct {
	backends []psconfig.Backend
	counts   []float64
	total    float64
}

// Next returns the service of a route's next request: the one with the fewest requests for its weight.
func (s *Splitter) Next(r *psconfig.Route) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.splitOf(r).next()
}

// splitOf returns the split of a route. The counts start anew when the route's services or weights change.
func (s *Splitter) splitOf(r *psconfig.Route) *split {
	if s.routes == nil {
		s.routes = make(map[string]*split)
	}
	v, found := s.routes[r.Name]
	if !found || !slices.Equal(v.backends, r.Backends) {
		v = &split{backends: r.Backends, counts: make([]float64, len(r.Backends))}
		s.routes[r.Name] = v
	}
	return v
}

func (v *split) next() string {
	best, least := -1, 0.0
	for i, b := range v.backends {
		if b.Weight <= 0 {
			continue
		}
		if c := (v.counts[i] + 1) / b.Weight; best < 0 || c < least {
			best, least = i, c
		}
	}
	v.counts[best]++
	v.total++
	if v.total > halvingCount {
		v.halve()
	}
	return v.backends[best].Service
}

func (v *split) halve() {
	v.total = 0
	for i := range v.counts {
		v.counts[i] /= 2
		v.total += v.counts[i]
	}
}
