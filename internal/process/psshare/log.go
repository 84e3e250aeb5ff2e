package psshare

import (
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psevent"
)

// Log logs on which VMs this VM counts for its shares. It isn't safe for concurrent use.
type Log struct {
	logger         hclog.Logger
	known, sharers int
}

// NewLog returns a log without a line so far.
func NewLog(l hclog.Logger) *Log { return &Log{logger: l} }

// Record logs the shares of the workspaces' rates if the number of the known VMs, or of those that share the limits, has
// changed. fraction is the part of each limit to which the shares of these VMs add up.
func (g *Log) Record(known, sharers int, fraction float64, shares map[string]float64) {
	if known == g.known && sharers == g.sharers {
		return
	}
	g.known, g.sharers = known, sharers
	workspace, largest := "", 0.0
	for name, v := range shares {
		if v > largest || v == largest && name < workspace {
			workspace, largest = name, v
		}
	}
	psevent.SharesChanged.Log(g.logger, known, sharers, fraction, workspace, largest)
}
