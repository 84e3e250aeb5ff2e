package psshare

import (
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/pslease"
)

// Log logs which parts of the fleet's limits this VM may use. It isn't safe for concurrent use.
type Log struct {
	logger         hclog.Logger
	parts, members int
	// percent is the fraction of each limit that the VM's groups use, in whole percent so that rounding errors cause no lines.
	percent int
}

// NewLog returns a log without a line so far.
func NewLog(l hclog.Logger) *Log { return &Log{logger: l} }

// Record logs what this VM may use, and its largest share of a workspace's rate, if the number of parts, the number of members
// of its group or the sum of the parts that its groups use has changed.
func (g *Log) Record(h pslease.Holding, shares map[string]float64) {
	next := Log{g.logger, h.Parts, len(h.Members()), int(h.Total() * 100)}
	if *g == next {
		return
	}
	*g = next
	workspace, largest := "", 0.0
	for name, v := range shares {
		if v > largest || v == largest && name < workspace {
			workspace, largest = name, v
		}
	}
	psevent.SharesChanged.Log(g.logger, h.Parts, len(h.Members()), h.Total(), workspace, largest)
}
