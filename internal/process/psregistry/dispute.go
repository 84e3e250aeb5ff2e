package psregistry

import (
	"time"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psserver"
)

// disputeHeartbeats is the number of heartbeat intervals after which a rejected entry replaces the known one, unless
// the server has renewed that. A late write of an earlier run is followed by a renewal within one interval.
const disputeHeartbeats = 2

// dispute is an entry that was rejected as outdated although the store returned it. Either it is late, or the known
// entry has another writer than the server.
type dispute struct {
	entry psserver.Entry
	// changed states that the entry came as a change, so that it was written after the known one was read.
	changed bool
	since   time.Time
}

// dispute records that an entry was rejected. If it says that the server is draining, the server is taken out of use
// until it renews its entry. The second rejected entry of a run replaces the known entry.
func (r *Registry) dispute(s *psserver.Server, e psserver.Entry, info UpdateInfo, now time.Time) {
	d, found := r.disputes[e.ID]
	if found && d.entry.Incarnation.Equal(e.Incarnation) && d.entry.Sequence < e.Sequence && mayReplace(s, e) {
		r.replace(e, now)
		return
	}
	if !found {
		d.since = now
	}
	d.entry, d.changed = e, d.changed || !info.Full
	r.disputes[e.ID] = d
	if e.State == psserver.Draining && s.MarkDisputed() {
		psevent.ServerDisputed.Log(r.options.Logger, e.ID, e.Service, e.Sequence, e.Run().Incarnation)
	}
}

// mayReplace reports whether a rejected entry may replace the known one. A server that is leaving stays so for its run.
func mayReplace(s *psserver.Server, e psserver.Entry) bool {
	return e.State == psserver.Draining || !s.Leaving() || !e.Incarnation.Equal(s.Entry().Incarnation)
}

// settleDisputes lets rejected entries replace known ones that their servers haven't renewed.
func (r *Registry) settleDisputes(now time.Time) {
	for id, d := range r.disputes {
		if d.changed && now.Sub(d.since) > disputeHeartbeats*r.options.Heartbeat && mayReplace(r.servers[id], d.entry) {
			r.replace(d.entry, now)
		}
	}
}

func (r *Registry) replace(e psserver.Entry, now time.Time) {
	delete(r.disputes, e.ID)
	r.register(e, now)
}
