package psproxy

import (
	"slices"
	"time"

	"persimmonstep/internal/process/psserver"
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
}

// selectServer selects a server of the service among those that were not attempted yet.
func (c *call) selectServer(service string, attempted []*psserver.Server) (selection, outcome) {
	now := c.proxy.options.Now()
	candidates := c.candidates(service, attempted, now)
	request := c.selectionRequest(service, len(attempted) > 0, now)
	for len(candidates) > 0 {
		choice := psselect.Choose(c.selectionOptions(candidates), request)
		chosen := candidates[choice.Index]
		if rejection, found := psselect.Admit(choice, request).(psadmission.Rejected); found {
			return selection{}, rejected{503, rejection.Reason, rejection.RetryAfter}
		}
		if !chosen.view.Cold || chosen.server.TakeColdToken(chosen.coldShare, now) {
			return selection{chosen, choice, psselect.LatencyBound(choice, chosen.view, request), request.MeanRun}, nil
		}
		candidates = slices.Delete(candidates, choice.Index, choice.Index+1)
	}
	return selection{}, rejected{503, "noServer", min(c.unavailableRetryAfter(service, now), c.remaining(now)/3)}
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
			ObjectSent: v.server.RecentObjects.Contains(c.object),
		}
	}
	return list
}
