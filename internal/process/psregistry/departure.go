package psregistry

import (
	"time"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psserver"
)

// TakeDepartures returns the servers that left according to the store since the last call.
func (r *Registry) TakeDepartures() []psmessage.Departure {
	list := r.departures
	r.departures = nil
	return list
}

// noteDeparture records that a server leaves, unless another VM has read that.
func (r *Registry) noteDeparture(d psmessage.Departure, info UpdateInfo) {
	if !info.FromPeer {
		r.departures = append(r.departures, d)
	}
}

// noteRemoval records that the entry of a server is removed.
func (r *Registry) noteRemoval(id string, info UpdateInfo) {
	if s, found := r.servers[id]; found {
		e := s.Entry()
		r.noteDeparture(psmessage.Departure{Run: e.Run(), Sequence: e.Sequence, Removed: true}, info)
	}
}

// ApplyDeparture takes a server out of use that left according to what another VM has read in the store. A later entry of
// the server puts it back to use.
func (r *Registry) ApplyDeparture(vm string, d psmessage.Departure, now time.Time) {
	s, found := r.servers[d.ID]
	if !found {
		return
	}
	e := s.Entry()
	if e.Run() != d.Run || e.Sequence > d.Sequence || e.State != psserver.Ready {
		return
	}
	if d.Removed {
		if !s.MarkDisputed() {
			return
		}
	} else {
		e.State, e.Sequence = psserver.Draining, d.Sequence
		s.Renew(e, now)
	}
	r.changes++
	psevent.ServerDeparted.Log(r.options.Logger, d.ID, e.Service, vm, d.Sequence, d.Removed)
}
