package psfleet

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psmessage"
)

// LivenessLog logs when VMs fall silent and report again. It isn't safe for concurrent use.
type LivenessLog struct {
	logger hclog.Logger
	// silent holds the VMs whose silence was logged.
	silent map[string]bool
}

// NewLivenessLog returns a log in which no VM is silent.
func NewLivenessLog(l hclog.Logger) *LivenessLog {
	return &LivenessLog{logger: l, silent: map[string]bool{}}
}

// Reported processes a report of a peer, whose state before it is given.
func (g *LivenessLog) Reported(r *psmessage.Report, before Peer, now time.Time) {
	if before.Report != nil && before.Report.Incarnation == r.Incarnation && !g.silent[r.VM] {
		return
	}
	delete(g.silent, r.VM)
	silence := ""
	if !before.ReceivedAt.IsZero() {
		silence = now.Sub(before.ReceivedAt).String()
	}
	psevent.PeerLive.Log(g.logger, r.VM, r.Incarnation, silence)
}

// Check logs the peers that have fallen silent.
func (g *LivenessLog) Check(f *Fleet, now time.Time) {
	for _, p := range f.Peers() {
		if p.Report == nil || f.Live(p, now) || g.silent[p.Identity.VM] {
			continue
		}
		g.silent[p.Identity.VM] = true
		psevent.PeerSilent.Log(g.logger, p.Identity.VM, now.Sub(p.ReceivedAt).String())
	}
}
