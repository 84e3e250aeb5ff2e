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

import "time"

const (
	// defaultRepeatable and defaultOnce bound the idle time if the server states none, for requests that may be repeated and
	// for those that may run only once.
	defaultRepeatable = 6 * time.Second
	defaultOnce       = time.Second
	// margin is subtracted from the stated time for requests that may be repeated, and onceFraction is the fraction of it
	// for the others.
	margin       = time.Second
	onceFraction = 0.7
	// closedDivisor divides the idle time after which a connection turned out to be closed. Servers that forget connections
	// mostly do so long before that time.
	closedDivisor = 8
	// closedTime is how long connections are used again sooner after one turned out to be closed.
	closedTime = 30 * time.Second
)

// History is what connections to the servers of a service have shown. The zero value is that of servers that state nothing.
type History struct {
	// stated is the shortest idle timeout of the last responses.
	stated time.Duration
	// closed bounds the idle time until a time, after a connection turned out to be closed.
	closed      time.Duration
	closedUntil time.Time
}

// RecordStated records the idle timeout that a server states.
func (h *History) RecordStated(timeout time.Duration) {
	if timeout > 0 {
		h.stated = timeout
	}
}

// RecordClosed records that a connection that was used again after an idle time turned out to be closed.
func (h *History) RecordClosed(idle time.Duration, now time.Time) {
	bound := idle / closedDivisor
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
