package psfront

import (
	"slices"
	"time"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/request/psadmit"
	"persimmonstep/internal/request/psplace"
	"persimmonstep/internal/version/psconfig"
)

const (
	// travelDomain and travelRegion are the times there and back to a server of the same
	// region and of another one.
	travelDomain = 3 * time.Millisecond
	travelRegion = 25 * time.Millisecond
	// worthPerKB is what it is worth to keep a kilobyte within the failure domain.
	worthPerKB = 2 * time.Millisecond
	// coldSlowness is how much slower a cold server is taken to be.
	coldSlowness = 2
	// surplusEpoch is how long the same objects are surplus. All VMs go by the time of day,
	// and one whose clock is off only chooses other objects.
	surplusEpoch = 40 * time.Second
	// noServerAfter is when callers come back to a service that has no usable server.
	noServerAfter = 400 * time.Millisecond
)

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
}

// choose picks a server of the service that was not tried yet.
func (c *call) choose(service string, tried []*psserver.Server) (selection, outcome) {
	now := c.gate.options.Now()
	options := c.options(service, tried, now)
	for len(options) > 0 {
		request := c.placing(service)
		choice := psplace.Choose(c.candidates(options), request)
		o := options[choice.Index]
		verdict := c.admit(choice, len(tried) > 0, now)
		if v, found := verdict.(psadmit.Rejected); found {
			return selection{}, rejected{503, v.Reason, v.After}
		}
		if !o.view.Cold || o.server.TakeCold(o.share, now) {
			return selection{o, choice}, nil
		}
		options = slices.Delete(options, choice.Index, choice.Index+1)
	}
	return selection{}, rejected{503, "noServer", min(noServerAfter, c.left(now)/3)}
}

// options lists the servers that may run the call now.
func (c *call) options(service string, tried []*psserver.Server, now time.Time) []option {
	regions, all := psconfig.AllowedRegions(c.route, c.workspace)
	var list []option
	for _, s := range c.snapshot.Servers[service] {
		if !all && !slices.Contains(regions, s.Region) || slices.Contains(tried, s) {
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

func (c *call) placing(service string) psplace.Request {
	runs := c.gate.estimates.Runs(c.route.Name, c.route.TargetLatency)
	return psplace.Request{
		Object: c.object, Epoch: uint64(c.arrived.UnixNano() / int64(surplusEpoch)),
		WarmRun: runs.Held, ColdRun: runs.Missing, Target: c.route.TargetLatency,
		MeanRun: c.gate.estimates.Mean(service, runs.Held),
	}
}

func (c *call) candidates(options []option) []psplace.Candidate {
	list := make([]psplace.Candidate, len(options))
	for i, o := range options {
		slowness := o.view.Slowness
		if o.view.Cold {
			slowness = max(slowness, coldSlowness)
		}
		list[i] = psplace.Candidate{
			Load: o.view.Load, Slots: o.view.Entry.Slots, Slowness: slowness,
			Failures: o.view.Failures, Silent: o.view.Silent, Sent: o.server.Objects.Has(c.object),
			HomeRecall: o.view.HomeRecall, AwayRecall: o.view.AwayRecall, Keeps: o.view.Keeps,
			Score: c.score(o), Travel: c.travel(o), Bytes: c.bytes(o),
		}
	}
	return list
}

// travel returns the time there and back.
func (c *call) travel(o option) time.Duration {
	s := c.gate.options.Settings
	switch {
	case o.view.Entry.FailureDomain == s.FailureDomain:
		return 0
	case o.server.Region == s.Region:
		return travelDomain
	}
	return travelRegion
}

// score orders the servers of the call's object. Large bodies stay in the failure domain.
func (c *call) score(o option) uint64 {
	v := psplace.Score(c.object, o.view.Entry.ID)
	if c.route.Kind != psconfig.Upload {
		return v
	}
	return psplace.Near(v, o.view.Entry.FailureDomain == c.gate.options.Settings.FailureDomain)
}

// bytes returns what it is worth not to carry the body to a server.
func (c *call) bytes(o option) time.Duration {
	if o.view.Entry.FailureDomain == c.gate.options.Settings.FailureDomain {
		return 0
	}
	return time.Duration(len(c.body.Held)/1024) * worthPerKB
}

func (c *call) admit(choice psplace.Choice, repeat bool, now time.Time) psadmit.Verdict {
	expected := choice.Finish()
	if repeat {
		// What was sent once already is worth finishing.
		expected = choice.Run
	}
	return psadmit.Decide(psadmit.Request{
		Expected: expected, Wait: choice.Wait, Spent: now.Sub(c.arrived), Target: c.route.TargetLatency,
		Surplus: choice.Surplus && !repeat, Left: c.left(now), Priority: psconfig.Priority(c.route, c.workspace), Spread: c.gate.spread(),
	})
}
