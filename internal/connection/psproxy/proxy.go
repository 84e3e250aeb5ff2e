// Package psproxy is the reverse proxy between callers and backend servers.
//
// It matches each request with a route and a workspace, applies the workspace's rate limit, selects a backend
// server and forwards that server's response. A request that cannot be served and was not executed is rejected at
// once, with a Retry-After time if a retry can help. A request that has no usable response although a server may have
// executed it fails instead, which promises the caller nothing about its execution.
package psproxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/connection/psaccess"
	"persimmonstep/internal/connection/psattempt"
	"persimmonstep/internal/connection/psbody"
	"persimmonstep/internal/connection/pscrash"
	"persimmonstep/internal/connection/psselection"
	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/internal/process/pscontrol"
	"persimmonstep/internal/process/pshealth"
	"persimmonstep/internal/process/psnode"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pssnapshot"
	"persimmonstep/internal/process/pstoken"
	"persimmonstep/internal/request/psblocklist"
	"persimmonstep/internal/request/psestimate"
	"persimmonstep/internal/request/psretry"
	"persimmonstep/internal/request/psselect"
	"persimmonstep/internal/request/pssplit"
	"persimmonstep/platform/psheader"
)

// retryGrace is how long after their Retry-After time callers are still expected to retry.
const retryGrace = time.Second

// ControlPlane provides the snapshots that requests are served from. It is notified of failures of servers and of what
// servers announce in their responses.
type ControlPlane interface {
	Snapshot() *pssnapshot.Snapshot
	ServerFailed(s *psserver.Server, reason pshealth.Reason, requestID string)
	UpdateAvailability(s *psserver.Server, a pscontrol.Announcement)
}

// Options are the settings and dependencies of a [Proxy].
type Options struct {
	Settings  *psnode.Settings
	Transport *pstransport.Transport
	Logger    hclog.Logger
	Metrics   *psaccess.Metrics
	Tokens    *pstoken.Tokens
	// Now returns the current time with a monotonic reading.
	Now func() time.Time
}

// Proxy serves callers' requests as an [http.Handler].
type Proxy struct {
	options         Options
	control         ControlPlane
	sender          psattempt.Sender
	selector        psselection.Selector
	log             *psaccess.Log
	estimates       psestimate.Estimates
	roundTrips      psestimate.RoundTrips
	callerDeadlines psestimate.RetryDetector
	splits          pssplit.Splitter
	retries         psretry.Budgets
	blocklist       psblocklist.List
	crashDetector   pscrash.Detector
	bodyMemory      psbody.MemoryBudget

	mutex sync.Mutex
	// draining closes callers' connections after their next response.
	draining bool
	inFlight int
	sequence uint64
	// retriesUntil is the latest time at which a rejected caller is expected to retry.
	retriesUntil time.Time
}

// New returns a proxy. [Proxy.SetControlPlane] must be called before it serves.
func New(o Options) *Proxy {
	p := &Proxy{options: o, sender: psattempt.Sender{Transport: o.Transport, Now: o.Now}, log: psaccess.New(o.Metrics, o.Logger)}
	p.selector = psselection.Selector{
		Place:     psselect.Place{FailureDomain: o.Settings.FailureDomain, Region: o.Settings.Region},
		Estimates: &p.estimates, RoundTrips: &p.roundTrips, Tokens: o.Tokens, Observe: o.Metrics.ObserveServerToken,
		Jitter: p.jitter, Now: o.Now,
	}
	return p
}

// Estimates returns the run-time estimates that the proxy learned from responses.
func (p *Proxy) Estimates() *psestimate.Estimates { return &p.estimates }

// RoundTrips returns the round-trip times to servers that the proxy measured.
func (p *Proxy) RoundTrips() *psestimate.RoundTrips { return &p.roundTrips }

// SetControlPlane sets the control plane.
func (p *Proxy) SetControlPlane(c ControlPlane) { p.control = c }

// Drain makes each caller's connection close with its next response.
func (p *Proxy) Drain() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.draining = true
}

// InFlight returns the number of requests whose response is not complete yet.
func (p *Proxy) InFlight() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.inFlight
}

// Crashes returns this VM's counts of server crashes by request fingerprint.
func (p *Proxy) Crashes(now time.Time) map[uint64]int {
	counts := make(map[uint64]int)
	for fingerprint, count := range p.blocklist.LocalCounts(now) {
		counts[uint64(fingerprint)] = count
	}
	return counts
}

// RecordPeerCrashes records the counts of server crashes that another VM reports.
func (p *Proxy) RecordPeerCrashes(vm string, crashes map[uint64]int, now time.Time) {
	for fingerprint, count := range crashes {
		p.blocklist.SetPeerCount(vm, psblocklist.Fingerprint(fingerprint), count, now)
	}
}

func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := p.newCall(w, r)
	p.startRequest()
	defer p.endRequest()
	o := c.serve()
	defer c.cancel()
	c.finish(o)
}

func (p *Proxy) startRequest() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.inFlight++
}

func (p *Proxy) endRequest() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.inFlight--
}

func (p *Proxy) isDraining() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.draining
}

// noteRejection records that a caller that arrived at a time may retry after a duration.
func (p *Proxy) noteRejection(arrivedAt time.Time, retryAfter time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if until := arrivedAt.Add(retryAfter + retryGrace); retryAfter > 0 && until.After(p.retriesUntil) {
		p.retriesUntil = until
	}
}

// noRetriesExpected reports whether no rejected caller is expected to retry any more.
func (p *Proxy) noRetriesExpected(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return now.After(p.retriesUntil)
}

// jitter returns a number in [0, 1) that differs between consecutive calls.
func (p *Proxy) jitter() float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sequence++
	return float64(p.sequence*jitterStep%jitterRange) / jitterRange
}

// jitterStep and jitterRange place consecutive numbers far apart.
const (
	jitterStep  = 618
	jitterRange = 1000
)

// newCall returns the call of a request, with the values of its headers.
func (p *Proxy) newCall(w http.ResponseWriter, r *http.Request) *call {
	now := p.options.Now()
	return &call{
		proxy: p, writer: w, request: r, arrivedAt: now,
		headers: psheader.ReadRequest(r.Header), snapshot: p.control.Snapshot(), cancel: func() {},
	}
}

// withDeadline returns a context that ends at the call's deadline or when the caller disconnects.
func (c *call) withDeadline() (context.Context, context.CancelFunc) {
	return context.WithDeadline(c.request.Context(), c.deadline)
}
