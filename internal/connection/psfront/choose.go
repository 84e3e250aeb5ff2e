package psfront

import (
	"slices"
	"time"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/request/psadmit"
	"persimmonstep/internal/request/psplace"
	"persimmonstep/internal/request/psselect"
)

// noServerAfter is when callers come back to a service that has no usable server.
const noServerAfter = 400 * time.Millisecond

// option is a server that may run the call.
type option struct {
	server *psserver.Server
	view   psserver.View
	// share is this VM's part of what the server bears while it is cold.
	share psserver.ColdShare
}

// selection is the server that is to run the call.
type selection struct {
	option
	choice psplace.Choice
	// explained is the longest time until an answer that shows nothing unusual, and meanRun the run
	// time of the service's requests.
	explained, meanRun time.Duration
}

// choose picks a server of the service that was not tried yet.
func (c *call) choose(service string, tried []*psserver.Server) (selection, outcome) {
	now := c.gate.options.Now()
	options := c.options(service, tried, now)
	request := c.selecting(service, len(tried) > 0, now)
	for len(options) > 0 {
		choice := psselect.Choose(c.candidates(options), request)
		o := options[choice.Index]
		if v, found := psselect.Admit(choice, request).(psadmit.Rejected); found {
			return selection{}, rejected{503, v.Reason, v.After}
		}
		if !o.view.Cold || o.server.TakeColdToken(o.share, now) {
			return selection{o, choice, psselect.Explained(choice, o.view, request), request.MeanRun}, nil
		}
		options = slices.Delete(options, choice.Index, choice.Index+1)
	}
	return selection{}, rejected{503, "noServer", min(c.serverAfter(service, now), c.left(now)/3)}
}

// serverAfter returns when callers come back to a service that has no usable server. If servers want
// no requests for a time, that is its earliest end, and a while later for some callers.
func (c *call) serverAfter(service string, now time.Time) time.Duration {
	earliest := time.Duration(0)
	for _, s := range c.snapshot.Servers[service] {
		if left := s.View(now).PauseRemaining; left > 0 && (earliest == 0 || left < earliest) {
			earliest = left
		}
	}
	if earliest == 0 {
		return noServerAfter
	}
	return earliest + time.Duration(c.gate.spread()*float64(noServerAfter))
}

// options lists the servers that may run the call now.
func (c *call) options(service string, tried []*psserver.Server, now time.Time) []option {
	allowed := psselect.Allowed(c.route, c.workspace)
	var list []option
	for _, s := range c.snapshot.Servers[service] {
		if !allowed(s.Region) || slices.Contains(tried, s) {
			continue
		}
		v := s.View(now)
		if !v.Usable || c.snapshot.Evacuated[v.Entry.FailureDomain] {
			continue
		}
		o := option{server: s, view: v}
		if v.Cold {
			var found bool
			if o.share, found = c.snapshot.ColdShare(v.Entry); !found {
				continue
			}
		}
		list = append(list, o)
	}
	return list
}

// selecting returns what is known of the call.
func (c *call) selecting(service string, repeat bool, now time.Time) psselect.Request {
	runs := c.gate.estimates.Runs(c.route.Name, c.route.TargetLatency)
	s := c.gate.options.Settings
	return psselect.Request{
		Route: c.route, Workspace: c.workspace, Object: c.object, Bytes: len(c.body.Held) + c.gate.estimates.AnswerBytes(c.route.Name),
		From: psselect.Place{FailureDomain: s.FailureDomain, Region: s.Region}, ArrivedAt: c.arrived,
		Runs: runs, MeanRun: c.gate.estimates.Mean(service, runs.Held),
		Spent: now.Sub(c.arrived), Left: c.left(now), Before: c.caller.Waited, Apart: c.caller.Apart, Repeat: repeat, Spread: c.gate.spread(),
	}
}

func (c *call) candidates(options []option) []psselect.Option {
	list := make([]psselect.Option, len(options))
	travels := c.gate.travels.All()
	for i, o := range options {
		list[i] = psselect.Option{
			View: o.view, Region: o.server.Region, Travel: travels[o.view.Entry.FailureDomain], Sent: o.server.RecentObjects.Contains(c.object),
		}
	}
	return list
}
