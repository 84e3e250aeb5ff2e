// Package pswatch keeps a VM's copy of the platform's store up to date: it reads tables and then
// watches them for changes.
//
// A [Watcher] reads each table once and then long-polls for changes. If every VM did so, the load on
// the store would grow with the size of the fleet. In a large fleet one VM of each region, the relay,
// therefore polls for the others and forwards the changes in notices. A VM that receives no notices,
// because the relay has failed or the network loses them, polls the store itself.
package pswatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/pswait"
	"persimmonstep/internal/version/psrevision"
	"persimmonstep/platform"
)

const (
	// minPollWait is how long one call waits at the store for changes at least.
	minPollWait = 200 * time.Millisecond
	// expiryHeartbeats is the number of heartbeat intervals for which the store must be unavailable before
	// entries expire. They expire after one more, but the last heartbeat may have been that long before.
	expiryHeartbeats = 2
	// readSlack is the time that reading a table takes at most while the store isn't slow.
	readSlack = 400 * time.Millisecond
	// serversPollInterval is the minimum time between two calls for changes of the servers, so that
	// changes in quick succession cost one call. It is far below the time within which requests to a
	// server that is shutting down must stop.
	serversPollInterval = 500 * time.Millisecond
	// desiredStatePollInterval is the corresponding time for changes of the desired state.
	desiredStatePollInterval = 150 * time.Millisecond
	// responseTimeout limits the time until the store begins its response, in addition to the time
	// that the call waits for changes.
	responseTimeout = 900 * time.Millisecond
	// bodyTimeout limits the rest of the response. A table of thousands of rows takes seconds over the
	// slowest links.
	bodyTimeout = 5 * time.Second
	// retryInterval is the time between the starts of a failed call and the next one, and maxRetryInterval
	// that time after several failures. They are short because a VM must detect that the store answers again
	// before the fleet's propagation deadlines apply to it.
	retryInterval    = 200 * time.Millisecond
	maxRetryInterval = 500 * time.Millisecond
	// reregistrationWindow is the time that servers need to write their entries again after the store
	// has recovered or was restored.
	reregistrationWindow = 1700 * time.Millisecond
	// relayPollWait is how long one call waits at the store for changes in a large fleet. The other VMs
	// derive the age of their data from the relay's notices, so these must be frequent.
	relayPollWait = 500 * time.Millisecond
	// relayNoticeWait is how long a VM waits for a notice before it checks whether the relay has fallen silent.
	relayNoticeWait = relayPollWait / 2
	// relayTimeout is how long after a notice the other VMs depend on the relay.
	relayTimeout = 1300 * time.Millisecond
	// peerTimeout limits a request to the relay. Enough time must remain to read the store before the
	// propagation deadline if the relay does not answer.
	peerTimeout = 900 * time.Millisecond
	// startupGrace is added to relayTimeout for a VM that starts, since the relay may discover that VM
	// late. No propagation deadline applies to a VM that has just started.
	startupGrace = 1200 * time.Millisecond
	// noticeBacklog is the number of notices that may wait to be processed.
	noticeBacklog = 16
)

// Store is the part of the platform's store that is watched.
type Store interface {
	DesiredState(ctx context.Context) (platform.DesiredState, error)
	DesiredStateChanges(ctx context.Context, after psrevision.Revision, wait time.Duration) (platform.DesiredState, error)
	Servers(ctx context.Context) (platform.Servers, error)
	ServerChanges(ctx context.Context, after psrevision.Revision, wait time.Duration) (platform.Servers, error)
}

// Sink receives the data that was read.
type Sink interface {
	// ApplyDesiredState applies the operator's desired state: all of it if full is true, otherwise its
	// changes. If recovering is true, the store was restored from a backup and rows may still be written
	// again, so a missing row does not count as removed.
	ApplyDesiredState(state platform.DesiredState, full, recovering bool)
	// ApplyServers applies entries of servers: all of them if full is true, otherwise those that have
	// changed. If recovering is true, the store was unavailable or was restored and entries may still
	// be written again, so a missing entry does not count as removed.
	ApplyServers(s platform.Servers, full, recovering bool)
}

// RegionPeers is the group of VMs of one region, which share what the relay reads.
type RegionPeers interface {
	// FleetSize returns the number of VMs of the whole fleet.
	FleetSize() int
	// IsRelay reports whether this VM is the relay, which sends what it reads to the other VMs of its
	// region. A VM that misses notices polls the store for itself only: if every such VM sent notices,
	// the network would lose more notices and still more VMs would send them.
	IsRelay() bool
	// SendNotice sends a notice to the other VMs of the region.
	SendNotice(n *psmessage.Notice)
}

// PeerSource fetches tables from other VMs instead of the store. It passes them to the sink itself.
type PeerSource interface {
	// FetchDesiredState fetches the operator's desired state from a VM. It returns its revision, and
	// false unless that is the given revision or a later one.
	FetchDesiredState(ctx context.Context, vm string, wanted psrevision.Revision) (psrevision.Revision, bool)
	// FetchTables fetches all tables when this VM starts. It returns their revisions, and false if the
	// store must be read instead.
	FetchTables(ctx context.Context) (Revisions, bool)
}

// Revisions are the store revisions up to which the tables are known.
type Revisions struct {
	DesiredState, Servers psrevision.Revision
}

// Options are the dependencies of a [Watcher].
type Options struct {
	// Self identifies this VM.
	Self  psmessage.Identity
	Store Store
	// PeerSource passes what it fetches to the sink itself.
	PeerSource PeerSource
	Sink       Sink
	Peers      RegionPeers
	// Contact is the time after a disruption from which on the bounds of the fleet apply again.
	Contact time.Duration
	// Heartbeat is the interval at which servers renew their entries.
	Heartbeat time.Duration
	Logger    hclog.Logger
	// Now returns the current time with its monotonic reading.
	Now func() time.Time
}

// Watcher watches the store's tables for one VM.
type Watcher struct {
	options Options
	relay   relay
	// unreadTables counts the tables that were never read, failingTables those whose last call failed.
	unreadTables, failingTables atomic.Int32
	// desiredState and servers are when the store last responded for each table.
	desiredState, servers responseTime
	// desiredStateChanged and serversChanged are revisions at or after the latest known change of each table, which
	// notices announce. Each belongs to the goroutine that watches the table.
	desiredStateChanged, serversChanged psrevision.Revision
}

// New returns a watcher that has read no table yet.
func New(o Options) *Watcher {
	w := &Watcher{options: o, relay: newRelay()}
	w.unreadTables.Store(tableCount)
	return w
}

// tableCount is the number of tables that are watched.
const tableCount = 2

// Lost reports whether a table cannot be read now or has not been read yet.
func (w *Watcher) Lost() bool { return w.unreadTables.Load() > 0 || w.Failing() }

// Failing reports whether the last call for a table failed. While a table is read for the first time,
// the store is lost but not failing.
func (w *Watcher) Failing() bool { return w.failingTables.Load() > 0 }

// Run watches the store until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	known, found := w.options.PeerSource.FetchTables(ctx)
	if found {
		w.unreadTables.Store(0)
		w.relay.renew(startupGrace)
	}
	go w.watchDesiredState(ctx, known.DesiredState)
	w.watchServers(ctx, known.Servers)
}

// poller calls the store for one table and records when the store becomes unavailable and recovers.
type poller struct {
	watcher *Watcher
	outage  Outage
	// response is when the store last responded for the table.
	response *responseTime
	// succeeded states that the table was read at least once.
	succeeded bool
}

// poll makes one call and reports whether it succeeded.
func (p *poller) poll(ctx context.Context, timeout time.Duration, call func(context.Context) error) bool {
	limited, stop := platform.WithResponseTimeouts(ctx, timeout, bodyTimeout)
	defer stop()
	err := call(limited)
	if ctx.Err() != nil {
		return false
	}
	p.recordResult(err != nil)
	now := p.watcher.options.Now()
	p.outage.Record(err, p.watcher.options.Logger, now)
	if err == nil {
		p.response.record(now)
	}
	return err == nil
}

// recordResult updates the watcher's counts. It must be called before the outage is updated.
func (p *poller) recordResult(failed bool) {
	switch {
	case failed && !p.outage.Ongoing():
		p.watcher.failingTables.Add(1)
	case !failed && p.outage.Ongoing():
		p.watcher.failingTables.Add(-1)
	}
	if !failed && !p.succeeded {
		p.succeeded = true
		p.watcher.unreadTables.Add(-1)
	}
}

// table is a table of the store that is watched.
type table struct {
	call string
	// response is when the store last responded for the table.
	response *responseTime
	// known is the revision up to which the table is known at the start; zero if it is not known.
	known psrevision.Revision
	// pollInterval is the minimum time between two calls for changes.
	pollInterval time.Duration
	// read reads all rows, and changes waits for changes after a revision. Both return the revision
	// that is known afterwards. If recovering is true, or the store was restored from a backup since the
	// known revision, missing rows may still be written again.
	read    func(ctx context.Context, known psrevision.Revision, recovering bool) (psrevision.Revision, error)
	changes func(ctx context.Context, after psrevision.Revision, wait time.Duration) (psrevision.Revision, error)
	// awaitNotice waits for a notice of the relay. It returns the revision that is known afterwards,
	// and true if changes must be read from the store.
	awaitNotice func(ctx context.Context, known psrevision.Revision) (psrevision.Revision, bool)
}

// watchTable keeps up with a table. After a restore of the store, or an outage in which entries may have
// expired, it reads the table a second time, once there was time for missing entries to be written again.
func (w *Watcher) watchTable(ctx context.Context, t table) {
	p := &poller{watcher: w, outage: Outage{Call: t.call}, response: t.response, succeeded: !t.known.IsZero()}
	known := t.known
	if !known.IsZero() {
		known = w.watchChanges(ctx, p, t, known)
	}
	retry := retryInterval
	for ctx.Err() == nil {
		startedAt := w.options.Now()
		recovering := p.outage.Ongoing() && p.response.olderThan(expiryHeartbeats*w.options.Heartbeat, startedAt)
		before := known
		done := p.poll(ctx, responseTimeout, func(ctx context.Context) error {
			revision, err := t.read(ctx, before, recovering)
			if err == nil {
				known = revision
			}
			return err
		})
		if !done {
			pswait.Sleep(ctx, retry-w.options.Now().Sub(startedAt))
			retry = min(maxRetryInterval, 2*retry)
			continue
		}
		retry = retryInterval
		if w.restored(t.call, before, known) || recovering {
			pswait.Sleep(ctx, reregistrationWindow)
			continue
		}
		known = w.watchChanges(ctx, p, t, known)
	}
}

// restored reports whether the store was restored from a backup between two revisions, and logs it.
func (w *Watcher) restored(call string, before, now psrevision.Revision) bool {
	if !now.RestoredSince(before) {
		return false
	}
	psevent.StoreRestored.Log(w.options.Logger, call, before.Era, now.Era, before.Version, now.Version)
	return true
}

// logRead logs that all rows of a table were read.
func (w *Watcher) logRead(call string, e platform.Extent, revision psrevision.Revision) {
	psevent.TableRead.Log(w.options.Logger, call, e.Rows, e.Pages, e.First.Version, revision.Version)
}

// errStale means that the store's data is older than what is known, of an earlier era or an earlier revision.
var errStale = errors.New("read store: response is older than what is known")

// watchChanges applies changes until a call fails or the context ends, and returns the known revision.
// The table must be read again after that.
func (w *Watcher) watchChanges(ctx context.Context, p *poller, t table, known psrevision.Revision) psrevision.Revision {
	for ctx.Err() == nil {
		wait := w.currentPollWait()
		if w.usesRelay() {
			var missing bool
			if known, missing = t.awaitNotice(ctx, known); !missing {
				continue
			}
			wait = 0
		}
		done := p.poll(ctx, wait+responseTimeout, func(ctx context.Context) error {
			next, err := t.changes(ctx, known, wait)
			known = psrevision.Later(known, next)
			return err
		})
		if !done {
			return known
		}
		pswait.Sleep(ctx, t.pollInterval)
	}
	return known
}

func (w *Watcher) watchServers(ctx context.Context, known psrevision.Revision) {
	w.serversChanged = known
	// announced states that the last call returned changes. If their notice is lost, the next one shows that, so that
	// follows soon.
	announced := false
	w.watchTable(ctx, table{
		call: "servers", response: &w.servers, known: known, pollInterval: serversPollInterval, awaitNotice: w.awaitServersNotice,
		read: func(ctx context.Context, known psrevision.Revision, recovering bool) (psrevision.Revision, error) {
			v, err := w.options.Store.Servers(ctx)
			if err == nil && known.After(v.Revision) {
				err = errStale
			}
			if err == nil {
				w.logRead("servers", v.Extent, v.Revision)
				w.options.Sink.ApplyServers(v, true, recovering || v.Revision.RestoredSince(known))
				w.serversChanged = v.Revision
			}
			return v.Revision, err
		},
		changes: func(ctx context.Context, after psrevision.Revision, wait time.Duration) (psrevision.Revision, error) {
			if announced && w.relayEnabled() {
				wait = min(wait, minPollWait)
			}
			v, err := w.options.Store.ServerChanges(ctx, after, wait)
			if err == nil {
				w.options.Sink.ApplyServers(v, false, false)
				w.sendNotice(&psmessage.Notice{Servers: &psmessage.ServerChanges{
					From: after, To: v.Revision, Before: w.serversChanged, Entries: v.Entries, Removed: v.Removed,
				}})
				announced = len(v.Entries)+len(v.Removed) > 0
				if announced {
					w.serversChanged = v.Revision
				}
			}
			return v.Revision, err
		},
	})
}

func (w *Watcher) watchDesiredState(ctx context.Context, known psrevision.Revision) {
	w.desiredStateChanged = known
	w.watchTable(ctx, table{
		call: "orders", response: &w.desiredState, known: known, pollInterval: desiredStatePollInterval, awaitNotice: w.awaitDesiredStateNotice,
		read: func(ctx context.Context, known psrevision.Revision, _ bool) (psrevision.Revision, error) {
			o, err := w.options.Store.DesiredState(ctx)
			if err == nil && known.After(o.Revision) {
				err = errStale
			}
			if err == nil {
				w.logRead("orders", o.Extent, o.Revision)
				w.options.Sink.ApplyDesiredState(o, true, o.Revision.RestoredSince(known))
				w.desiredStateChanged = psrevision.Later(w.desiredStateChanged, o.LastChange)
			}
			return o.Revision, err
		},
		changes: func(ctx context.Context, after psrevision.Revision, wait time.Duration) (psrevision.Revision, error) {
			o, err := w.options.Store.DesiredStateChanges(ctx, after, wait)
			if err == nil {
				w.options.Sink.ApplyDesiredState(o, false, false)
				w.desiredStateChanged = psrevision.Later(w.desiredStateChanged, o.LastChange)
				w.sendNotice(&psmessage.Notice{DesiredStateRevision: w.desiredStateChanged})
			}
			return o.Revision, err
		},
	})
}
