package psserver

import (
	"math"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Limit is the rate of requests that a server takes from all VMs together. The zero value is no limit.
type Limit struct {
	// Named is set if there is a limit.
	Named bool `json:"named"`
	// PerSecond is the rate in requests per second; 0 means that the server takes none.
	PerSecond float64 `json:"perSecond,omitempty"`
}

// Check validates a decoded limit.
func (l Limit) Check() error {
	if !(l.PerSecond >= 0) || math.IsInf(l.PerSecond, 0) {
		return errors.New("check limit of a server: rate is out of range")
	}
	return nil
}

// String returns the limit in requests per second, or "none".
func (l Limit) String() string {
	if !l.Named {
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'g', -1, 64)
}

// Stricter returns the stricter of two limits.
func (l Limit) Stricter(other Limit) Limit {
	if !l.Named || other.Named && other.PerSecond < l.PerSecond {
		return other
	}
	return l
}

// statedLimit is what a server last stated about its limit.
type statedLimit struct {
	limit Limit
	// since is when this statement replaced a different one, and confirmedAt when the latest response repeated it.
	since, confirmedAt time.Time
}

// RecordLimit records the limit in a response, or its absence, for a request that was sent at a time. It returns the
// limit before, and whether it has changed.
//
// Responses may arrive in another order than the server created them. A limit is therefore raised or withdrawn only
// by the response to a request that was sent after the limit was known; a stricter limit holds at once.
func (s *Server) RecordLimit(l Limit, sentAt, now time.Time) (before Limit, changed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before = s.limit.limit
	if sentAt.Before(s.limit.since) && before.Stricter(l) == before {
		return before, false
	}
	s.limit.confirmedAt = now
	if l == before {
		return before, false
	}
	s.setLimit(l, now)
	return before, true
}

// setLimit replaces the limit. When it is withdrawn, the server's share of requests grows back as after a pause. The
// caller holds the mutex.
func (s *Server) setLimit(l Limit, now time.Time) {
	if !l.Named && s.pause.remaining(now) == 0 {
		s.pause.until = now
	}
	s.limit.limit, s.limit.since = l, now
}

// RecordPeerLimit takes over what another VM knows of the limit, if it is from a later response than what this VM
// knows. It returns the limit before, and whether it has changed.
func (s *Server) RecordPeerLimit(l Limit, confirmedAt time.Time) (before Limit, changed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before = s.limit.limit
	if !confirmedAt.After(s.limit.confirmedAt) {
		return before, false
	}
	s.limit.confirmedAt = confirmedAt
	if l == before {
		return before, false
	}
	s.setLimit(l, confirmedAt)
	return before, true
}

// Limit returns the server's limit, and the time since a response confirmed it.
func (s *Server) Limit(now time.Time) (Limit, time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.limit.limit, now.Sub(s.limit.confirmedAt)
}

// HasLimit reports whether the server has a limit.
func (s *Server) HasLimit() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.limit.limit.Named
}

// CountSent counts a request or a probe that is sent to the server.
func (s *Server) CountSent() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sent++
}

// Sent returns the number of requests and probes that this VM sent to the server.
func (s *Server) Sent() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.sent
}
