package psproxy

import (
	"persimmonstep/internal/connection/pscrash"
	"persimmonstep/internal/connection/psselection"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/pshealth"
)

// checkCrash checks whether a server that lost a request has crashed, and counts the crash against the request. The
// crash is confirmed once the VM reaches another server.
func (p *Proxy) checkCrash(c *call, s psselection.Selection) {
	entry := s.View.Entry
	switch p.crashDetector.Check(entry.ID, entry.Address, p.options.Now) {
	case pscrash.Up:
		return
	case pscrash.FoundDown:
		p.control.ServerFailed(s.Server, pshealth.ReasonCrashed, c.headers.ID)
	}
	fingerprint := c.fingerprint
	count := p.blocklist.AddSuspected(fingerprint, p.options.Now())
	psevent.CrashCounted.Log(p.options.Logger, c.headers.ID, uint64(fingerprint), entry.ID, count)
	p.options.Links.OnceConnected(func() { p.blocklist.Confirm(fingerprint) })
}
