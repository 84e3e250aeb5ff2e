package pslimit

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/pslog"
)

// linesPerSecond bounds the log lines of changed limits. A server may change its limit in each response.
const linesPerSecond = 20

// Log logs changes of servers' limits.
type Log struct {
	logger hclog.Logger
	rate   pslog.RateLimit
}

// NewLog returns a log of changes.
func NewLog(l hclog.Logger) *Log {
	return &Log{logger: l, rate: pslog.RateLimit{PerSecond: linesPerSecond}}
}

// Changed logs that the limit of a server has changed. requestID names the request whose response stated it; it is empty
// if another VM did.
func (l *Log) Changed(server, service, requestID string, before, after Limit, now time.Time) {
	if !l.rate.Allow(now) {
		return
	}
	if after.Named {
		psevent.ServerLimited.Log(l.logger, server, service, requestID, after.String(), before.String())
		return
	}
	psevent.ServerUnlimited.Log(l.logger, server, service, requestID, before.String())
}
