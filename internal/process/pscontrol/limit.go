package pscontrol

import (
	"time"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/pslimit"
	"persimmonstep/internal/process/psserver"
)

// limitLinesPerSecond bounds the log lines of changed limits. A server may change its limit in each response.
const limitLinesPerSecond = 20

// recordLimit records the limit in a response, or its absence. If the server began or ceased to have a limit, this VM's
// next reports announce it.
func (c *Controller) recordLimit(s *psserver.Server, a Announcement) {
	before, changed := s.RecordLimit(a.Limit, a.SentAt, c.options.Now())
	if !changed {
		return
	}
	c.logLimit(s, before, a.Limit, a.RequestID)
	if before.Named != a.Limit.Named {
		c.enqueue(serverLimitEvent{s.Entry().Run()})
	}
}

// logLimit logs the changed limit of a server. requestID is empty if another VM reported it.
func (c *Controller) logLimit(s *psserver.Server, before, after pslimit.Limit, requestID string) {
	if !c.limitLog.Allow(c.options.Now()) {
		return
	}
	e := s.Entry()
	if after.Named {
		psevent.ServerLimited.Log(c.options.Logger, e.ID, e.Service, requestID, after.String(), before.String())
		return
	}
	psevent.ServerUnlimited.Log(c.options.Logger, e.ID, e.Service, requestID, before.String())
}

// applyPeerLimits applies what another VM announced of servers' limits in a report that was received at a time.
func (c *Controller) applyPeerLimits(list []psfleet.ServerLimit, receivedAt time.Time) {
	for _, v := range list {
		s, found := c.servers.Get(v.ID)
		if !found || s.Entry().Run() != v.Run {
			continue
		}
		if before, changed := s.RecordPeerLimit(v.Limit, receivedAt.Add(-v.Age)); changed {
			c.logLimit(s, before, v.Limit, "")
		}
	}
}
