// Package pskeepalive decides for how long an idle connection to a backend server may be used again.
//
// It answers this load: many VMs each send a few requests a second to many servers, so that a connection to a server is idle
// for seconds, and a new one costs a network round trip before its request. A server closes a connection that was idle for
// the time that it states. It may do so just as a request is written, and then it is unknown whether the request has run,
// which matters most for requests that may run only once. Some servers close earlier than they state; this shows only by a
// request that is lost.
//
// The package does no I/O and reads no clock.
package pskeepalive

import (
	"time"

	"persimmonstep/internal/request/psdecay"
)

const (
	// defaultRepeatable and defaultOnce bound the idle time if the server states none, for requests that may be repeated and
	// for those that may run only once.
	defaultRepeatable = 6 * time.Second
	defaultOnce       = time.Second
	// margin is subtracted from the stated time for requests that may be repeated, and onceFraction is the fraction of it
	// for the others.
	margin       = time.Second
	onceFraction = 0.7
	// rateTime is the time constant with which lost and other requests are forgotten.
	rateTime = 20 * time.Second
	// minClosed is the number of requests lost on reused connections from which on these count as closed by the servers, if
	// requests are lost there closedFactor times as often as on new connections. Servers that fail lose requests on both.
	minClosed    = 1.5
	closedFactor = 4.0
	// priorLost and priorNew are added to the counts of new connections, of which there may be few.
	priorLost = 0.5
	priorNew  = 5.0
	// closedDivisor divides the idle time after which a connection turned out to be closed. Servers that forget connections
	// mostly do so long before that time.
	closedDivisor = 8
	// closedTime is how long connections are reused only after shorter idle times.
	closedTime = 30 * time.Second
)

// History is what connections to the servers of a service have shown. The zero value is that of servers that state nothing.
type History struct {
	// stated is the idle timeout of the last response that stated one.
	stated time.Duration
	// reused and opened count the requests on reused and on new connections, up to a time.
	reused, opened counts
	countedAt      time.Time
	// closed bounds the idle time until a time, after connections turned out to be closed.
	closed      time.Duration
	closedUntil time.Time
}

// counts are decayed numbers of requests.
type counts struct{ all, lost float64 }

func (c *counts) decay(factor float64) {
	c.all *= factor
	c.lost *= factor
}

func (c *counts) add(lost bool) {
	c.all++
	if lost {
		c.lost++
	}
}

// RecordStated records the idle timeout that a server states.
func (h *History) RecordStated(timeout time.Duration) {
	if timeout > 0 {
		h.stated = timeout
	}
}

// Record records a request on a connection that had been idle, or on a new one if idle is 0. lost states that there was no
// response.
func (h *History) Record(idle time.Duration, lost bool, now time.Time) {
	factor := psdecay.Factor(now.Sub(h.countedAt), rateTime)
	h.countedAt = now
	h.reused.decay(factor)
	h.opened.decay(factor)
	if idle <= 0 {
		h.opened.add(lost)
		return
	}
	h.reused.add(lost)
	if lost && h.areClosed() {
		h.shorten(idle/closedDivisor, now)
	}
}

// areClosed reports whether requests are lost because servers close idle connections.
func (h *History) areClosed() bool {
	usual := (h.opened.lost + priorLost) / (h.opened.all + priorNew)
	return h.reused.lost >= minClosed && h.reused.lost/h.reused.all >= closedFactor*usual
}

func (h *History) shorten(bound time.Duration, now time.Time) {
	if now.Before(h.closedUntil) {
		bound = min(bound, h.closed)
	}
	h.closed, h.closedUntil = bound, now.Add(closedTime)
}

// MaxIdle returns the longest idle time of a connection that is used again. repeatable states that the request may run more
// than once.
func (h *History) MaxIdle(repeatable bool, now time.Time) time.Duration {
	bound := h.usual(repeatable)
	if now.Before(h.closedUntil) {
		bound = min(bound, h.closed)
	}
	return max(time.Millisecond, bound)
}

// usual returns the bound without closed connections.
func (h *History) usual(repeatable bool) time.Duration {
	switch {
	case h.stated <= 0 && repeatable:
		return defaultRepeatable
	case h.stated <= 0:
		return defaultOnce
	case repeatable:
		return h.stated - margin
	}
	return min(h.stated-margin, time.Duration(onceFraction*float64(h.stated)))
}
