// Package psselection selects the backend server that runs a request, and takes the tokens that the server requires.
//
// The decisions are those of package psselect, from the current state of the servers. A server in its cold start takes
// a few requests from some VMs only, and one with a limit takes those that have a token of it. A request that gets no
// token goes to another server.
package psselection

import (
	"context"
	"slices"
	"time"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pssnapshot"
	"persimmonstep/internal/process/pstoken"
	"persimmonstep/internal/request/psadmission"
	"persimmonstep/internal/request/psestimate"
	"persimmonstep/internal/request/psplacement"
	"persimmonstep/internal/request/psselect"
	"persimmonstep/internal/request/psshed"
	"persimmonstep/internal/version/psconfig"
)

const (
	// noServerRetryAfter is the Retry-After time of a service without a usable server.
	noServerRetryAfter = 400 * time.Millisecond
	// maxQuestions is the number of token owners that may be asked in vain for one request, as each answer takes a
	// network round trip.
	maxQuestions = 2
)

// Request is a request for which a server is selected.
type Request struct {
	Snapshot *pssnapshot.Snapshot
	// Service is the service that runs the request.
	Service string
	Route   *psconfig.Route
	// Workspace is nil on a route without keys.
	Workspace *psconfig.Workspace
	// Object identifies what the request is about.
	Object uint64
	// BodyBytes is the size of the part of the body that has arrived.
	BodyBytes int
	ArrivedAt time.Time
	Deadline  time.Time
	// Caller is the estimate of how long the caller has been retrying.
	Caller psestimate.Caller
	// Attempted are the servers to which the request was sent before.
	Attempted []*psserver.Server
	// BeyondUsual reports whether the request exceeds the usual amount of its workspace.
	BeyondUsual bool
}

// Selection is the server that was selected.
type Selection struct {
	Server *psserver.Server
	View   psserver.View
	Choice psplacement.Choice
	// MaxExpected is the longest latency that does not indicate a slow server, and MeanRun the mean run time of the
	// service's requests.
	MaxExpected, MeanRun time.Duration
	// HasLimitToken states that a token of the server's limit was taken for the request.
	HasLimitToken bool
}

// Rejection is the reason for which no server was selected.
type Rejection struct {
	Reason string
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
	// Basis is what a rejection for lack of slots was decided by; nil for other reasons.
	Basis *psadmission.Basis
}

// Selector selects servers for the requests of one VM.
type Selector struct {
	// Place is the location of the VM.
	Place      psselect.Place
	Estimates  *psestimate.Estimates
	RoundTrips *psestimate.RoundTrips
	// Demands measures the demand of the services, which determines who yields when slots are short.
	Demands *psshed.Demands
	Tokens  *pstoken.Tokens
	// Observe is called with what came of each token of a server's limit.
	Observe func(pstoken.Verdict)
	// Jitter returns a number in [0, 1) that differs between consecutive calls.
	Jitter func() float64
	// Now returns the current time with a monotonic reading.
	Now func() time.Time
}

// candidate is a server that may run the request.
type candidate struct {
	server *psserver.Server
	view   psserver.View
	// coldShare is this VM's share of the requests that the server can take during its cold start.
	coldShare psserver.ColdShare
}

// Select selects a server among those to which the request was not sent yet. It returns nil or why there is none.
func (s *Selector) Select(ctx context.Context, r Request) (Selection, *Rejection) {
	list := candidates(r, s.Now())
	refused, questions := false, 0
	observed := len(r.Attempted) > 0
	for len(list) > 0 {
		decision := s.decision(r)
		choice := psselect.Choose(s.options(list, r.Object), decision)
		chosen := list[choice.Index]
		verdict := psselect.Admit(choice, decision)
		if !observed {
			s.Demands.Observe(r.Service, psselect.Observation(choice, decision, verdict), s.Now())
			observed = true
		}
		if v, found := verdict.(psadmission.Rejected); found {
			return Selection{}, rejection(v)
		}
		if chosen.view.Cold && !chosen.server.TakeColdToken(chosen.coldShare, s.Now()) {
			list = slices.Delete(list, choice.Index, choice.Index+1)
			continue
		}
		token := s.takeLimitToken(ctx, r.Snapshot, chosen)
		if _, granted := token.(pstoken.Granted); granted {
			return Selection{
				Server: chosen.server, View: chosen.view, Choice: choice, MaxExpected: psselect.LatencyBound(choice, chosen.view, decision),
				MeanRun: decision.MeanRun, HasLimitToken: chosen.view.Limit.Named,
			}, nil
		}
		refused = true
		if _, deferred := token.(pstoken.Deferred); !deferred {
			questions++
		}
		list = s.withoutShort(slices.Delete(list, choice.Index, choice.Index+1), questions >= maxQuestions)
	}
	if refused {
		return Selection{}, &Rejection{Reason: "serverLimit", RetryAfter: s.limitRetryAfter(r)}
	}
	return Selection{}, &Rejection{Reason: "noServer", RetryAfter: s.noServerRetryAfter(r)}
}

// rejection returns the rejection of a request that was not admitted.
func rejection(v psadmission.Rejected) *Rejection {
	out := &Rejection{Reason: v.Reason, RetryAfter: v.RetryAfter}
	if v.ForSlots() {
		out.Basis = &v.Basis
	}
	return out
}

// takeLimitToken takes a token of a server's limit. A server without a limit needs none.
func (s *Selector) takeLimitToken(ctx context.Context, view *pssnapshot.Snapshot, v candidate) pstoken.Verdict {
	if !v.view.Limit.Named {
		return pstoken.Granted{}
	}
	verdict := s.Tokens.TakeServer(ctx, view, v.server)
	s.Observe(verdict)
	return verdict
}

// withoutShort removes the servers whose limits are used up, or all servers with limits. A request that one server with
// a limit has refused goes to a server with free capacity, or to none: tried on all servers in turn, it would mostly run
// where its object isn't cached, and take the tokens of requests that run where theirs is.
func (s *Selector) withoutShort(list []candidate, allLimited bool) []candidate {
	return slices.DeleteFunc(list, func(v candidate) bool {
		return v.view.Limit.Named && (allLimited || s.Tokens.Short(v.view.Entry.Run()))
	})
}

// limitRetryAfter returns the Retry-After time of a caller for which no server has a token. Callers return spread over
// the time that they have, because each token can serve only one of them.
func (s *Selector) limitRetryAfter(r Request) time.Duration {
	return psadmission.RetryAfter(r.Caller.DetectableWait, r.Deadline.Sub(s.Now())/3, s.Jitter())
}

// noServerRetryAfter returns the Retry-After time of a service without a usable server. If servers asked for a pause in
// requests, it is the earliest end of their pauses plus a jitter.
func (s *Selector) noServerRetryAfter(r Request) time.Duration {
	now := s.Now()
	earliest := time.Duration(0)
	for _, server := range r.Snapshot.Servers[r.Service] {
		if pause := server.View(now).PauseRemaining; pause > 0 && (earliest == 0 || pause < earliest) {
			earliest = pause
		}
	}
	after := noServerRetryAfter
	if earliest > 0 {
		after = earliest + time.Duration(s.Jitter()*float64(noServerRetryAfter))
	}
	return min(after, r.Deadline.Sub(now)/3)
}

// candidates lists the servers that may run the request now.
func candidates(r Request, now time.Time) []candidate {
	allowed := psselect.Allowed(r.Route, r.Workspace)
	var list []candidate
	for _, server := range r.Snapshot.Servers[r.Service] {
		if !allowed(server.Region) || slices.Contains(r.Attempted, server) {
			continue
		}
		view := server.View(now)
		if !view.Usable || r.Snapshot.Evacuated[view.Entry.FailureDomain] {
			continue
		}
		eligible := candidate{server: server, view: view}
		if view.Cold {
			var found bool
			if eligible.coldShare, found = r.Snapshot.ColdShare(view.Entry); !found {
				continue
			}
		}
		list = append(list, eligible)
	}
	return list
}

// decision returns the inputs of the decision that describe the request.
func (s *Selector) decision(r Request) psselect.Request {
	now := s.Now()
	runs := s.Estimates.Runs(r.Route.Name, r.Route.TargetLatency)
	return psselect.Request{
		Route: r.Route, Workspace: r.Workspace, Object: r.Object, Bytes: r.BodyBytes + s.Estimates.ResponseBytes(r.Route.Name),
		From: s.Place, ArrivedAt: r.ArrivedAt, Runs: runs, MeanRun: s.Estimates.MeanRun(r.Service, runs.Cached),
		Elapsed: now.Sub(r.ArrivedAt), Remaining: r.Deadline.Sub(now), PriorWait: r.Caller.PriorWait, DetectableWait: r.Caller.DetectableWait,
		Retry: len(r.Attempted) > 0, Random: s.Jitter(), Demand: s.Demands.Of(r.Service, now),
		BeyondUsual: r.BeyondUsual,
	}
}

// options returns the candidates in the form that the decision takes.
func (s *Selector) options(candidates []candidate, object uint64) []psselect.Option {
	list := make([]psselect.Option, len(candidates))
	roundTrips := s.RoundTrips.All()
	for i, v := range candidates {
		list[i] = psselect.Option{
			View: v.view, Region: v.server.Region, RoundTrip: roundTrips[v.view.Entry.FailureDomain],
			ObjectSent: v.server.RecentObjects.Contains(object), NeedsToken: v.view.Limit.Named,
		}
	}
	return list
}
