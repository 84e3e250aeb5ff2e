// Package pshealth judges backend servers by what this VM observed of them.
//
// A VM's own failures and latencies rank before what a server reports of itself, because
// reports lag or mislead.
package pshealth

import (
	"sync"
	"time"

	"persimmonstep/internal/request/psgate"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// latencyWeight is the part of the newest observation in the moving average.
const latencyWeight = 0.1

// Tracker keeps the observations of one VM.
type Tracker struct {
	mutex   sync.Mutex
	servers map[psdoc.Name]*state
}

// state is what was observed of one server.
type state struct {
	latency time.Duration
}

// NewTracker returns a tracker that has observed nothing.
func NewTracker() *Tracker {
	return &Tracker{servers: make(map[psdoc.Name]*state)}
}

// Observe takes in the end of one attempt.
func (t *Tracker) Observe(o psgate.Observation) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s, found := t.servers[o.Server.Name]
	if !found {
		s = &state{latency: o.Duration}
		t.servers[o.Server.Name] = s
	}
	s.latency += time.Duration(float64(o.Duration-s.latency) * latencyWeight)
}

// Excluded reports whether the server must receive no new work.
func (t *Tracker) Excluded(*psplan.Server) bool {
	return false
}

// Latency returns the moving average of one server's answers; 0 when unknown.
func (t *Tracker) Latency(v *psplan.Server) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if s, found := t.servers[v.Name]; found {
		return s.latency
	}
	return 0
}
