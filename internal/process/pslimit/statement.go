package pslimit

import "time"

// Statement is what is known of a server's limit. The zero value is a server that has not stated one.
type Statement struct {
	limit Limit
	// since is when this limit replaced a different one, and confirmedAt when the latest response stated it.
	since, confirmedAt time.Time
}

// Limit returns the limit, and the time since a response stated it.
func (s *Statement) Limit(now time.Time) (Limit, time.Duration) {
	return s.limit, now.Sub(s.confirmedAt)
}

// RecordResponse records the limit in a response, or its absence, for a request that was sent at a time. It returns the
// limit before, and whether it has changed.
//
// A limit is raised or withdrawn only by the response to a request that was sent after the limit was known, as an
// earlier response may be older than the limit. A stricter limit holds at once.
func (s *Statement) RecordResponse(l Limit, sentAt, now time.Time) (before Limit, changed bool) {
	if sentAt.Before(s.since) && s.limit.Stricter(l) == s.limit {
		return s.limit, false
	}
	return s.set(l, now)
}

// RecordPeer records what another VM knows of the limit, if it is from a later response than what is known already.
// It returns the limit before, and whether it has changed.
func (s *Statement) RecordPeer(l Limit, confirmedAt time.Time) (before Limit, changed bool) {
	if !confirmedAt.After(s.confirmedAt) {
		return s.limit, false
	}
	return s.set(l, confirmedAt)
}

func (s *Statement) set(l Limit, at time.Time) (before Limit, changed bool) {
	before = s.limit
	s.confirmedAt = at
	if l == before {
		return before, false
	}
	s.limit, s.since = l, at
	return before, true
}
