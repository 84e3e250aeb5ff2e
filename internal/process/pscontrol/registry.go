package pscontrol

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psserver"
)

// registry holds the registered servers.
type registry struct {
	regions map[string]string
	logger  hclog.Logger
	servers map[string]*psserver.Server
	readAt  time.Time
	// changes counts changes of entries.
	changes int64
}

func newRegistry(regions map[string]string, l hclog.Logger) *registry {
	return &registry{regions: regions, logger: l, servers: map[string]*psserver.Server{}}
}

// take takes in all entries, or what changed of them.
func (r *registry) take(e serversEvent, now time.Time) {
	r.readAt = now.Add(-e.age)
	seen := make(map[string]bool, len(e.servers.Entries))
	for _, v := range e.servers.Entries {
		seen[v.ID] = true
		r.renew(v, now)
	}
	for _, id := range e.servers.Removed {
		r.drop(id)
	}
	if !e.whole {
		return
	}
	for id, s := range r.servers {
		if seen[id] {
			continue
		}
		if e.returning && s.Entry().State == psserver.Ready {
			psevent.ServerHeld.Log(r.logger, id, s.Entry().Service)
			continue
		}
		r.drop(id)
	}
}

// drop forgets a server that is no longer registered.
func (r *registry) drop(id string) {
	s, found := r.servers[id]
	if !found {
		return
	}
	delete(r.servers, id)
	r.changes++
	psevent.ServerRemoved.Log(r.logger, id, s.Entry().Service)
}

func (r *registry) renew(e psserver.Entry, now time.Time) {
	s, found := r.servers[e.ID]
	if !found || restarted(s.Entry(), e) {
		r.changes++
		r.servers[e.ID] = psserver.New(e, r.regions[e.FailureDomain], now)
		psevent.ServerRegistered.Log(r.logger, e.ID, e.Service, e.FailureDomain, e.Slots, e.ColdFor.String())
		return
	}
	before := s.Entry()
	if before != e {
		r.changes++
	}
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
