package pscontrol

import (
	"context"
	"slices"
	"time"

	"persimmonstep/internal/process/psavailability"
	"persimmonstep/internal/process/pshealth"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/platform/psheader"
)

// applyFailure starts probing a server that failed. If the server accepted no connection from this VM, although others
// do, it is also listed in this VM's reports.
func (c *Controller) applyFailure(e serverFailedEvent) {
	if e.reason == pshealth.ReasonUnreachable || e.reason == pshealth.ReasonCrashed {
		down := serverDownEvent{e.server.Entry().ID}
		c.options.Links.OnceConnected(func() { c.enqueue(down) })
	}
	if v, found := c.service(e.server); found {
		go c.health.RunAfterFailure(c.runContext, e.server, v.HealthPath)
	}
}

// Registered reports whether the server is still registered as the same run.
func (c *Controller) Registered(s *psserver.Server) bool {
	return slices.Contains(c.Snapshot().Servers[s.Entry().Service], s)
}

// MayProbe reports whether a probe may be sent to the server now: this VM has links to servers, the server has not
// requested a pause, and this VM has a token if it has a limit.
func (c *Controller) MayProbe(ctx context.Context, s *psserver.Server) bool {
	return !c.options.Links.Lost() && s.View(c.options.Now()).PauseRemaining == 0 && c.options.Tokens.TakeProbe(ctx, c.Snapshot(), s)
}

// ApplyProbe processes what a server announced in the response to a probe that was sent at a time.
func (c *Controller) ApplyProbe(s *psserver.Server, a psheader.Availability, sentAt time.Time) {
	c.UpdateAvailability(s, psavailability.Announcement{Availability: a, SentAt: sentAt})
}
