package pscontrol

import (
	"time"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pswait"
)

const (
	// initialProbeDelay is the delay before the first probe after a failure. It doubles with each probe up to
	// maxProbeDelay.
	initialProbeDelay = 350 * time.Millisecond
	maxProbeDelay     = 1600 * time.Millisecond
	// maxProbes bounds the probes of one failure. An entry that exists for longer is renewed by its server.
	maxProbes = 60
)

// applyFailure starts probing a server that failed. If the server accepted no connection from this VM, it is
// also listed in this VM's reports.
func (c *Controller) applyFailure(e serverFailedEvent, now time.Time) {
	if e.reason == ReasonUnreachable || e.reason == ReasonCrashed {
		c.failedAt[e.server.Entry().ID] = now
	}
	c.startProbing(e.server, initialProbeDelay)
}

// startProbing probes a server in the background until a probe succeeds, the server is no longer registered or
// maxProbes probes were sent.
func (c *Controller) startProbing(s *psserver.Server, wait time.Duration) {
	v, found := c.service(s)
	if !found {
		return
	}
	path := v.HealthPath
	ctx := c.runContext
	go func() {
		for range maxProbes {
			if !pswait.Sleep(ctx, wait) || !c.registered(s) || c.probeOnce(s, path) {
				return
			}
			wait = min(maxProbeDelay, max(initialProbeDelay, 2*wait))
		}
	}()
}

// registered reports whether the server is still registered as the same run.
func (c *Controller) registered(s *psserver.Server) bool {
	for _, v := range c.Snapshot().Servers[s.Entry().Service] {
		if v == s {
			return true
		}
	}
	return false
}

// probeOnce sends one probe and reports whether probing is complete. A server that requested a pause is not
// probed, and one with a limit only with a token.
func (c *Controller) probeOnce(s *psserver.Server, path string) bool {
	e := s.Entry()
	if s.View(c.options.Now()).PauseRemaining > 0 || !c.options.Tokens.TakeProbe(c.runContext, c.Snapshot(), s) {
		return false
	}
	sentAt := c.options.Now()
	s.CountSent()
	health, err := c.options.Prober.Probe(c.runContext, e, path)
	now := c.options.Now()
	if err == nil && (health.Server == "" || health.Server == e.ID) {
		c.UpdateAvailability(s, Announcement{Availability: health.Availability, SentAt: sentAt})
	}
	switch {
	case err != nil || !health.Healthy:
		return false
	case health.Server != "" && health.Server != e.ID:
		s.MarkReplaced(now)
		return true
	}
	if s.ProbeSucceeded(health.ColdFor, now) {
		psevent.ServerRecovered.Log(c.options.Logger, e.ID, e.Service, e.Sequence, health.ColdFor.String())
	}
	return true
}
