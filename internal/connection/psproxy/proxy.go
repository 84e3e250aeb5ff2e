// Package psproxy serves callers' requests on the users' platform.
//
// A request is matched with a route and a workspace, counted against the workspace's rate,
// placed on a backend server, and answered with that server's whole answer. Where it can't
// be served it is rejected at once, with a time to come back, or fails without a promise
// once it may have run.
package psproxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/connection/psbody"
	"persimmonstep/internal/connection/pscrash"
	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/internal/process/pscontrol"
	"persimmonstep/internal/process/pslog"
	"persimmonstep/internal/process/psnode"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pstoken"
	"persimmonstep/internal/request/psestimate"
	"persimmonstep/internal/request/pspoison"
	"persimmonstep/internal/request/psrepeat"
	"persimmonstep/internal/request/psspread"
	"persimmonstep/platform"
)

const (
	// successLines and failureLines bound the log lines a second.
	successLines = 100
	failureLines = 150
	// returnSlack is how much later than told callers may come back.
	returnSlack = time.Second
)

// Beliefs is what a request needs of the control.
type Beliefs interface {
	Snapshot() *pscontrol.Snapshot
	ServerFailed(s *psserver.Server, reason pscontrol.Reason, requestID string)
	TakeWishes(s *psserver.Server, w platform.Wishes, requestID string)
}

// Options are what a gate needs.
type Options struct {
	Settings   *psnode.Settings
	Transports *pstransport.Transports
	Logger     hclog.Logger
	Metrics    *Metrics
	Tokens     *pstoken.Tokens
	// Now gives monotonic time.
	Now func() time.Time
}

// Gate serves requests.
type Gate struct {
	options   Options
	beliefs   Beliefs
	estimates psestimate.Estimates
	travels   psestimate.Travels
	limits    psestimate.Limits
	spreads   psspread.Spreads
	repeats   psrepeat.Budgets
	poison    pspoison.Set
	looks     pscrash.Detector
	memory    psbody.MemoryBudget

	successes pslog.Budget
	failures  pslog.Budget

	mutex sync.Mutex
	// leaving closes callers' connections after their next answer.
	leaving  bool
	inFlight int
	nonce    uint64
	// returning is until when callers may come back that were told to.
	returning time.Time
}

// New returns a gate. [Gate.Follow] must be called before it serves.
func New(o Options) *Gate {
	return &Gate{
		options: o, successes: pslog.Budget{PerSecond: successLines}, failures: pslog.Budget{PerSecond: failureLines},
	}
}

// Estimates returns what the gate has learned of run times.
func (g *Gate) Estimates() *psestimate.Estimates { return &g.estimates }

// Travels returns the times to servers that the gate has seen.
func (g *Gate) Travels() *psestimate.Travels { return &g.travels }

// Follow sets what the gate goes by.
func (g *Gate) Follow(b Beliefs) { g.beliefs = b }

// Leave closes callers' connections with their next answer.
func (g *Gate) Leave() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.leaving = true
}

// InFlight returns the number of requests that have no answer yet.
func (g *Gate) InFlight() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.inFlight
}

// Crashes returns the counts of crashes by request.
func (g *Gate) Crashes(now time.Time) map[uint64]int {
	m := make(map[uint64]int)
	for f, n := range g.poison.Own(now) {
		m[uint64(f)] = n
	}
	return m
}

// Learn takes in what another VM says of crashes.
func (g *Gate) Learn(vm string, crashes map[uint64]int, now time.Time) {
	for f, n := range crashes {
		g.poison.Learned(vm, pspoison.Fingerprint(f), n, now)
	}
}

// ServeHTTP serves one request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := g.newCall(w, r)
	g.enter()
	defer g.exit()
	o := c.serve()
	defer c.stop()
	c.finish(o)
}

func (g *Gate) enter() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.inFlight++
}

func (g *Gate) exit() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.inFlight--
}

func (g *Gate) isLeaving() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.leaving
}

// rejected takes in that a caller that came at a moment may come back after a time.
func (g *Gate) rejected(arrived time.Time, after time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if until := arrived.Add(after + returnSlack); after > 0 && until.After(g.returning) {
		g.returning = until
	}
}

// calm reports whether no caller is expected back.
func (g *Gate) calm(now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return now.After(g.returning)
}

// spread returns a number in 0..1 that differs between calls.
func (g *Gate) spread() float64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.nonce++
	return float64(g.nonce*spreadStep%spreadRange) / spreadRange
}

// spreadStep and spreadRange make numbers that follow each other lie far apart.
const (
	spreadStep  = 618
	spreadRange = 1000
)

// newCall reads a request's headers.
func (g *Gate) newCall(w http.ResponseWriter, r *http.Request) *call {
	now := g.options.Now()
	return &call{
		gate: g, writer: w, request: r, arrived: now,
		headers: platform.ReadCall(r.Header), snapshot: g.beliefs.Snapshot(), stop: func() {},
	}
}

// until returns a context that ends at a time, or with the caller.
func (c *call) until() (context.Context, context.CancelFunc) {
	return context.WithDeadline(c.request.Context(), c.deadline)
}
