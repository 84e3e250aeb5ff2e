package psplatform

import (
	"sync"
	"time"
)

const (
	// breakerFailures is the number of failures in a row that open the breaker.
	breakerFailures = 5
	// breakerSilence opens the breaker earlier when nothing has succeeded for that long
	// and minFailures calls have failed.
	breakerSilence = time.Second
	minFailures    = 2
)

// breaker tells whether the platform is worth a call. Its zero value is closed.
type breaker struct {
	mutex sync.Mutex
	// failures counts the failures since the last success.
	failures int
	// firstFailure is when the first of them ended.
	firstFailure time.Time
	// lastSuccess is when a call last succeeded.
	lastSuccess time.Time
	// retry is when the next probe is due; the zero time says that the breaker is closed.
	retry time.Time
}

// allow reports whether calls may be sent, or when the next probe is due.
func (b *breaker) allow() (bool, time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.retry.IsZero(), b.retry
}

// succeed closes the breaker and reports whether it was open.
func (b *breaker) succeed(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	opened := !b.retry.IsZero()
	b.failures, b.firstFailure, b.retry, b.lastSuccess = 0, time.Time{}, time.Time{}, now
	return opened
}

// fail counts a failure and reports whether it opened the breaker. An open breaker waits
// for another span.
func (b *breaker) fail(now time.Time, wait time.Duration) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.failures++
	if b.firstFailure.IsZero() {
		b.firstFailure = now
	}
	if !b.retry.IsZero() {
		b.retry = now.Add(wait)
		return false
	}
	silent := b.failures >= minFailures && now.Sub(b.firstFailure) >= breakerSilence
	if b.failures < breakerFailures && !silent {
		return false
	}
	b.retry = now.Add(wait)
	return true
}

// last returns when a call last succeeded; the zero time says never.
func (b *breaker) last() time.Time {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.lastSuccess
}
