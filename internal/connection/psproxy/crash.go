package psproxy

import (
	"persimmonstep/internal/connection/pscrash"
	"persimmonstep/internal/process/pscontrol"
	"persimmonstep/internal/process/psevent"
)

// checkCrash looks whether a server that lost a request crashed, and counts it against the request.
func (g *Gate) checkCrash(c *call, s selection) {
	e := s.view.Entry
	switch g.looks.Check(e.ID, e.Address, g.options.Now) {
	case pscrash.Up:
		return
	case pscrash.FoundDown:
		g.beliefs.ServerFailed(s.server, pscontrol.ReasonCrashed, c.headers.ID)
	}
	n := g.poison.Crashed(c.fingerprint, g.options.Now())
	psevent.RequestCounted.Log(g.options.Logger, c.headers.ID, uint64(c.fingerprint), e.ID, n)
}
