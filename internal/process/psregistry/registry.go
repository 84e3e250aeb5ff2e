// Package psregistry holds the registered backend servers as a VM knows them.
//
// Entries come from the store or from other VMs, as a whole or as changes. A server keeps what
// was learned of it for as long as its entry is of the same run.
package psregistry

import (
	"maps"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/platform"
)

// Registry holds the registered servers. It isn't safe for concurrent use.
type Registry struct {
	// ReadAt is when the entries were read from the store, by whichever VM.
	ReadAt time.Time

	regions map[string]string
	logger  hclog.Logger
	servers map[string]*psserver.Server
	// gone are servers that were dropped lately, by id.
	gone    map[string]departure
	changes int64
	// era is that of the store's history when the servers were read last.
	era int64
}

// goneSpan is how long a dropped server is remembered. A server that leaves serves on for much less.
const goneSpan = 2 * time.Minute

// departure is what is remembered of a dropped server.
type departure struct {
	entry psserver.Entry
	// leaves says that the server told that it ends, so that no entry of its run counts any more.
	leaves bool
	at     time.Time
	// era is that of the store's history by then.
	era int64
}

// New returns an empty registry. The regions are those of the failure domains.
func New(regions map[string]string, l hclog.Logger) *Registry {
	return &Registry{regions: regions, logger: l, servers: map[string]*psserver.Server{}, gone: map[string]departure{}}
}

// Reading says what entries are.
type Reading struct {
	// Whole says that they are all there are, not what changed.
	Whole bool
	// Returning says that the store was away, so that missing entries may come back.
	Returning bool
	// Age is how long ago they were read.
	Age time.Duration
}

// Take takes in all entries, or what changed of them.
func (r *Registry) Take(s platform.Servers, e Reading, now time.Time) {
	r.ReadAt = now.Add(-e.Age)
	r.era = max(r.era, s.At.Era)
	maps.DeleteFunc(r.gone, func(_ string, d departure) bool { return now.Sub(d.at) > goneSpan })
	seen := make(map[string]bool, len(s.Entries))
	for _, v := range s.Entries {
		seen[v.ID] = true
		r.renew(v, now)
	}
	for _, id := range s.Removed {
		r.drop(id, now)
	}
	if !e.Whole {
		return
	}
	for id, v := range r.servers {
		if seen[id] {
			continue
		}
		if e.Returning && v.Entry().State == psserver.Ready {
			psevent.ServerHeld.Log(r.logger, id, v.Entry().Service)
			continue
		}
		r.drop(id, now)
	}
}

// Get returns the server with an id.
func (r *Registry) Get(id string) (*psserver.Server, bool) {
	s, found := r.servers[id]
	return s, found
}

// Len returns the number of servers.
func (r *Registry) Len() int { return len(r.servers) }

// Changes counts changes of entries.
func (r *Registry) Changes() int64 { return r.changes }

// drop forgets a server that is no longer registered.
func (r *Registry) drop(id string, now time.Time) {
	s, found := r.servers[id]
	if !found {
		return
	}
	delete(r.servers, id)
	r.gone[id] = departure{entry: s.Entry(), leaves: s.Leaving(), at: now, era: r.era}
	r.changes++
	psevent.ServerRemoved.Log(r.logger, id, s.Entry().Service)
}

func (r *Registry) renew(e psserver.Entry, now time.Time) {
	s, found := r.servers[e.ID]
	if r.stale(e) {
		return
	}
	if !found || restarted(s.Entry(), e) {
		r.register(e, now)
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

func (r *Registry) register(e psserver.Entry, now time.Time) {
	r.changes++
	r.servers[e.ID] = psserver.New(e, r.regions[e.FailureDomain], now)
	delete(r.gone, e.ID)
	psevent.ServerRegistered.Log(r.logger, e.ID, e.Service, e.FailureDomain, e.Slots, e.ColdFor.String())
}

// stale reports whether an entry is from the past: of an earlier run of a server than the known one,
// older within its run, or of a run that has told that it ends. Such entries come from VMs and stores
// that are behind.
func (r *Registry) stale(e psserver.Entry) bool {
	if e.Incarnation.IsZero() {
		return false
	}
	var known psserver.Entry
	ended, least := false, int64(0)
	if s, found := r.servers[e.ID]; found {
		known = s.Entry()
		least = known.Sequence
	} else if d, found := r.gone[e.ID]; found {
		known, ended, least = d.entry, d.leaves, d.entry.Sequence
		if r.era > d.era {
			// A copy from before the server was gone still holds its entry. One that lives has
			// written again since.
			least++
		}
	}
	same := e.Incarnation.Equal(known.Incarnation)
	if !e.Incarnation.Before(known.Incarnation) && (!same || !ended && e.Sequence >= least) {
		return false
	}
	psevent.ServerStale.Log(r.logger, e.ID, e.Service, e.Sequence, known.Sequence)
	return true
}

// restarted reports whether an entry is of another run of the server.
func restarted(before, after psserver.Entry) bool {
	return !after.Incarnation.Equal(before.Incarnation) || after.Address != before.Address ||
		after.Service != before.Service || after.Sequence < before.Sequence
}

// In lists the servers of a failure domain.
func (r *Registry) In(domain string) []*psserver.Server {
	return lo.Filter(lo.Values(r.servers), func(s *psserver.Server, _ int) bool { return s.Entry().FailureDomain == domain })
}

// ByService lists the servers of each service.
func (r *Registry) ByService() map[string][]*psserver.Server {
	m := make(map[string][]*psserver.Server)
	for _, s := range r.servers {
		service := s.Entry().Service
		m[service] = append(m[service], s)
	}
	return m
}
