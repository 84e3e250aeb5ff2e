// Package psregistry holds the backend servers that a VM knows from the service registry.
//
// Entries come from the store or from other VMs, either as the complete list or as changes. What a VM
// has learned about a server, such as its load, is kept while the entry's incarnation stays the same.
// Responses of the store and other VMs may be out of date, so outdated entries are rejected by
// incarnation and sequence number. Another writer may have left the entry to which they are compared, so a
// rejected entry disputes it until the server renews it.
package psregistry

import (
	"maps"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/version/psrevision"
	"persimmonstep/platform"
)

// Registry holds the registered servers. It isn't safe for concurrent use.
type Registry struct {
	// ReadAt is when this or another VM read the entries from the store.
	ReadAt time.Time

	options Options
	servers map[string]*psserver.Server
	// disputes holds the latest rejected entry of each server that hasn't renewed its entry since.
	disputes map[string]dispute
	// invalid holds the latest invalid entry that was logged, by id.
	invalid map[string]psserver.Entry
	// unreadableSince is since when the row of a registered server can't be decoded, by its id.
	unreadableSince map[string]time.Time
	// removed holds the recently removed servers by id.
	removed map[string]removedServer
	changes int64
	// departures are the servers that left according to the store since the last call of TakeDepartures.
	departures []psmessage.Departure
	// revision is the store revision of the entries.
	revision psrevision.Revision
}

// removedRetention is how long a removed server is remembered. A server that shuts down ends much sooner.
const removedRetention = 2 * time.Minute

// removedServer is the record of a removed server.
type removedServer struct {
	entry psserver.Entry
	// leaving states that the server announced its shutdown, so that all entries of its incarnation are outdated.
	leaving bool
	at      time.Time
	// era is the highest known era of the store at the removal.
	era int64
}

// Options are the settings and dependencies of a [Registry].
type Options struct {
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// Heartbeat is the interval at which servers renew their entries.
	Heartbeat time.Duration
	// Reserved reports whether a VM listens at an address; nil stands for none.
	Reserved func(netip.AddrPort) bool
	Logger   hclog.Logger
}

// leaseHeartbeats is the number of heartbeat intervals for which an entry is valid without being renewed.
const leaseHeartbeats = 3

// New returns an empty registry.
func New(o Options) *Registry {
	return &Registry{
		options: o, servers: map[string]*psserver.Server{}, removed: map[string]removedServer{},
		disputes: map[string]dispute{}, invalid: map[string]psserver.Entry{}, unreadableSince: map[string]time.Time{},
	}
}

// UpdateInfo describes the entries of an update.
type UpdateInfo struct {
	// Full states that they are all entries rather than the changed ones.
	Full bool
	// Recovering states that the store was unavailable before, or was restored from a backup. It may lack
	// entries that the servers will write again.
	Recovering bool
	// Age is the time since the entries were read from the store.
	Age time.Duration
	// FromPeer states that another VM has read the entries, which may be older than those that are known.
	FromPeer bool
}

// Apply updates the registry with all entries, or with the changed ones. All entries of an older revision than the known one
// are ignored. Ready servers that are missing after an outage or a restore of the store are kept.
func (r *Registry) Apply(s platform.Servers, e UpdateInfo, now time.Time) {
	if e.Full && r.revision.After(s.Revision) {
		psevent.ServersStale.Log(r.options.Logger, s.Revision.Era, s.Revision.Version, r.revision.Era, r.revision.Version)
		return
	}
	r.ReadAt = now.Add(-e.Age)
	r.revision = psrevision.Later(r.revision, s.Revision)
	maps.DeleteFunc(r.removed, func(_ string, d removedServer) bool { return now.Sub(d.at) > removedRetention })
	seen := make(map[string]bool, len(s.Entries))
	for _, v := range s.Entries {
		seen[v.ID] = true
		r.applyEntry(v, e, now)
	}
	for _, u := range s.Unreadable {
		seen[u.Key] = true
		r.applyUnreadable(u.Key, now)
	}
	for _, id := range s.Removed {
		delete(r.invalid, id)
		r.noteRemoval(id, e)
		r.remove(id, now)
	}
	r.expireUnreadable(now)
	r.settleDisputes(now)
	if !e.Full {
		return
	}
	maps.DeleteFunc(r.invalid, func(id string, _ psserver.Entry) bool { return !seen[id] })
	for id, v := range r.servers {
		if seen[id] {
			continue
		}
		if e.Recovering && v.Entry().State == psserver.Ready {
			psevent.ServerRetained.Log(r.options.Logger, id, v.Entry().Service)
			continue
		}
		r.noteRemoval(id, e)
		r.remove(id, now)
	}
}

// Get returns the server with an id.
func (r *Registry) Get(id string) (*psserver.Server, bool) {
	s, found := r.servers[id]
	return s, found
}

// Len returns the number of servers.
func (r *Registry) Len() int { return len(r.servers) }

// Revision returns the store revision of the entries.
func (r *Registry) Revision() psrevision.Revision { return r.revision }

// Changes returns the number of changes of entries so far.
func (r *Registry) Changes() int64 { return r.changes }

// remove deletes a server that is no longer registered and remembers its last entry.
func (r *Registry) remove(id string, now time.Time) {
	s, found := r.servers[id]
	if !found {
		return
	}
	delete(r.servers, id)
	delete(r.disputes, id)
	delete(r.unreadableSince, id)
	s.MarkRemoved()
	r.removed[id] = removedServer{entry: s.Entry(), leaving: s.Leaving(), at: now, era: r.revision.Era}
	r.changes++
	psevent.ServerRemoved.Log(r.options.Logger, id, s.Entry().Service)
}

func (r *Registry) applyEntry(e psserver.Entry, info UpdateInfo, now time.Time) {
	if err := r.check(e); err != nil {
		r.applyInvalid(e, err, now)
		return
	}
	delete(r.invalid, e.ID)
	s, found := r.servers[e.ID]
	if r.stale(e) {
		if found && !info.FromPeer {
			r.dispute(s, e, info, now)
		}
		return
	}
	delete(r.disputes, e.ID)
	delete(r.unreadableSince, e.ID)
	if !found || restarted(s.Entry(), e) {
		r.register(e, now)
		return
	}
	previous := s.Entry()
	if previous != e {
		r.changes++
	}
	s.Renew(e, now)
	if e.State == psserver.Draining && previous.State != psserver.Draining {
		psevent.ServerDraining.Log(r.options.Logger, e.ID, e.Service, e.Sequence)
		r.noteDeparture(psmessage.Departure{Run: e.Run(), Sequence: e.Sequence}, info)
	}
}

func (r *Registry) register(e psserver.Entry, now time.Time) {
	r.changes++
	if previous, found := r.servers[e.ID]; found {
		previous.MarkRemoved()
	}
	r.servers[e.ID] = psserver.New(e, r.options.Regions[e.FailureDomain], now)
	delete(r.removed, e.ID)
	psevent.ServerRegistered.Log(r.options.Logger, e.ID, e.Service, e.FailureDomain, e.Slots, e.ColdFor.String())
}

// stale reports whether an entry is outdated: of an earlier incarnation than the known one, with a lower
// sequence number in the same incarnation, or of an incarnation that announced its shutdown. Such entries
// come from VMs, or from responses of the store, that are out of date.
func (r *Registry) stale(e psserver.Entry) bool {
	if e.Incarnation.IsZero() {
		return false
	}
	var known psserver.Entry
	ended, minSequence := false, int64(0)
	if s, found := r.servers[e.ID]; found {
		known = s.Entry()
		minSequence = known.Sequence
	} else if d, found := r.removed[e.ID]; found {
		known, ended, minSequence = d.entry, d.leaving, d.entry.Sequence
		if r.revision.Era > d.era {
			// The store was restored from a backup that may be older than the removal and have the
			// entry. A server that runs has written a newer one since.
			minSequence++
		}
	}
	same := e.Incarnation.Equal(known.Incarnation)
	if !e.Incarnation.Before(known.Incarnation) && (!same || !ended && e.Sequence >= minSequence) {
		return false
	}
	psevent.ServerEntryStale.Log(r.options.Logger, e.ID, e.Service, e.Sequence, known.Sequence, e.Run().Incarnation, known.Run().Incarnation)
	return true
}

// restarted reports whether an entry belongs to another incarnation of the server.
func restarted(previous, next psserver.Entry) bool {
	return !next.Incarnation.Equal(previous.Incarnation) || next.Address != previous.Address ||
		next.Service != previous.Service || next.Sequence < previous.Sequence
}

// InDomain lists the servers of a failure domain.
func (r *Registry) InDomain(domain string) []*psserver.Server {
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
