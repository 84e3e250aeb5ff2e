package pswatch

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psevent"
)

// Outage tracks and logs when the store becomes unavailable and recovers, for one kind of call.
type Outage struct {
	// Call names the kind of call in the log.
	Call      string
	startedAt time.Time
	// lastResponseAt is the time of the last successful call; zero before the first.
	lastResponseAt time.Time
}

// Ongoing reports whether the last call failed.
func (o *Outage) Ongoing() bool { return !o.startedAt.IsZero() }

// Record records the result of a call and logs the start or the end of an outage.
func (o *Outage) Record(err error, logger hclog.Logger, now time.Time) {
	switch {
	case err != nil && !o.Ongoing():
		o.startedAt = now
		psevent.StoreUnavailable.Log(logger, o.Call, err.Error(), o.silence(now))
	case err == nil && o.Ongoing():
		psevent.StoreAvailable.Log(logger, o.Call, now.Sub(o.startedAt).String())
		o.startedAt = time.Time{}
	}
	if err == nil {
		o.lastResponseAt = now
	}
}

// silence returns the time since the last successful call, as text; empty before the first. It is longer than the outage
// that is logged, because an unanswered call fails only after its timeout.
func (o *Outage) silence(now time.Time) string {
	if o.lastResponseAt.IsZero() {
		return ""
	}
	return now.Sub(o.lastResponseAt).String()
}
