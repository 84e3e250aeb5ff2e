// Package pshealth probes servers that failed, or of which it is unknown whether they are cold, until they respond.
package pshealth

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pswait"
	"persimmonstep/platform/psheader"
)

const (
	// initialDelay is the delay before the first probe after a failure. It doubles with each attempt up to maxDelay.
	initialDelay = 350 * time.Millisecond
	maxDelay     = 1600 * time.Millisecond
	// fastAttempts is the number of attempts after which the delay is slowDelay. A server that stays registered that
	// long without responding is probably out of this VM's reach.
	fastAttempts = 60
	slowDelay    = 10 * time.Second
)

// Prober sends health checks to servers.
type Prober interface {
	Probe(ctx context.Context, e psserver.Entry, path string) (psheader.Health, error)
}

// Owner is the control plane for which servers are probed.
type Owner interface {
	// Registered reports whether the server is still registered as the same run.
	Registered(s *psserver.Server) bool
	// MayProbe reports whether a probe may be sent to the server now.
	MayProbe(ctx context.Context, s *psserver.Server) bool
	// ApplyProbe processes what the server announced in the response to a probe that was sent at a time.
	ApplyProbe(s *psserver.Server, a psheader.Availability, sentAt time.Time)
}

// Checker probes servers.
type Checker struct {
	Prober Prober
	Owner  Owner
	Logger hclog.Logger
	// Now returns the current time with a monotonic reading.
	Now func() time.Time
}

// RunAfterFailure probes a server that failed until a probe succeeds, the server is no longer registered or the context
// ends.
func (c *Checker) RunAfterFailure(ctx context.Context, s *psserver.Server, path string) {
	c.run(ctx, s, path, initialDelay)
}

// Run is [Checker.RunAfterFailure] with a first probe at once.
func (c *Checker) Run(ctx context.Context, s *psserver.Server, path string) { c.run(ctx, s, path, 0) }

func (c *Checker) run(ctx context.Context, s *psserver.Server, path string, delay time.Duration) {
	for attempt := 1; ; attempt++ {
		if !pswait.Sleep(ctx, delay) || !c.Owner.Registered(s) || c.probe(ctx, s, path) {
			return
		}
		delay = min(maxDelay, max(initialDelay, 2*delay))
		if attempt >= fastAttempts {
			delay = slowDelay
		}
	}
}

// probe sends one probe, unless the server takes none now, and reports whether probing is complete.
func (c *Checker) probe(ctx context.Context, s *psserver.Server, path string) bool {
	if !c.Owner.MayProbe(ctx, s) {
		return false
	}
	e := s.Entry()
	sentAt := c.Now()
	s.CountSent()
	health, err := c.Prober.Probe(ctx, e, path)
	now := c.Now()
	if err == nil && (health.Server == "" || health.Server == e.ID) {
		c.Owner.ApplyProbe(s, health.Availability, sentAt)
		if health.Load != nil {
			s.RecordSpeed(health.Load.WorkFactor, now)
		}
	}
	switch {
	case err != nil || !health.Healthy:
		return false
	case health.Server != "" && health.Server != e.ID:
		s.MarkReplaced(now)
		return true
	}
	if s.ProbeSucceeded(health.ColdFor, now) {
		psevent.ServerRecovered.Log(c.Logger, e.ID, e.Service, e.Sequence, health.ColdFor.String())
	}
	return true
}
