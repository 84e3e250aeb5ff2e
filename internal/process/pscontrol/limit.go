package pscontrol

import (
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psserver"
)

// limitLinesPerSecond bounds the log lines of changed limits. A server may change its limit in each response.
const limitLinesPerSecond = 20

// recordLimit records the limit in a response, or its absence.
func (c *Controller) recordLimit(s *psserver.Server, a Announcement) {
	now := c.options.Now()
	before, changed := s.RecordLimit(a.Limit, a.SentAt, now)
	if !changed || !c.limitLog.Allow(now) {
		return
	}
	e := s.Entry()
	if a.Limit.Named {
		psevent.ServerLimited.Log(c.options.Logger, e.ID, e.Service, a.RequestID, a.Limit.String(), before.String())
		return
	}
	psevent.ServerUnlimited.Log(c.options.Logger, e.ID, e.Service, a.RequestID, before.String())
}
