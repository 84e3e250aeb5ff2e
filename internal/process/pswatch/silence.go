package pswatch

import (
	"sync/atomic"
	"time"
)

// responseTime is the time of the store's last response to a call for one table. The zero value is none.
type responseTime struct {
	at atomic.Pointer[time.Time]
}

func (r *responseTime) record(now time.Time) { r.at.Store(&now) }

// silence returns the time since the response; 0 before the first.
func (r *responseTime) silence(now time.Time) time.Duration {
	at := r.at.Load()
	if at == nil {
		return 0
	}
	return now.Sub(*at)
}

// olderThan reports whether the response is at least as old as a duration, or there was none.
func (r *responseTime) olderThan(d time.Duration, now time.Time) bool {
	at := r.at.Load()
	return at == nil || now.Sub(*at) >= d
}

// Silence returns the time since the store last responded, for the table for which that is longest. It is 0 before the
// first response, and while this VM depends on the relay instead of calling the store.
func (w *Watcher) Silence() time.Duration {
	if w.usesRelay() {
		return 0
	}
	now := w.options.Now()
	return max(w.desiredState.silence(now), w.servers.silence(now))
}
