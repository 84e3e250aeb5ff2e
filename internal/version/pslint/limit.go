package pslint

import (
	"fmt"
	"time"

	"persimmonstep/internal/version/psconfig"
)

// The rules for limits that contradict each other.
const (
	CodeTargetAboveTimeout    psconfig.Code = "target-above-timeout"
	CodeTargetZero            psconfig.Code = "target-zero"
	CodeTimeoutBelowRun       psconfig.Code = "timeout-below-run"
	CodeAttemptsAboveTimeout  psconfig.Code = "attempts-above-timeout"
	CodeBurstWithoutRate      psconfig.Code = "burst-without-rate"
	CodeRateBelowBurst        psconfig.Code = "rate-below-burst"
	CodeColdRateZero          psconfig.Code = "cold-rate-zero"
	CodeConnectionsBelowVMs   psconfig.Code = "connections-below-vms"
	CodeLimitNegative         psconfig.Code = "limit-negative"
	CodeHeaderTimeAboveIdle   psconfig.Code = "header-time-above-idle"
	CodeHeaderExcludesRoute   psconfig.Code = "header-excludes-route"
	CodeBodyBelowHeader       psconfig.Code = "body-below-header"
	CodeBodyLimitsUploadRoute psconfig.Code = "body-limits-upload-route"
)

// maxFill is the longest time in which a full burst should become available. A VM that starts, or becomes the owner of a
// workspace's tokens, begins without any, and this happens with each release.
const maxFill = time.Hour

// connectionsPerVM is the number of connections that a VM may open to a server however low the server's limit is: one for
// requests and one for a probe.
const connectionsPerVM = 2

// limits reports limits that contradict each other.
func (l *linter) limits() {
	for i, r := range l.configuration.Routes {
		l.times(fmt.Sprintf("routes[%d]", i), r)
	}
	for i, s := range l.configuration.Services {
		path := fmt.Sprintf("services[%d]", i)
		if s.ColdStart > 0 && s.ColdPerSecond == 0 {
			l.warn(CodeColdRateZero, path+".coldPerSecond",
				"servers of %q get no request in the %s of their cold start: the rate for cold servers is 0", s.Name, s.ColdStart)
		}
		if s.MaxConnections > 0 && s.MaxConnections < connectionsPerVM*l.fleet.VMs {
			l.warn(CodeConnectionsBelowVMs, path+".maxConnections",
				"%d connections are too few for %d VMs, which may open %d each: the limit is exceeded", s.MaxConnections, l.fleet.VMs, connectionsPerVM)
		}
	}
	for i, w := range l.configuration.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		switch fill := (w.Burst + 1) / w.Rate; {
		case w.Rate == 0 && w.Burst > 0:
			l.warn(CodeBurstWithoutRate, path+".burst", "the burst of workspace %q has no effect: a rate of 0 means no limit", w.Name)
		case w.Rate > 0 && fill > maxFill.Seconds():
			l.warn(CodeRateBelowBurst, path+".rate",
				"at %g requests/s, the burst of %g of workspace %q becomes available in %.1f h after each start of a VM", w.Rate, w.Burst, w.Name, fill/time.Hour.Seconds())
		}
	}
	l.callers()
}

// times reports the times of a route that contradict each other.
func (l *linter) times(path string, r psconfig.Route) {
	run := l.fleet.Runs[r.Name]
	retries := time.Duration(max(0, r.MaxAttempts-1))
	switch {
	case r.TargetLatency == 0:
		l.warn(CodeTargetZero, path+".targetLatency",
			"route %q has no target latency: its requests are rejected as soon as they would have to wait for a slot", r.Name)
	case r.Timeout > 0 && r.TargetLatency > r.Timeout:
		l.warn(CodeTargetAboveTimeout, path+".targetLatency",
			"the target latency %s of route %q is above its timeout %s", r.TargetLatency, r.Name, r.Timeout)
	}
	switch {
	case r.Timeout <= 0 || run <= 0:
	case run >= r.Timeout:
		l.warn(CodeTimeoutBelowRun, path+".timeout",
			"requests of route %q are estimated to run for %s, and are rejected with a timeout of %s", r.Name, run, r.Timeout)
	case l.fleet.RoundTrip > 0 && retries > (r.Timeout-run)/l.fleet.RoundTrip:
		l.warn(CodeAttemptsAboveTimeout, path+".maxAttempts",
			"%d attempts on route %q need a round trip of %s for each but the last and a run of %s: more than its timeout %s",
			r.MaxAttempts, r.Name, l.fleet.RoundTrip, run, r.Timeout)
	}
}

// callers reports the limits for callers that contradict each other or exclude routes.
func (l *linter) callers() {
	given := l.configuration.Limits
	for _, v := range []struct {
		negative bool
		path     string
	}{
		{given.MaxHeaderBytes < 0, "limits.maxHeaderBytes"},
		{given.MaxBodyBytes < 0, "limits.maxBodyBytes"},
		{given.HeaderTimeout < 0, "limits.headerTimeout"},
		{given.IdleTimeout < 0, "limits.idleTimeout"},
	} {
		if v.negative {
			l.warn(CodeLimitNegative, v.path, "a negative limit counts as absent")
		}
	}
	limits := given.OrDefaults()
	if limits.HeaderTimeout > limits.IdleTimeout {
		path := "limits.headerTimeout"
		if given.HeaderTimeout <= 0 {
			path = "limits.idleTimeout"
		}
		l.warn(CodeHeaderTimeAboveIdle, path,
			"a caller may take %s to send a header, but an idle connection closes after %s", limits.HeaderTimeout, limits.IdleTimeout)
	}
	l.heads(limits.MaxHeaderBytes)
	l.bodies(limits)
}

// heads reports routes to which even the shortest request is over the limit.
func (l *linter) heads(limit int) {
	var excluded []string
	for _, r := range l.configuration.Routes {
		if len("GET "+r.Prefix+" HTTP/1.1") > limit || len("Host: "+r.Host) > limit {
			excluded = append(excluded, r.Name)
		}
	}
	if len(excluded) > 0 {
		l.warn(CodeHeaderExcludesRoute, "limits.maxHeaderBytes", "%d bytes are too few for any request to routes %s", limit, list(excluded))
	}
}

// bodies reports a limit of bodies below that of headers: one that excludes uploads, whose bodies are long, or that contradicts a
// header limit of the operator.
func (l *linter) bodies(limits psconfig.Limits) {
	if limits.MaxBodyBytes <= 0 || limits.MaxBodyBytes >= int64(limits.MaxHeaderBytes) {
		return
	}
	var uploads []string
	for _, r := range l.configuration.Routes {
		if r.Kind == psconfig.Upload {
			uploads = append(uploads, r.Name)
		}
	}
	switch {
	case len(uploads) > 0:
		l.warn(CodeBodyLimitsUploadRoute, "limits.maxBodyBytes",
			"a body may have %d bytes, less than a header (%d): longer uploads to routes %s are refused", limits.MaxBodyBytes, limits.MaxHeaderBytes, list(uploads))
	case l.configuration.Limits.MaxHeaderBytes > 0:
		l.warn(CodeBodyBelowHeader, "limits.maxBodyBytes", "a body may have %d bytes, less than a header (%d)", limits.MaxBodyBytes, limits.MaxHeaderBytes)
	}
}
