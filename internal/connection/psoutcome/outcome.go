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
		links.Connected(start.Add(o.DialTime))
	}
	unanswered := (o.Result == psattempt.Lost || o.Result == psattempt.Timeout) && !s.AnsweredSince(start)
	switch {
	case o.Response != nil:
		links.Responded()
	case o.Result == psattempt.Unreachable:
		links.Unconnected(s.Entry().ID)
	case unanswered:
		links.Unanswered(s.Entry().ID)
	}
}
