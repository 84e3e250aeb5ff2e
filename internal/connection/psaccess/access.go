// Package psaccess records how callers' requests end: one log line for each, with the inputs that decided it, and
// metrics.
package psaccess

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/connection/psattempt"
	"persimmonstep/internal/connection/psselection"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/pslog"
	"persimmonstep/internal/request/psadmission"
	"persimmonstep/internal/request/psspeed"
	"persimmonstep/internal/version/psconfig"
)

const (
	// successLinesPerSecond bounds the log lines of answered requests, and failureLinesPerSecond those of all others.
	successLinesPerSecond = 100
	failureLinesPerSecond = 150
)

// Attempt is one request to a backend server.
type Attempt struct {
	psselection.Selection
	Result psattempt.Result
	Took   time.Duration
}

// Record is how a request ended.
type Record struct {
	// Event is [psevent.RequestAnswered], [psevent.RequestRejected], [psevent.RequestFailed] or
	// [psevent.RequestCanceled].
	Event         psevent.Event
	ID, Workspace string
	Object        string
	Route         *psconfig.Route
	Version       int64
	Status        int
	Reason        string
	Attempts      []Attempt
	Took, Left    time.Duration
	ServersAge    time.Duration
	RetryAfter    time.Duration
	// Basis is what a rejection for lack of slots was decided by; nil without one.
	Basis *psadmission.Basis
	// Helper is the VM through which the request was forwarded, and From the VM that forwarded it to this one; empty
	// otherwise.
	Helper, From string
}

// Log records ended requests.
type Log struct {
	metrics   *Metrics
	logger    hclog.Logger
	successes pslog.RateLimit
	failures  pslog.RateLimit
}

// New returns a log. Answered requests and all others have separate rate limits.
func New(m *Metrics, l hclog.Logger) *Log {
	return &Log{
		metrics: m, logger: l, successes: pslog.RateLimit{PerSecond: successLinesPerSecond},
		failures: pslog.RateLimit{PerSecond: failureLinesPerSecond},
	}
}

// Write records the metrics of an ended request and logs one line.
func (l *Log) Write(r Record, now time.Time) {
	l.metrics.observe(r)
	limit := &l.failures
	if r.Event.Number == psevent.RequestAnswered.Number {
		limit = &l.successes
	}
	if !limit.Allow(now) {
		return
	}
	route := ""
	if r.Route != nil {
		route = r.Route.Name
	}
	r.Event.Log(l.logger, r.ID, r.Workspace, route, r.Object, r.Version, r.Status, r.Reason, describe(r.Attempts),
		formatMilliseconds(r.Took), formatMilliseconds(r.Left), formatMilliseconds(r.ServersAge), formatMilliseconds(r.RetryAfter), describeBasis(r.Basis), r.Helper, r.From)
}

// Dropped returns the number of lines that were not written since the last call because of the rate limits.
func (l *Log) Dropped() int64 { return l.successes.Dropped() + l.failures.Dropped() }

// describe formats attempts with the inputs by which their servers were selected.
func describe(attempts []Attempt) string {
	var b strings.Builder
	for i, a := range attempts {
		if i > 0 {
			b.WriteString("; ")
		}
		_, _ = fmt.Fprintf(&b, "%s %s rank=%d load=%.1f loadAge=%s slowness=%.1f speed=%.2f speedAge=%s failures=%.2f wait=%s run=%s travel=%s warm=%t cold=%t took=%s recall=%.2f keeps=%.2f limit=%s removed=%t",
			a.View.Entry.ID, a.Result, a.Choice.Rank, a.View.Load, formatMilliseconds(a.View.LoadAge),
			a.View.Slowness, a.View.Speed.Now(), formatAge(a.View.Speed), a.View.FailureRate, formatMilliseconds(a.Choice.Wait), formatMilliseconds(a.Choice.Run),
			formatMilliseconds(a.Choice.RoundTrip), a.Choice.LikelyCached, a.View.Cold, formatMilliseconds(a.Took), a.View.PrimaryHitRate, a.View.CacheableFraction, a.View.Limit, a.View.Removed)
	}
	return b.String()
}

// describeBasis formats what a rejection for lack of slots was decided by.
func describeBasis(b *psadmission.Basis) string {
	if b == nil {
		return ""
	}
	return fmt.Sprintf("priority=%d wait=%s maxWait=%s overload=%.2f above=%.2f position=%.2f beyondUsual=%t",
		b.Priority, formatMilliseconds(b.Wait), formatMilliseconds(b.MaxWait), b.Overload, b.Above, b.Position, b.BeyondUsual)
}

// formatAge formats the age of a server's statement of its speed.
func formatAge(s psspeed.Speed) string {
	if !s.Known() {
		return "never"
	}
	return formatMilliseconds(s.Age)
}

// formatMilliseconds formats a duration in milliseconds. More than an hour is "never".
func formatMilliseconds(d time.Duration) string {
	if d > time.Hour {
		return "never"
	}
	return strconv.FormatInt(d.Milliseconds(), 10) + "ms"
}
