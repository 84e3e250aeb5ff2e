// Package psgate takes a caller's request through all its steps.
//
// The steps are: match the route, check the key, spend the workspace's rate, read the
// body, claim the request if it is exclusive, take a slot, send the request to a backend
// server, and relay the whole answer. Each step either goes on or ends the request with a
// refusal that states whether the request ran.
package psgate

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/pspool"
	"persimmonstep/internal/process/psquarantine"
	"persimmonstep/internal/request/psclaim"
	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/request/psretry"
	"persimmonstep/internal/request/psroute"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// DirectoryPath is where callers ask which VMs to use.
const DirectoryPath = "/.well-known/persimmonstep/vms"

// Plans gives the plan in force.
type Plans interface {
	Plan() *psplan.Plan
}

// Withdrawals tells which keys are withdrawn.
type Withdrawals interface {
	Has(id psdoc.Name) bool
}

// Limiter spends the rate of workspaces. Its error is a *psproblem.Problem.
type Limiter interface {
	Spend(ctx context.Context, p *psplan.Plan, w *psplan.Workspace) error
}

// Slots hands out the slots of backend servers. Its error is a *psproblem.Problem.
type Slots interface {
	Acquire(ctx context.Context, r psroute.Request) (*pspool.Slot, error)
}

// Claims makes exclusive requests run at most once. Its error is a *psproblem.Problem.
type Claims interface {
	Begin(ctx context.Context, r psclaim.Request) (psclaim.Result, error)
}

// Observer learns how each attempt ended.
type Observer interface {
	// Begin learns that an attempt begins; streamed requests are not reported.
	Begin(s *psplan.Server)
	Observe(o Observation)
	// Latency returns the expected time of one request; 0 when unknown.
	Latency(s *psplan.Server) time.Duration
}

// Observation is the end of one attempt on a backend server.
type Observation struct {
	// Server is the backend server.
	Server *psplan.Server
	// Streamed marks an upload, whose duration says nothing about the server.
	Streamed bool
	// Truncated says that the body of an answer broke off that was observed before.
	Truncated bool
	// Duration is the time until the answer's header, or until the failure.
	Duration time.Duration
	// Status is the answer's status; 0 where none came.
	Status int
	// Header is the answer's header; nil where none came.
	Header http.Header
	// Err is the failure; nil where an answer came.
	Err error
}

// Quarantine knows the requests that take down the backend servers that run them.
type Quarantine interface {
	// Held returns how much longer the request is refused; 0 if it is not.
	Held(f psquarantine.Fingerprint) time.Duration
	// Answered takes in that the request got a whole answer.
	Answered(f psquarantine.Fingerprint)
	// Crashed takes in that a run ended with the connection of its server.
	Crashed(r psquarantine.Run) psquarantine.Verdict
	// Reserve keeps a server for the run of a suspect; false where another one has it.
	Reserve(f psquarantine.Fingerprint, server psdoc.Name) bool
	// Return ends a reservation.
	Return(f psquarantine.Fingerprint, server psdoc.Name)
}

// Homes finds the region in which a caller's requests run without being shifted.
type Homes interface {
	Home(p *psplan.Plan, caller netip.Addr) *psplan.Region
}

// Metrics counts requests.
type Metrics interface {
	// Answered counts an answered or refused request.
	Answered(route, workspace psdoc.Name, status int, took time.Duration)
	// Refused counts a refusal by its code and by whether the request ran.
	Refused(code string, ran psproblem.Ran)
	// BrokenOff counts an answer that broke off after the caller saw a part of it.
	BrokenOff(route psdoc.Name)
}

// Gate is the handler for callers.
type Gate struct {
	Self        psdoc.Name
	Plans       Plans
	Withdrawals Withdrawals
	Limiter     Limiter
	Slots       Slots
	Claims      Claims
	Observer    Observer
	Retries     *psretry.Budget
	Quarantine  Quarantine
	// Contact tells whether the VM is cut off; nil never is.
	Contact    Contact
	Homes      Homes
	Transports *pstransport.Transports
	Directory  http.Handler
	Metrics    Metrics
	Logger     hclog.Logger
}

// ServeHTTP answers one request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := newExchange(g, w, r)
	x.allowWrite(callerTimeout)
	w.Header().Set(headerRequestID, x.id)
	if r.URL.Path == DirectoryPath {
		hideUnknownWorkspace(x.plan, r)
		g.Directory.ServeHTTP(w, r)
		return
	}
	if err := x.run(); err != nil {
		x.refuse(err)
	}
	var route, workspace psdoc.Name
	if x.route != nil {
		route = x.route.Name
	}
	if x.workspace != nil {
		workspace = x.workspace.Name
	}
	took := time.Since(x.began)
	g.Metrics.Answered(route, workspace, x.status, took)
	psevent.Answered.Log(g.Logger, x.id, x.status, took)
	if x.broken {
		psevent.BrokenOff.Log(g.Logger, x.id, workspace, route)
		g.Metrics.BrokenOff(route)
		// The server resets the stream or closes the connection without an end of the body.
		panic(http.ErrAbortHandler)
	}
}

// hideUnknownWorkspace keeps whatever a caller may have put in place of a workspace's name,
// such as a key, out of the log.
func hideUnknownWorkspace(p *psplan.Plan, r *http.Request) {
	if _, found := p.Workspace(psdoc.Name(r.URL.Query().Get("workspace"))); !found {
		r.URL.RawQuery = ""
	}
}

// refuse answers with a problem.
func (x *exchange) refuse(err error) {
	x.settle(x.request.Context())
	p, found := err.(*psproblem.Problem) //nolint:errorlint // steps return problems unwrapped
	if !found {
		p = psproblem.Unknown(http.StatusInternalServerError, "internal", err.Error())
	}
	x.status = p.Status
	x.allowWrite(callerTimeout)
	x.gate.Metrics.Refused(p.Code, p.Ran)
	psevent.Refused.Log(x.gate.Logger, x.id, x.workspaceName(), x.routeName(), p.Code, string(p.Ran))
	p.Write(x.writer)
}
