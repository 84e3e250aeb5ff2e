package psproxy

import (
	"time"

	"persimmonstep/internal/connection/psattempt"
	"persimmonstep/internal/process/psserver"
)

// recordLink records what an attempt that began at a time shows about this VM's links to the servers.
func (p *Proxy) recordLink(s *psserver.Server, o psattempt.Outcome, start time.Time) {
	links := p.options.Links
	if o.DialTime > 0 {
		links.Connected()
	}
	if o.Response != nil {
		links.Responded()
		return
	}
	switch o.Result {
	case psattempt.Unreachable:
		links.Unconnected(s.Entry().ID)
	case psattempt.Lost, psattempt.Timeout:
		if !s.AnsweredSince(start) {
			links.Unanswered(s.Entry().ID)
		}
	default:
	}
}
