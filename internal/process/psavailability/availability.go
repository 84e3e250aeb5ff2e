// Package psavailability records what backend servers announce about the requests that they take: their shutdown, a pause,
// and a limit. A server announces it in responses to this VM, and other VMs pass it on in reports.
package psavailability

import (
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/pslimit"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/platform/psheader"
)

// Announcement is what a server announces in a response.
type Announcement struct {
	psheader.Availability
	// RequestID names the request; empty for a probe.
	RequestID string
	// SentAt is when the request was sent.
	SentAt time.Time
	// Genuine is set if a backend server created the response, so that it has no limit if the response names none.
	Genuine bool
}

// Recorder records announcements. It is safe for concurrent use.
type Recorder struct {
	Logger   hclog.Logger
	LimitLog *pslimit.Log
	// Now returns the current time with a monotonic reading.
	Now func() time.Time
	// OnLeaving is called when a server announces its shutdown to this VM, and OnLimitChanged when it begins or ceases to
	// have a limit.
	OnLeaving, OnLimitChanged func(psserver.Run)
}

// Update processes what a server announces in a response: its shutdown, a pause during which it takes no requests from this
// VM, or a limit on the requests of all VMs.
func (r *Recorder) Update(s *psserver.Server, a Announcement) {
	e := s.Entry()
	if a.Leaving && s.MarkLeaving() {
		psevent.ServerLeaving.Log(r.Logger, e.ID, e.Service, a.RequestID)
		r.OnLeaving(e.Run())
	}
	if a.Pause > 0 {
		granted := s.Pause(a.Pause, r.Now())
		psevent.ServerPaused.Log(r.Logger, e.ID, e.Service, a.RequestID, a.Pause.String(), granted.String())
	}
	if a.Limit.Named || a.Genuine && !a.LimitUnreadable {
		r.recordLimit(s, a)
	}
}

// recordLimit records the limit in a response, or its absence. If the server began or ceased to have a limit, this VM's
// next reports announce it.
func (r *Recorder) recordLimit(s *psserver.Server, a Announcement) {
	now, e := r.Now(), s.Entry()
	before, changed := s.RecordLimit(a.Limit, a.SentAt, now)
	if !changed {
		return
	}
	r.LimitLog.Changed(e.ID, e.Service, a.RequestID, before, a.Limit, now)
	if before.Named != a.Limit.Named {
		r.OnLimitChanged(e.Run())
	}
}

// Servers finds servers by id.
type Servers interface {
	Get(id string) (*psserver.Server, bool)
}

// ApplyReport applies what another VM announces of servers in a report that was received at a time: their shutdown and
// their limits.
func (r *Recorder) ApplyReport(report *psmessage.Report, servers Servers, receivedAt time.Time) {
	for _, run := range report.Leaving {
		// Servers that are listed as departed as well are named for VMs of earlier builds.
		departed := slices.ContainsFunc(report.Departed, func(d psmessage.Departure) bool { return d.Run == run })
		s, found := find(servers, run)
		if !departed && found && s.MarkLeaving() {
			psevent.ServerLeaving.Log(r.Logger, run.ID, s.Entry().Service, "")
		}
	}
	for _, v := range report.Limited {
		s, found := find(servers, v.Run)
		if !found {
			continue
		}
		if before, changed := s.RecordPeerLimit(v.Limit, receivedAt.Add(-v.Age)); changed {
			r.LimitLog.Changed(v.ID, s.Entry().Service, "", before, v.Limit, receivedAt)
		}
	}
}

// find returns the server of a run.
func find(servers Servers, run psserver.Run) (*psserver.Server, bool) {
	s, found := servers.Get(run.ID)
	return s, found && s.Entry().Run() == run
}
