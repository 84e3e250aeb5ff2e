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
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/connection/psaccess"
	"persimmonstep/internal/connection/psattempt"
	"persimmonstep/internal/connection/pscaller"
	"persimmonstep/internal/connection/psforward"
	"persimmonstep/internal/connection/psoutcome"
	"persimmonstep/internal/connection/psselection"
	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/internal/process/psavailability"
	"persimmonstep/internal/process/pshealth"
	"persimmonstep/internal/process/pslink"
	"persimmonstep/internal/process/psnode"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pssnapshot"
	"persimmonstep/internal/process/pstoken"
	"persimmonstep/internal/request/psblocklist"
	"persimmonstep/internal/request/psestimate"
	"persimmonstep/internal/request/psjitter"
	"persimmonstep/internal/request/psretry"
	"persimmonstep/internal/request/psselect"
	"persimmonstep/internal/request/psshed"
	"persimmonstep/internal/request/pssplit"
	"persimmonstep/internal/request/psusage"
	"persimmonstep/platform/psheader"
)

// ControlPlane provides the snapshots that requests are served from. It is notified of failures of servers and of what
// servers announce in their responses.
type ControlPlane interface {
	Snapshot() *pssnapshot.Snapshot
	ServerFailed(s *psserver.Server, reason pshealth.Reason, requestID string)
	UpdateAvailability(s *psserver.Server, a psavailability.Announcement)
}

// Options are the settings and dependencies of a [Proxy].
type Options struct {
	Settings  *psnode.Settings
	Transport *pstransport.Transport
	Logger    hclog.Logger
	Metrics   *psaccess.Metrics
	Tokens    *pstoken.Tokens
	// Links monitors this VM's links to the backend servers, and Forwarder sends requests through other VMs while these
	// are lost.
	Links     *pslink.Monitor
	Forwarder *psforward.Forwarder
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
	demands         psshed.Demands
	usage           psusage.Usage
	callerDeadlines psestimate.RetryDetector
	splits          pssplit.Splitter
	retries         psretry.Budgets
	blocklist       psblocklist.List
	outcomes        psoutcome.Recorder
	jitter          psjitter.Sequence

	// draining closes callers' connections after the last response to the requests that have begun.
	draining atomic.Bool
	inFlight atomic.Int64
	// forwarded counts the requests of other VMs in flight.
	forwarded atomic.Int64
}

// New returns a proxy. [Proxy.SetControlPlane] must be called before it serves.
func New(o Options) *Proxy {
	p := &Proxy{options: o, sender: psattempt.Sender{Transport: o.Transport, Now: o.Now}, log: psaccess.New(o.Metrics, o.Logger)}
	p.selector = psselection.Selector{
		Place:     psselect.Place{FailureDomain: o.Settings.FailureDomain, Region: o.Settings.Region},
		Estimates: &p.estimates, RoundTrips: &p.roundTrips, Demands: &p.demands, Tokens: o.Tokens, Observe: o.Metrics.ObserveServerToken,
		Jitter: p.jitter.Next, Now: o.Now,
	}
	p.outcomes = psoutcome.Recorder{
		Links: o.Links, Estimates: &p.estimates, RoundTrips: &p.roundTrips, Blocklist: &p.blocklist, Logger: o.Logger, Now: o.Now,
	}
	return p
}

// Estimates returns the run-time estimates that the proxy learned from responses.
func (p *Proxy) Estimates() *psestimate.Estimates { return &p.estimates }

// RoundTrips returns the round-trip times to servers that the proxy measured.
func (p *Proxy) RoundTrips() *psestimate.RoundTrips { return &p.roundTrips }

// Demands returns the demand of the services that the proxy measured.
func (p *Proxy) Demands() *psshed.Demands { return &p.demands }

// Usage returns the amounts of requests of the workspaces that the proxy measured.
func (p *Proxy) Usage() *psusage.Usage { return &p.usage }

// SetControlPlane sets the control plane.
func (p *Proxy) SetControlPlane(c ControlPlane) { p.control, p.outcomes.Failures = c, c }

// Drain makes each caller's connection close with the last response to the requests that have begun.
func (p *Proxy) Drain() { p.draining.Store(true) }

// InFlight returns the number of requests whose response is not complete yet.
func (p *Proxy) InFlight() int { return int(p.inFlight.Load()) }

// Blocklist returns the requests that crashed servers.
func (p *Proxy) Blocklist() *psblocklist.List { return &p.blocklist }

func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.serveCall(p.newCall(w, r))
}

func (p *Proxy) serveCall(c *call) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	o := c.serve()
	defer c.cancel()
	c.finish(o)
}

// MayOverlap reports whether a request may run beside others of the same connection: that of a route whose requests may
// run more than once. All others wait, because a response before them may close the connection, whose caller then resends
// them.
func (p *Proxy) MayOverlap(r *http.Request) bool {
	snapshot := p.control.Snapshot()
	if !snapshot.CanServe() {
		return false
	}
	route, found := snapshot.Index.Route(hostOf(r), r.URL.Path)
	return found && route.Kind.Repeatable()
}

// newCall returns the call of a request, with the values of its headers.
func (p *Proxy) newCall(w http.ResponseWriter, r *http.Request) *call {
	return &call{
		proxy: p, writer: w, request: r, arrivedAt: pscaller.ArrivedAt(r, p.options.Now()),
		headers: psheader.ReadRequest(r.Header), snapshot: p.control.Snapshot(), cancel: func() {},
	}
}

// withDeadline returns a context that ends at the call's deadline or when the caller disconnects.
func (c *call) withDeadline() (context.Context, context.CancelFunc) {
	return context.WithDeadline(c.request.Context(), c.deadline)
}
