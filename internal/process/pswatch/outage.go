package pswatch

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psevent"
)

// Loss notes when the store is lost and regained for one kind of call.
type Outage struct {
	// Call names the calls in the log.
	Call      string
	startedAt time.Time
}

// Lost reports whether the last call failed.
func (l *Outage) Ongoing() bool { return !l.startedAt.IsZero() }

// Note takes in how a call ended and logs a loss or its end.
func (l *Outage) Record(err error, logger hclog.Logger, now time.Time) {
	switch {
	case err != nil && !l.Ongoing():
		l.startedAt = now
		psevent.StoreLost.Log(logger, l.Call, err.Error())
	case err == nil && l.Ongoing():
		psevent.StoreRegained.Log(logger, l.Call, now.Sub(l.startedAt).String())
		l.startedAt = time.Time{}
	}
}
