package pscontrol

import (
	"time"

	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psserver"
)

// recordLimit records the limit in a response, or its absence. If the server began or ceased to have a limit, this VM's
// next reports announce it.
func (c *Controller) recordLimit(s *psserver.Server, a Announcement) {
	now, e := c.options.Now(), s.Entry()
	before, changed := s.RecordLimit(a.Limit, a.SentAt, now)
	if !changed {
		return
	}
	c.limitLog.Changed(e.ID, e.Service, a.RequestID, before, a.Limit, now)
	if before.Named != a.Limit.Named {
		c.enqueue(serverLimitEvent{e.Run()})
	}
}

// applyPeerLimits applies what another VM announced of servers' limits in a report that was received at a time.
func (c *Controller) applyPeerLimits(list []psmessage.ServerLimit, receivedAt time.Time) {
	for _, v := range list {
		s, found := c.servers.Get(v.ID)
		if !found || s.Entry().Run() != v.Run {
			continue
		}
		if before, changed := s.RecordPeerLimit(v.Limit, receivedAt.Add(-v.Age)); changed {
			c.limitLog.Changed(v.ID, s.Entry().Service, "", before, v.Limit, receivedAt)
		}
	}
}
