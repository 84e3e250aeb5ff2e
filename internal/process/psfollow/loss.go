package psfollow

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psevent"
)

// Loss notes when the store is lost and regained for one kind of call.
type Loss struct {
	// Call names the calls in the log.
	Call   string
	lostAt time.Time
}

// Lost reports whether the last call failed.
func (l *Loss) Lost() bool { return !l.lostAt.IsZero() }

// Note takes in how a call ended and logs a loss or its end.
func (l *Loss) Note(err error, logger hclog.Logger, now time.Time) {
	switch {
	case err != nil && !l.Lost():
		l.lostAt = now
		psevent.StoreLost.Log(logger, l.Call, err.Error())
	case err == nil && l.Lost():
		psevent.StoreRegained.Log(logger, l.Call, now.Sub(l.lostAt).String())
		l.lostAt = time.Time{}
	}
}
