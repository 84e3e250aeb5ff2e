package psproxy

import (
	"context"
	"slices"
	"time"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pstoken"
	"persimmonstep/internal/request/psadmission"
	"persimmonstep/internal/request/psplacement"
	"persimmonstep/internal/request/psselect"
)

// noServerRetryAfter is the Retry-After time of a service without a usable server.
const noServerRetryAfter = 400 * time.Millisecond

// candidate is a server that may execute the call.
type candidate struct {
	server *psserver.Server
	view   psserver.View
	// coldShare is this VM's share of the requests that the server can take during its cold start.
	coldShare psserver.ColdShare
}

// selection is the server that was selected to execute the call.
type selection struct {
	candidate
	choice psplacement.Choice
	// maxExpected is the longest latency that does not indicate a slow server, and meanRunTime the mean run time of
	// the service's requests.
	maxExpected, meanRunTime time.Duration
	// hasLimitToken states that a token of the server's limit was taken for the request.
	hasLimitToken bool
}

// selectServer selects a server of the service among those that were not attempted yet, and takes the tokens that a
// request to it needs.
func (c *call) selectServer(ctx context.Context, service string, attempted []*psserver.Server) (selection, outcome) {
	candidates := c.candidates(service, attempted, c.proxy.options.Now())
	refused := false
	for len(candidates) > 0 {
		request := c.selectionRequest(service, len(attempted) > 0, c.proxy.options.Now())
		choice := psselect.Choose(c.selectionOptions(candidates), request)
		chosen := candidates[choice.Index]
		if rejection, found := psselect.Admit(choice, request).(psadmission.Rejected); found {
			return selection{}, rejected{503, rejection.Reason, rejection.RetryAfter}
		}
		if chosen.view.Cold && !chosen.server.TakeColdToken(chosen.coldShare, c.proxy.options.Now()) {
			candidates = slices.Delete(candidates, choice.Index, choice.Index+1)
			continue
		}
		if c.takeLimitToken(ctx, chosen) {
			return selection{
				candidate: chosen, choice: choice, maxExpected: psselect.LatencyBound(choice, chosen.view, request),
				meanRunTime: request.MeanRun, hasLimitToken: chosen.view.Limit.Named,
			}, nil
		}
		refused = true
		candidates = c.withoutShort(slices.Delete(candidates, choice.Index, choice.Index+1))
	}
	if refused {
		return selection{}, rejected{503, "serverLimit", c.limitRetryAfter()}
	}
	now := c.proxy.options.Now()
	return selection{}, rejected{503, "noServer", min(c.unavailableRetryAfter(service, now), c.remaining(now)/3)}
}

// takeLimitToken takes a token of a server's limit. A server without a limit needs none.
func (c *call) takeLimitToken(ctx context.Context, s candidate) bool {
	if !s.view.Limit.Named {
		return true
	}
	verdict := c.proxy.options.Tokens.TakeServer(ctx, c.snapshot, s.server)
	c.proxy.options.Metrics.observeServerToken(verdict)
	_, granted := verdict.(pstoken.Granted)
	return granted
}

// withoutShort removes the servers whose limits are used up. A request that one server with a limit has refused goes to
// a server with free capacity, or to none: tried on all servers in turn, it would mostly run where its object isn't
// cached, and take the tokens of requests that run where theirs is.
func (c *call) withoutShort(candidates []candidate) []candidate {
	return slices.DeleteFunc(candidates, func(v candidate) bool {
		return v.view.Limit.Named && c.proxy.options.Tokens.Short(v.view.Entry.Run())
	})
}

// limitRetryAfter returns the Retry-After time of a caller for which no server has a token. Callers return spread over
// the time that they have, because each token can serve only one of them.
func (c *call) limitRetryAfter() time.Duration {
	return psadmission.RetryAfter(c.caller.DetectableWait, c.remaining(c.proxy.options.Now())/3, c.proxy.jitter())
}

// unavailableRetryAfter returns the Retry-After time of a service without a usable server. If servers asked for a
// pause in requests, it is the earliest end of their pauses plus a jitter.
func (c *call) unavailableRetryAfter(service string, now time.Time) time.Duration {
	earliest := time.Duration(0)
	for _, server := range c.snapshot.Servers[service] {
		if pause := server.View(now).PauseRemaining; pause > 0 && (earliest == 0 || pause < earliest) {
			earliest = pause
		}
	}
	if earliest == 0 {
		return noServerRetryAfter
	}
	return earliest + time.Duration(c.proxy.jitter()*float64(noServerRetryAfter))
}

// candidates lists the servers that may execute the call now.
func (c *call) candidates(service string, attempted []*psserver.Server, now time.Time) []candidate {
	allowed := psselect.Allowed(c.route, c.workspace)
	var list []candidate
	for _, server := range c.snapshot.Servers[service] {
		if !allowed(server.Region) || slices.Contains(attempted, server) {
			continue
		}
		view := server.View(now)
		if !view.Usable || c.snapshot.Evacuated[view.Entry.FailureDomain] {
			continue
		}
		eligible := candidate{server: server, view: view}
		if view.Cold {
			var found bool
			if eligible.coldShare, found = c.snapshot.ColdShare(view.Entry); !found {
				continue
			}
		}
		list = append(list, eligible)
	}
	return list
}

// selectionRequest returns the inputs of server selection that describe the call.
func (c *call) selectionRequest(service string, retry bool, now time.Time) psselect.Request {
	runs := c.proxy.estimates.Runs(c.route.Name, c.route.TargetLatency)
	settings := c.proxy.options.Settings
	return psselect.Request{
		Route: c.route, Workspace: c.workspace, Object: c.object,
		Bytes: len(c.body.Buffered) + c.proxy.estimates.ResponseBytes(c.route.Name),
		From:  psselect.Place{FailureDomain: settings.FailureDomain, Region: settings.Region}, ArrivedAt: c.arrivedAt,
		Runs: runs, MeanRun: c.proxy.estimates.MeanRun(service, runs.Cached),
		Elapsed: now.Sub(c.arrivedAt), Remaining: c.remaining(now), PriorWait: c.caller.PriorWait, DetectableWait: c.caller.DetectableWait,
		Retry: retry, Random: c.proxy.jitter(),
	}
}

// selectionOptions returns the candidates in the form that server selection takes.
func (c *call) selectionOptions(candidates []candidate) []psselect.Option {
	list := make([]psselect.Option, len(candidates))
	roundTrips := c.proxy.roundTrips.All()
	for i, v := range candidates {
		list[i] = psselect.Option{
			View: v.view, Region: v.server.Region, RoundTrip: roundTrips[v.view.Entry.FailureDomain],
			ObjectSent: v.server.RecentObjects.Contains(c.object), NeedsToken: v.view.Limit.Named,
		}
	}
	return list
}
