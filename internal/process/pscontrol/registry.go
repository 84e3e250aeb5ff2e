package pscontrol

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psserver"
)

// returnSpan is how long after the store's return servers write their entries again.
const returnSpan = 1900 * time.Millisecond

// registry holds the registered servers.
type registry struct {
	regions map[string]string
	logger  hclog.Logger
	servers map[string]*psserver.Server
	// missing says since when a server's entry has been missing.
	missing map[string]time.Time
	// returnUntil is until when missing entries may come back.
	returnUntil time.Time
	readAt      time.Time
}

func newRegistry(regions map[string]string, l hclog.Logger) *registry {
	return &registry{regions: regions, logger: l, servers: map[string]*psserver.Server{}, missing: map[string]time.Time{}}
}

// update takes in a reading of all entries. away says since when the store had not been read.
func (r *registry) update(entries []psserver.Entry, away, now time.Time) {
	if !away.IsZero() {
		r.returnUntil = now.Add(returnSpan)
	}
	r.readAt = now
	seen := make(map[string]bool, len(entries))
	for _, e := range entries {
		seen[e.ID] = true
		delete(r.missing, e.ID)
		r.renew(e, now)
	}
	for id, s := range r.servers {
		if !seen[id] {
			r.miss(id, s, now)
		}
	}
}

func (r *registry) renew(e psserver.Entry, now time.Time) {
	s, found := r.servers[e.ID]
	if !found || restarted(s.Entry(), e) {
		r.servers[e.ID] = psserver.New(e, r.regions[e.FailureDomain], now)
		psevent.ServerRegistered.Log(r.logger, e.ID, e.Service, e.FailureDomain, e.Slots, e.ColdFor.String())
		return
	}
	before := s.Entry()
	s.Renew(e, now)
	if e.State == psserver.Draining && before.State != psserver.Draining {
		psevent.ServerDraining.Log(r.logger, e.ID, e.Service, e.Sequence)
	}
}

// restarted reports whether an entry is of another run of the server.
func restarted(before, after psserver.Entry) bool {
	return !after.Incarnation.Equal(before.Incarnation) || after.Address != before.Address ||
		after.Service != before.Service || after.Sequence < before.Sequence
}

// miss drops a server whose entry is gone, unless entries may still come back.
func (r *registry) miss(id string, s *psserver.Server, now time.Time) {
	since, found := r.missing[id]
	if !found {
		since = now
		r.missing[id] = now
	}
	e := s.Entry()
	if now.Before(r.returnUntil) && e.State == psserver.Ready {
		if !found {
			psevent.ServerHeld.Log(r.logger, id, e.Service)
		}
		return
	}
	delete(r.servers, id)
	delete(r.missing, id)
	psevent.ServerRemoved.Log(r.logger, id, e.Service, now.Sub(since).String())
}

// in lists the servers of a failure domain.
func (r *registry) in(domain string) []*psserver.Server {
	return lo.Filter(lo.Values(r.servers), func(s *psserver.Server, _ int) bool { return s.Entry().FailureDomain == domain })
}

// byService lists the servers of each service.
func (r *registry) byService() map[string][]*psserver.Server {
	m := make(map[string][]*psserver.Server)
	for _, s := range r.servers {
		service := s.Entry().Service
		m[service] = append(m[service], s)
	}
	return m
}
