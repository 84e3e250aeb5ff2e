package pswatch

import (
	"context"
	"sync/atomic"
	"time"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/version/psrevision"
	"persimmonstep/platform"
)

// relay is the state of this VM's dependence on the relay of its region. The relay is the first live
// VM of the region that reads the store, ordered by decreasing link capacity and then by name.
type relay struct {
	// lastNoticeAt is the time of the last notice of a VM before this one in the order, in nanoseconds
	// since startedAt. If tables were fetched from another VM at the start, it begins at that time plus
	// startupGrace.
	lastNoticeAt *atomic.Int64
	startedAt    time.Time
	// sender is the name of the VM that sent the last notice.
	sender                *atomic.Pointer[string]
	servers               chan *psmessage.ServerChanges
	desiredStateRevisions chan psrevision.Revision
}

func newRelay() relay {
	return relay{
		lastNoticeAt: &atomic.Int64{}, startedAt: time.Now(), sender: &atomic.Pointer[string]{},
		servers: make(chan *psmessage.ServerChanges, noticeBacklog), desiredStateRevisions: make(chan psrevision.Revision, noticeBacklog),
	}
}

// renew extends the time in which this VM depends on the relay to relayTimeout plus extra from now.
func (r *relay) renew(extra time.Duration) {
	r.lastNoticeAt.Store(int64(time.Since(r.startedAt) + extra))
}

// HandleNotice processes a notice of the relay. Notices of other regions and of VMs after this one in
// the order of relays are ignored. A notice that exceeds the backlog is dropped, and later ones make
// up for it.
func (w *Watcher) HandleNotice(n *psmessage.Notice) {
	self := w.options.Self
	if n.Region != self.Region || !(psmessage.Identity{VM: n.VM, Link: n.Link}).Before(self) {
		return
	}
	w.relay.sender.Store(&n.VM)
	w.relay.renew(0)
	if n.Servers != nil {
		select {
		case w.relay.servers <- n.Servers:
		default:
		}
		return
	}
	select {
	case w.relay.desiredStateRevisions <- n.DesiredStateRevision:
	default:
	}
}

// relayEnabled reports whether the fleet is large enough for one VM of each region to read the store.
func (w *Watcher) relayEnabled() bool { return w.options.Peers.FleetSize() >= psfleet.LargeSize }

// usesRelay reports whether this VM depends on notices of the relay instead of polling the store.
func (w *Watcher) usesRelay() bool {
	at := w.relay.lastNoticeAt.Load()
	return at > 0 && w.relayEnabled() && time.Since(w.relay.startedAt)-time.Duration(at) < relayTimeout
}

// currentPollWait returns how long a call waits at the store for changes.
func (w *Watcher) currentPollWait() time.Duration {
	if w.relayEnabled() {
		return relayPollWait
	}
	return pollWait(w.options.Contact, w.options.Heartbeat)
}

// sendNotice sends a notice to the other VMs of the region if this VM is the relay.
func (w *Watcher) sendNotice(n *psmessage.Notice) {
	if !w.relayEnabled() || !w.options.Peers.IsRelay() {
		return
	}
	self := w.options.Self
	n.VM, n.Link, n.Region = self.VM, self.Link, self.Region
	w.options.Peers.SendNotice(n)
}

// awaitServersNotice waits for a notice and applies its changes. It returns the revision that is known
// afterwards, and true if changes are missing that must be read from the store.
func (w *Watcher) awaitServersNotice(ctx context.Context, known psrevision.Revision) (psrevision.Revision, bool) {
	select {
	case <-ctx.Done():
	case <-time.After(relayNoticeWait):
	case n := <-w.relay.servers:
		if n.Before.After(known) || n.To.Era > known.Era {
			return known, true
		}
		if n.To.After(known) {
			w.options.Sink.ApplyServers(platform.Servers{Entries: n.Entries, Removed: n.Removed, Revision: n.To}, false, false)
			w.serversChanged = psrevision.Later(w.serversChanged, latestChange(n))
			return n.To, false
		}
	}
	return known, false
}

// latestChange returns a revision at or after the latest change that the sender of a notice knows.
func latestChange(n *psmessage.ServerChanges) psrevision.Revision {
	if len(n.Entries)+len(n.Removed) > 0 {
		return n.To
	}
	return n.Before
}

// awaitDesiredStateNotice waits for a notice that announces a change of the desired state. It fetches
// the state from the VM that sent the notice, since notices contain only its revision. It returns the
// revision that is known afterwards, and true if the store must be read.
func (w *Watcher) awaitDesiredStateNotice(ctx context.Context, known psrevision.Revision) (psrevision.Revision, bool) {
	select {
	case <-ctx.Done():
	case <-time.After(relayNoticeWait):
	case revision := <-w.relay.desiredStateRevisions:
		switch {
		case revision.Era > known.Era:
			return known, true
		case revision.After(known):
			return w.fetchDesiredState(ctx, known, revision)
		}
	}
	return known, false
}

// fetchDesiredState fetches the desired state at the wanted revision or a later one from the sender of
// the last notice. It returns true if the store must be read instead.
func (w *Watcher) fetchDesiredState(ctx context.Context, known, wanted psrevision.Revision) (revision psrevision.Revision, missing bool) {
	limited, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	revision, found := w.options.PeerSource.FetchDesiredState(limited, *w.relay.sender.Load(), wanted)
	if !found {
		return known, true
	}
	w.desiredStateChanged = psrevision.Later(w.desiredStateChanged, revision)
	return revision, false
}
